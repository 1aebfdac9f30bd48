package org.foxtailridge.membership.digest;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.foxtailridge.protocol.digest.EndpointSums;
import org.foxtailridge.protocol.digest.NodeReport;

/**
 * Sum of attempts in flight by endpoint. Endpoints are keyed by a 32-bit hash of their name, which
 * keeps digests small; a collision only distorts the estimated load of two endpoints.
 */
final class EndpointLoads {
    private final Map<Integer, Integer> mInFlight = new HashMap<>();
    private long mAgeMilliseconds;

    /** Adds the attempts that one node reported. */
    void add(NodeReport report, long ageMilliseconds) {
        mAgeMilliseconds = Math.max(mAgeMilliseconds, ageMilliseconds);
        report.getEndpointsList()
                .forEach(load -> add(hash(load.getEndpoint()), load.getInFlight()));
    }

    /** Adds the sums of a digest, which aged since it arrived. */
    void add(EndpointSums sums, long ageMilliseconds) {
        mAgeMilliseconds = Math.max(mAgeMilliseconds, ageMilliseconds + sums.getAgeMs());
        int count = Math.min(sums.getEndpointsCount(), sums.getInFlightCount());
        for (int index = 0; index < count; index++) {
            add(sums.getEndpoints(index), sums.getInFlight(index));
        }
    }

    /** Subtracts the attempts that one node reported. */
    void subtract(NodeReport report) {
        report.getEndpointsList()
                .forEach(load -> add(hash(load.getEndpoint()), -load.getInFlight()));
    }

    int inFlightAt(String endpoint) {
        return Math.max(0, mInFlight.getOrDefault(hash(endpoint), 0));
    }

    /** Returns the age of the oldest report when the last one was added, in milliseconds. */
    long ageMilliseconds() {
        return mAgeMilliseconds;
    }

    EndpointSums toMessage() {
        EndpointSums.Builder sums = EndpointSums.newBuilder().setAgeMs((int) mAgeMilliseconds);
        mInFlight.forEach(
                (endpoint, inFlight) -> {
                    if (inFlight > 0) {
                        sums.addEndpoints(endpoint).addInFlight(inFlight);
                    }
                });
        return sums.build();
    }

    private void add(int endpoint, int inFlight) {
        mInFlight.merge(endpoint, inFlight, Integer::sum);
    }

    private static int hash(String endpoint) {
        return Hashing.murmur3_32_fixed().hashString(endpoint, StandardCharsets.UTF_8).asInt();
    }
}
