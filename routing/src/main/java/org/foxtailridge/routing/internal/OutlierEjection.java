package org.foxtailridge.routing.internal;

import java.util.HashSet;
import java.util.Set;
import org.foxtailridge.routing.RoutingSettings;

/**
 * Takes endpoints that fail out of choice for a while.
 *
 * <p>At most a share of each pool is out at once. An endpoint that fails while it is let back is
 * ejected again for twice as long.
 */
public final class OutlierEjection {
    private final RoutingSettings mSettings;
    private final Set<EndpointEntry> mEjected = new HashSet<>();

    /** Creates an ejection with no endpoint out. */
    public OutlierEjection(RoutingSettings settings) {
        mSettings = settings;
    }

    /** Takes in the success of an attempt. */
    public void succeeded(EndpointEntry entry, long now) {
        EndpointHealth health = entry.health();
        health.succeeded();
        if (!health.isEjected() && !health.isRamping(now, mSettings.rampMilliseconds())) {
            health.forgetEjections();
        }
    }

    /**
     * Takes in the failure of an attempt.
     *
     * @param entry the endpoint
     * @param poolSize endpoints listed in its pool
     * @param now instant, in milliseconds since the epoch
     */
    public void failed(EndpointEntry entry, int poolSize, long now) {
        EndpointHealth health = entry.health();
        health.failed();
        int allowed = health.isRamping(now, mSettings.rampMilliseconds()) ? 1 : failuresAllowed();
        if (health.isEjected() || health.consecutiveFailures() < allowed) {
            return;
        }
        if (mayEject(entry, poolSize)) {
            health.eject(now, mSettings.ejectionMilliseconds());
            mEjected.add(entry);
        }
    }

    /** Returns whether the endpoint is out; lets it back when its time is over. */
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

    /** Forgets an endpoint that is no longer listed. */
    public void remove(EndpointEntry entry) {
        mEjected.remove(entry);
    }

    /** Returns the number of endpoints out. */
    public int size() {
        return mEjected.size();
    }

    /** Returns whether one more endpoint of the pool may be out. */
    boolean mayEject(EndpointEntry entry, int poolSize) {
        String pool = entry.listing().pool();
        long out = mEjected.stream().filter(other -> other.listing().pool().equals(pool)).count();
        return out + 1 <= poolSize * mSettings.maximumEjectedShare();
    }

    private int failuresAllowed() {
        return mSettings.failuresBeforeEjection();
    }
}
