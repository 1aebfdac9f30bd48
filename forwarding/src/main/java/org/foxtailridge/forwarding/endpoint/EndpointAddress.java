package org.foxtailridge.forwarding.endpoint;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Network address of an endpoint.
 *
 * @param host IP address
 * @param port TCP port, 1 to 65535
 */
public record EndpointAddress(String host, int port) {
    private static final int MAXIMUM_PORT = 65_535;

    /**
     * Checks the port.
     *
     * @throws IllegalArgumentException if the port is out of range
     */
    public EndpointAddress {
        Objects.requireNonNull(host, "host");
        if (port < 1 || port > MAXIMUM_PORT) {
            throw new IllegalArgumentException(
                    "port must be 1 to " + MAXIMUM_PORT + " but was " + port);
        }
    }

    /**
     * Parses an address in the form {@code host:port}.
     *
     * @throws IllegalArgumentException if the text is not an address
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

    /** Returns the address in the form that sockets need. */
    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(host, port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
