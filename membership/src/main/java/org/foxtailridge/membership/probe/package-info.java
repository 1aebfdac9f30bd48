/**
 * Failure detection between nodes by probes and gossip, in the manner of the SWIM protocol.
 *
 * <p>{@link org.foxtailridge.membership.probe.Membership} is the entry class, a single-threaded
 * state machine. The node passes it messages ({@code onMessage}), VM lists ({@code onVmList}) and
 * ticks ({@code tick}), and sends the messages that it hands to a {@link
 * org.foxtailridge.membership.probe.MembershipOutbox}.
 */
package org.foxtailridge.membership.probe;
