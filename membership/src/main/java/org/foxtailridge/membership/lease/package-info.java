/**
 * Leases that give a duty to one node at a time, coordinated through the log stream {@code leases}.
 *
 * <p>{@link org.foxtailridge.membership.lease.LeaseManager} is the entry class: the node calls
 * {@code tick} periodically and {@code onRead} with the records of the stream. All nodes fold the
 * records in log order, so the log order decides which of two acquisitions takes effect. The offset
 * of an acquisition is its fencing number.
 */
package org.foxtailridge.membership.lease;
