package org.foxtailridge.forwarding.configuration;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** Decodes a configuration in the format in which operators publish it. */
@FunctionalInterface
public interface ConfigurationDecoder {
    /**
     * Decodes a configuration.
     *
     * @throws UnreadableConfigurationException if the bytes are malformed or invalid
     */
    ForwardingConfiguration decode(byte[] bytes);

    /** Thrown when a configuration is malformed or invalid. */
    final class UnreadableConfigurationException extends FoxtailridgeException {
        private static final long serialVersionUID = 1;

        /** Creates an exception with the reason for which the configuration is unreadable. */
        public UnreadableConfigurationException(String reason) {
            super(ErrorKind.CONFIGURATION_INVALID, "the configuration can't be read: " + reason);
        }
    }
}
