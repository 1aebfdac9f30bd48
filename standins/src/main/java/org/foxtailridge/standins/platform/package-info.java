/**
 * Stand-in of the users' platform: its store, its workers and its operator, as their published
 * protocol says.
 *
 * <p>{@link org.foxtailridge.standins.platform.StoreStandin} is the entry.
 */
package org.foxtailridge.standins.platform;
