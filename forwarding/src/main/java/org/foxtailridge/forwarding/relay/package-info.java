/**
 * Streams handed from node to node, for nodes that the platform's log does not serve.
 *
 * <p>{@link org.foxtailridge.forwarding.relay.StreamRelay} is the entry.
 */
package org.foxtailridge.forwarding.relay;
