/**
 * Requests on their way from callers to endpoints: what joins decisions, queues and connections.
 *
 * <p>{@link org.foxtailridge.forwarding.front.Forwarder} is the entry.
 */
package org.foxtailridge.forwarding.front;
