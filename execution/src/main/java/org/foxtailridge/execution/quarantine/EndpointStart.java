package org.foxtailridge.execution.quarantine;

import java.util.Objects;
import org.foxtailridge.protocol.quarantine.LostEndpoint;

/**
 * One start of an endpoint.
 *
 * @param endpoint name of the endpoint
 * @param incarnation number that changes whenever it restarts
 */
public record EndpointStart(String endpoint, long incarnation) {
    /** Checks the name. */
    public EndpointStart {
        Objects.requireNonNull(endpoint, "endpoint");
    }

    static EndpointStart of(LostEndpoint message) {
        return new EndpointStart(message.getEndpoint(), message.getIncarnation());
    }

    LostEndpoint toMessage() {
        return LostEndpoint.newBuilder().setEndpoint(endpoint).setIncarnation(incarnation).build();
    }
}
