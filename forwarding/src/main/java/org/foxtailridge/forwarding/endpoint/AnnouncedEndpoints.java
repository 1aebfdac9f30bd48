package org.foxtailridge.forwarding.endpoint;

import java.time.Clock;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.forwarding.stream.KeyedRecord;

/**
 * Registry of the announced endpoints, folded from the keyed stream of their announcements.
 *
 * <p>A tombstone removes an endpoint at once while reads of the log succeed. During an outage of
 * the log, announcements of live endpoints may expire because they could not be renewed; such
 * endpoints are kept until the reannouncement time after the last failed read has passed. A
 * draining endpoint stays draining until its process restarts, even if a late record of the same
 * process states otherwise. A record that cannot be decoded, or is older than the current one, is
 * ignored. Confined to one thread.
 *
 * <pre>{@code
 * AnnouncedEndpoints endpoints =
 *         new AnnouncedEndpoints(decoder, reannouncementTime, clock, listener);
 * endpoints.apply(records);
 * endpoints.logUnavailable(); // a read of the log failed
 * endpoints.tick(); // called periodically
 * }</pre>
 */
public final class AnnouncedEndpoints {
    private static final Logger LOGGER = LogManager.getLogger(AnnouncedEndpoints.class);
    // Half of the minimum, so that the difference to the clock does not overflow.
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final AnnouncementDecoder mDecoder;
    private final long mReannouncementTimeMilliseconds;
    private final Clock mClock;
    private final EndpointListener mListener;
    private final Map<String, EndpointAnnouncement> mEndpoints = new LinkedHashMap<>();
    private final Map<String, Long> mExpiredSince = new HashMap<>();
    private long mLastReadFailureMilliseconds = NEVER;

    /**
     * Creates an empty registry.
     *
     * @param decoder decodes announcements
     * @param reannouncementTime time after an outage of the log within which live endpoints
     *     announce themselves again
     * @param clock clock of the node
     * @param listener receives changes
     */
    public AnnouncedEndpoints(
            AnnouncementDecoder decoder,
            Duration reannouncementTime,
            Clock clock,
            EndpointListener listener) {
        mDecoder = Objects.requireNonNull(decoder, "decoder");
        mReannouncementTimeMilliseconds = reannouncementTime.toMillis();
        mClock = Objects.requireNonNull(clock, "clock");
        mListener = Objects.requireNonNull(listener, "listener");
    }

    /** Applies records in order; a record without a value is a tombstone. */
    public void apply(List<KeyedRecord> records) {
        long now = mClock.millis();
        for (KeyedRecord entry : records) {
            if (entry.value().isEmpty()) {
                applyTombstone(entry.key(), now);
            } else {
                put(entry.key(), entry.value().get());
            }
        }
        mListener.batchApplied();
    }

    /** Records that a read of the log has failed or timed out on this node. */
    public void logUnavailable() {
        mLastReadFailureMilliseconds = mClock.millis();
    }

    /** Removes endpoints that have not announced themselves again within that time. */
    public void tick() {
        long now = mClock.millis();
        if (mExpiredSince.isEmpty() || isWithinReannouncementTime(now)) {
            return;
        }
        for (String key : List.copyOf(mExpiredSince.keySet())) {
            mExpiredSince.remove(key);
            remove(key);
        }
        mListener.batchApplied();
    }

    /** Returns the announcement of an endpoint; empty if it is not announced. */
    public Optional<EndpointAnnouncement> find(String id) {
        return Optional.ofNullable(mEndpoints.get(id));
    }

    /** Returns a copy of the current announcements, in the order of first announcement. */
    public Collection<EndpointAnnouncement> all() {
        return List.copyOf(mEndpoints.values());
    }

    private boolean isWithinReannouncementTime(long now) {
        return now - mLastReadFailureMilliseconds < mReannouncementTimeMilliseconds;
    }

    private void put(String key, byte[] value) {
        Optional<EndpointAnnouncement> decoded = mDecoder.decode(key, value);
        if (decoded.isEmpty()) {
            LOGGER.debug(
                    "announcement of {} is unreadable or names no usable endpoint; ignored", key);
            return;
        }
        EndpointAnnouncement current = decoded.get();
        EndpointAnnouncement former = mEndpoints.get(key);
        if (former != null && current.isOlderThan(former)) {
            return;
        }
        mExpiredSince.remove(key);
        if (former != null && former.draining() && current.isSameProcessAs(former)) {
            current = current.asDraining();
        }
        if (!current.equals(former)) {
            mEndpoints.put(key, current);
            mListener.announced(Optional.ofNullable(former), current);
        }
    }

    private void applyTombstone(String key, long now) {
        if (isWithinReannouncementTime(now) && mEndpoints.containsKey(key)) {
            mExpiredSince.putIfAbsent(key, now);
        } else {
            remove(key);
        }
    }

    private void remove(String key) {
        EndpointAnnouncement former = mEndpoints.remove(key);
        if (former != null) {
            mListener.gone(former);
        }
    }
}
