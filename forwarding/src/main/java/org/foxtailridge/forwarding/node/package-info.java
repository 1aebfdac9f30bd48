/**
 * A node that forwards requests: its duties, joined on one event loop.
 *
 * <p>{@link org.foxtailridge.forwarding.node.ForwardingNode} is the entry.
 */
package org.foxtailridge.forwarding.node;
