package org.foxtailridge.placement.plan;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** The listed models do not fit the listed endpoints. */
public final class InfeasiblePlacementException extends FoxtailridgeException {
    /**
     * Creates the failure.
     *
     * @param model model that found no room
     * @param neededBytes memory that a copy of it needs
     * @param largestFreeBytes largest memory left on an endpoint of its pools
     * @param allNeededBytes memory that all models need
     * @param allOfferedBytes memory that all endpoints offer
     */
    public InfeasiblePlacementException(
            String model,
            long neededBytes,
            long largestFreeBytes,
            long allNeededBytes,
            long allOfferedBytes) {
        super(
                ErrorKind.CONFIGURATION_INVALID,
                "expected room for a copy of model "
                        + model
                        + ", "
                        + neededBytes
                        + " bytes, but the most that is left on an endpoint of its pools is "
                        + largestFreeBytes
                        + " bytes; all models, with a spare copy of the largest, need "
                        + allNeededBytes
                        + " bytes of the "
                        + allOfferedBytes
                        + " bytes on endpoints that stay");
    }
}
