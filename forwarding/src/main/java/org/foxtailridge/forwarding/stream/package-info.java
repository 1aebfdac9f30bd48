/**
 * Streams of keyed records: read from the platform's log, or from other nodes while it does not
 * answer.
 *
 * <p>{@link org.foxtailridge.forwarding.stream.StreamFollower} is the entry.
 */
package org.foxtailridge.forwarding.stream;
