package org.foxtailridge.routing.internal;

import java.util.HashSet;
import java.util.Set;
import org.foxtailridge.routing.RoutingSettings;

/**
 * Outlier ejection: excludes endpoints that fail several times in a row from selection for a while.
 *
 * <p>At most a share of each pool is ejected at once. An endpoint that fails during the ramp-up
 * after its readmission is ejected again at the first failure, for twice as long. Confined to the
 * router's thread.
 */
public final class OutlierEjection {
    private final RoutingSettings mSettings;
    private final Set<EndpointEntry> mEjected = new HashSet<>();

    /** Creates an instance with no endpoint ejected. */
    public OutlierEjection(RoutingSettings settings) {
        mSettings = settings;
    }

    /** Records the success of an attempt, which after the ramp also resets the doubling. */
    public void recordSuccess(EndpointEntry entry, long now) {
        EndpointHealth health = entry.health();
        health.recordSuccess();
        if (!health.isEjected() && !health.isRamping(now, mSettings.rampMilliseconds())) {
            health.resetEjections();
        }
    }

    /**
     * Records the failure of an attempt and ejects the endpoint if it has failed too often.
     *
     * @param entry the endpoint
     * @param poolSize number of configured endpoints in its pool
     * @param now instant, in milliseconds since the epoch
     */
    public void recordFailure(EndpointEntry entry, int poolSize, long now) {
        EndpointHealth health = entry.health();
        health.recordFailure();
        int failuresToEject =
                health.isRamping(now, mSettings.rampMilliseconds()) ? 1 : failuresBeforeEjection();
        if (health.isEjected() || health.consecutiveFailures() < failuresToEject) {
            return;
        }
        if (mayEject(entry, poolSize)) {
            health.eject(now, mSettings.ejectionMilliseconds());
            mEjected.add(entry);
        }
    }

    /** Returns whether the endpoint is ejected; readmits it first if its ejection is over. */
    public boolean isStillEjected(EndpointEntry entry, long now) {
        EndpointHealth health = entry.health();
        if (!health.isEjected()) {
            return false;
        }
        if (health.isEjectionOver(now)) {
            health.readmit(now);
            mEjected.remove(entry);
            return false;
        }
        return true;
    }

    /** Removes an endpoint that is no longer configured. */
    public void remove(EndpointEntry entry) {
        mEjected.remove(entry);
    }

    /** Returns the number of ejected endpoints. */
    public int size() {
        return mEjected.size();
    }

    /** Returns whether one more endpoint of the pool may be ejected. */
    boolean mayEject(EndpointEntry entry, int poolSize) {
        String pool = entry.configuration().pool();
        long ejectedInPool =
                mEjected.stream()
                        .filter(other -> other.configuration().pool().equals(pool))
                        .count();
        return ejectedInPool + 1 <= poolSize * mSettings.maximumEjectedShare();
    }

    private int failuresBeforeEjection() {
        return mSettings.failuresBeforeEjection();
    }
}
