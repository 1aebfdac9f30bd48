package org.foxtailridge.forwarding.endpoint;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * Announcement that an endpoint writes about itself. Immutable.
 *
 * @param id name of the endpoint
 * @param service name of its service
 * @param address where it listens
 * @param dataCentre name of its data centre
 * @param startMilliseconds start of its process, in milliseconds since the epoch
 * @param slots maximum number of concurrent requests
 * @param draining whether it accepts no new requests because it is leaving
 * @param remainingMilliseconds time until it exits regardless of running requests; empty if not
 *     bounded
 * @param sequenceNumber number of this announcement since the start of its process; increasing
 * @param models resident models; empty for a service without model engines
 * @param inHostMemory names of models whose weights are in its host memory
 * @param onDisk names of models whose weights are on its disk
 */
public record EndpointAnnouncement(
        String id,
        String service,
        EndpointAddress address,
        String dataCentre,
        long startMilliseconds,
        int slots,
        boolean draining,
        OptionalLong remainingMilliseconds,
        long sequenceNumber,
        List<HeldModel> models,
        List<String> inHostMemory,
        List<String> onDisk) {
    /** Rejects null components and copies the lists. */
    public EndpointAnnouncement {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(remainingMilliseconds, "remainingMilliseconds");
        models = List.copyOf(models);
        inHostMemory = List.copyOf(inHostMemory);
        onDisk = List.copyOf(onDisk);
    }

    /** Returns whether this is from an earlier process, or an earlier one of the same process. */
    boolean isOlderThan(EndpointAnnouncement other) {
        if (startMilliseconds != other.startMilliseconds) {
            return startMilliseconds < other.startMilliseconds;
        }
        return sequenceNumber < other.sequenceNumber;
    }

    boolean isSameProcessAs(EndpointAnnouncement other) {
        return startMilliseconds == other.startMilliseconds && address.equals(other.address);
    }

    EndpointAnnouncement asDraining() {
        return new EndpointAnnouncement(
                id,
                service,
                address,
                dataCentre,
                startMilliseconds,
                slots,
                true,
                remainingMilliseconds,
                sequenceNumber,
                models,
                inHostMemory,
                onDisk);
    }
}
