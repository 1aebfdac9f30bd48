package org.foxtailridge.node.caller;

import java.time.Duration;
import org.foxtailridge.node.duty.PlacementDuty;

/** Has an adapter loaded that the chosen endpoint lacks, for a bounded number of tries. */
final class AdapterWait {
    /** Time between two tries of the endpoint. */
    static final Duration INTERVAL = Duration.ofMillis(25);

    private static final int MAXIMUM_TRIES = 200;
    private static final String NOT_RESIDENT = "not_resident";

    private final PlacementDuty mPlacement;
    private final ModelChoice mChoice;
    private int mTries;

    AdapterWait(PlacementDuty placement, ModelChoice choice) {
        mPlacement = placement;
        mChoice = choice;
    }

    /** Returns whether loading the adapter may turn a refusal into an answer. */
    boolean mayHelp(String reason) {
        return reason.equals(NOT_RESIDENT)
                && mChoice.adapter().isPresent()
                && mTries < MAXIMUM_TRIES;
    }

    /** Asks the holder of the endpoint's orders for the adapter. */
    void begin(String endpoint) {
        mTries++;
        mPlacement.wanted(endpoint, mChoice.model().name(), mChoice.adapterName().orElseThrow());
    }
}
