package org.foxtailridge.standins.platform;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** What a worker says and is told beside requests, named as on the wire. */
final class WorkerMessages {
    private WorkerMessages() {}

    record Held(String name, int version, List<String> adapters) {}

    record Entry(
            String service,
            String address,
            String zone,
            String version,
            int slots,
            String state,
            @JsonProperty("coldLeftMs") long coldLeftMilliseconds,
            long born,
            List<Held> models,
            long seq) {}

    record Report(
            String stage,
            long born,
            List<Held> models,
            boolean busy,
            long seq,
            int queued,
            int running,
            @JsonProperty("kvUsed") long memoryUsed,
            @JsonProperty("kvTotal") long memoryTotal) {}

    @JsonInclude(JsonInclude.Include.NON_NULL)
    record Order(
            String op,
            String model,
            String adapter,
            Long expect,
            String holder,
            @JsonProperty("fenceToken") Long fencing) {}

    record Answer(String said) {}
}
