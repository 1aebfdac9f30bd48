/**
 * Leases of duties, kept in the log stream {@code leases}.
 *
 * <p>{@link org.foxtailridge.membership.lease.Leases} is the entry class. The log's order decides
 * which of two acquisitions counts; the offset of an acquisition is its fencing number.
 */
package org.foxtailridge.membership.lease;
