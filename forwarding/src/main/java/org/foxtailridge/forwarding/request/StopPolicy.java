package org.foxtailridge.forwarding.request;

/** Tells which requests a node may still send to endpoints during its planned stop. */
@FunctionalInterface
public interface StopPolicy {
    /**
     * Returns whether a request that is sent now is expected to end before the process exits; true
     * for every request while no stop has begun.
     */
    boolean canEndInTime(ResolvedRequest resolved);
}
