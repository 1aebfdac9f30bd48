/**
 * Relay of keyed streams from node to node, for nodes to which the platform's log does not answer.
 *
 * <p>{@link org.foxtailridge.forwarding.relay.StreamRelay} is the entry point: messages of other
 * nodes arrive at {@link org.foxtailridge.forwarding.relay.StreamRelay#receive}, and periodic work
 * runs in {@link org.foxtailridge.forwarding.relay.StreamRelay#tick}.
 */
package org.foxtailridge.forwarding.relay;
