/**
 * Wiring of a platform node: its components, joined on one event loop.
 *
 * <p>{@link org.foxtailridge.forwarding.node.ForwardingNode} is the entry point. Requests of
 * callers enter through a {@link org.foxtailridge.forwarding.http.CallerServer}, which passes them
 * to {@link org.foxtailridge.forwarding.front.Forwarder#handle}; messages of other nodes through
 * {@link org.foxtailridge.forwarding.node.DatagramNetwork#receive}; records of the platform's log
 * through {@code NodeStreams}. The classes named {@code Node...} each own one component
 * (membership, duties, limits, placement, endpoints, streams) and connect it to the network and to
 * the others; the decisions themselves are made in the modules that they wrap.
 */
package org.foxtailridge.forwarding.node;
