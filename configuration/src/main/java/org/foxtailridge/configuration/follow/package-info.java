/**
 * How a node follows the stream {@code configuration}: what it reads next and from whom.
 *
 * <p>{@link org.foxtailridge.configuration.follow.ConfigurationFollower} is the entry class. It is
 * a single-threaded state machine; the node carries out what it asks of a {@link
 * org.foxtailridge.configuration.follow.FollowerOutbox} and feeds it answers, messages and ticks.
 */
package org.foxtailridge.configuration.follow;
