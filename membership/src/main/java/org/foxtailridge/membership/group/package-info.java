/**
 * Duties taken through a group that the platform's log keeps.
 *
 * <p>{@link org.foxtailridge.membership.group.GroupDuties} is the entry.
 */
package org.foxtailridge.membership.group;
