/**
 * Which nodes are live, from the platform's VM list and from probes between nodes.
 *
 * <p>{@link org.foxtailridge.membership.probe.Membership} is the entry class. It is a
 * single-threaded state machine; the node carries out what it asks of a {@link
 * org.foxtailridge.membership.probe.MembershipOutbox} and feeds it messages, VM lists and ticks.
 */
package org.foxtailridge.membership.probe;
