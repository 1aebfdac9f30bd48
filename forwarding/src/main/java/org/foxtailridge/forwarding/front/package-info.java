/**
 * Forwards callers' requests to endpoints: connects the request state machine with the connections,
 * the queue, the token limiter and the log.
 *
 * <p>A request enters at {@link org.foxtailridge.forwarding.front.Forwarder#handle}. Its later
 * events arrive at the package's {@code ForwardedRequest}, one instance for each request.
 */
package org.foxtailridge.forwarding.front;
