package org.foxtailridge.forwarding.endpoint;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * What an endpoint says of itself. Immutable.
 *
 * @param id name of the endpoint
 * @param service name of its service
 * @param address where it listens
 * @param dataCentre name of its data centre
 * @param startMilliseconds instant of its process's start, in milliseconds since the epoch
 * @param slots requests that it runs at once
 * @param draining whether it is leaving
 * @param remainingMilliseconds time until it is gone whatever it runs; empty when not bounded
 * @param sequenceNumber number of this announcement among those since its start; only grows
 * @param models models in its memory; empty for a plain service
 * @param inHostMemory models whose weights lie in its host memory
 * @param onDisk models whose weights lie on its disk
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
    /** Checks that no part is missing and copies the lists. */
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

    /** Returns whether this comes from an earlier life or an earlier moment than the other. */
    boolean isOlderThan(EndpointAnnouncement other) {
        if (startMilliseconds != other.startMilliseconds) {
            return startMilliseconds < other.startMilliseconds;
        }
        return sequenceNumber < other.sequenceNumber;
    }

    boolean isSameLifeAs(EndpointAnnouncement other) {
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
