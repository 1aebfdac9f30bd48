/**
 * HTTP towards callers and endpoints: bytes in, bytes out, and who has closed what.
 *
 * <p>{@link org.foxtailridge.forwarding.http.CallerServer} and {@link
 * org.foxtailridge.forwarding.http.EndpointConnections} are the entries.
 */
package org.foxtailridge.forwarding.http;
