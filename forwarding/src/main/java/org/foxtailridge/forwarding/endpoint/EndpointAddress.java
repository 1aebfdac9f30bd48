package org.foxtailridge.forwarding.endpoint;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Where an endpoint listens.
 *
 * @param host IP address
 * @param port port
 */
public record EndpointAddress(String host, int port) {
    private static final int LARGEST_PORT = 65_535;

    /** Checks the port. */
    public EndpointAddress {
        Objects.requireNonNull(host, "host");
        if (port < 1 || port > LARGEST_PORT) {
            throw new IllegalArgumentException(
                    "port must be 1 to " + LARGEST_PORT + " but was " + port);
        }
    }

    /**
     * Reads an address written as host, colon and port.
     *
     * @throws IllegalArgumentException if the text is no address
     */
    public static EndpointAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException(
                    "expected an address such as 10.0.0.1:80 but was \"" + text + "\"");
        }
        return new EndpointAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Returns the address for a socket. */
    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(host, port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
