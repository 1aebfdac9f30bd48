package org.foxtailridge.standins.engine;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** Thrown when the preloaded models don't fit into an engine's memory. */
public final class PreloadTooLargeException extends FoxtailridgeException {
    PreloadTooLargeException(long memoryBytes, Preloaded entry) {
        super(
                ErrorKind.CONFIGURATION_INVALID,
                "expected preloaded weights and working memory within "
                        + memoryBytes
                        + " bytes but was short at "
                        + entry);
    }
}
