/**
 * Duties that a group of the platform's log assigns to its members, one partition for each duty.
 *
 * <p>{@link org.foxtailridge.membership.group.GroupDuties} is the entry class: the node calls
 * {@code tick} periodically and {@code onJoined} with the answer of the group to each join.
 */
package org.foxtailridge.membership.group;
