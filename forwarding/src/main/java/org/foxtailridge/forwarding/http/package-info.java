/**
 * HTTP server towards callers and HTTP client towards endpoints, both on Netty: framing, reuse of
 * connections, timeouts and the detection of closed or broken connections. What a request means and
 * where it goes is decided in {@link org.foxtailridge.forwarding.front}.
 *
 * <p>A caller's request enters at {@link org.foxtailridge.forwarding.http.CallerServer#listen} and
 * is passed to {@link org.foxtailridge.forwarding.http.CallerHandler#handle}. Requests to endpoints
 * leave through {@link org.foxtailridge.forwarding.http.EndpointConnections#start}; {@link
 * org.foxtailridge.forwarding.http.HttpCalls#call} is for short calls with a timeout.
 */
package org.foxtailridge.forwarding.http;
