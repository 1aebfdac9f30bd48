/**
 * Assignment of duties to live nodes by rendezvous hashing, without messages between the nodes.
 *
 * <p>{@link org.foxtailridge.membership.duty.Rendezvous#rank} is the entry method.
 */
package org.foxtailridge.membership.duty;
