package org.foxtailridge.placement.plan;

/** State of a copy as the planner counts it. */
public enum CopyState {
    /** Ordered or loading. */
    COMING,
    /** Resident and not on its way out. */
    SERVING,
    /** An unload is on record or runs. */
    GOING
}
