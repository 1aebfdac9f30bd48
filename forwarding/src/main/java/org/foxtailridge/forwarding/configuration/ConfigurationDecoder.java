package org.foxtailridge.forwarding.configuration;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** Reads a configuration as operators publish it. */
@FunctionalInterface
public interface ConfigurationDecoder {
    /**
     * Returns the configuration.
     *
     * @throws UnreadableConfigurationException if the bytes hold none
     */
    ForwardingConfiguration decode(byte[] bytes);

    /** A configuration could not be read. */
    final class UnreadableConfigurationException extends FoxtailridgeException {
        private static final long serialVersionUID = 1;

        /** Creates a failure with what was wrong. */
        public UnreadableConfigurationException(String reason) {
            super(ErrorKind.CONFIGURATION_INVALID, "the configuration can't be read: " + reason);
        }
    }
}
