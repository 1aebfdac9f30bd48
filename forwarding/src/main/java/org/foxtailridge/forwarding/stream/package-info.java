/**
 * Followers of keyed streams: streams of records of which the newest of each key is kept. They are
 * read from the platform's log, or from other nodes while the log is not available.
 *
 * <p>{@link org.foxtailridge.forwarding.stream.StreamFollower} is the entry point. Records of the
 * log arrive through {@link org.foxtailridge.forwarding.stream.StreamFollower#tick}, snapshots of
 * other nodes through {@link org.foxtailridge.forwarding.stream.StreamFollower#installSnapshot};
 * both leave through {@link org.foxtailridge.forwarding.stream.StreamListener#changed}. Adapters of
 * a platform's log implement {@link org.foxtailridge.forwarding.stream.KeyedLog}.
 */
package org.foxtailridge.forwarding.stream;
