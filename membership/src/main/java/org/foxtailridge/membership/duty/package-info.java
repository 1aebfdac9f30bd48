/**
 * Placement of duties on live nodes.
 *
 * <p>{@link org.foxtailridge.membership.duty.Rendezvous} is the entry class.
 */
package org.foxtailridge.membership.duty;
