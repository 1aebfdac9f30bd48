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
 * The endpoints that are announced, from the records that they write.
 *
 * <p>An endpoint whose record is dropped is gone at once while the log is undisturbed. When the log
 * was away, records of live endpoints may have lapsed meanwhile: those count for a little longer,
 * as live endpoints are back soon. An endpoint that drains does so until it starts anew; a record
 * that can't be read, or is older than what is known, changes nothing. Confined to one thread.
 *
 * <pre>{@code
 * AnnouncedEndpoints endpoints = new AnnouncedEndpoints(decoder, returnTime, clock, listener);
 * endpoints.apply(records);
 * endpoints.logDisturbed(); // a read failed
 * endpoints.tick(); // often
 * }</pre>
 */
public final class AnnouncedEndpoints {
    private static final Logger LOGGER = LogManager.getLogger(AnnouncedEndpoints.class);
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final AnnouncementDecoder mDecoder;
    private final long mReturnMilliseconds;
    private final Clock mClock;
    private final EndpointListener mListener;
    private final Map<String, EndpointAnnouncement> mEndpoints = new LinkedHashMap<>();
    private final Map<String, Long> mLapsedSince = new HashMap<>();
    private long mDisturbedMilliseconds = NEVER;

    /**
     * Creates a list without endpoints.
     *
     * @param decoder reads records
     * @param returnTime time after the return of the log within which live endpoints are back
     * @param clock clock of the node
     * @param listener told of changes
     */
    public AnnouncedEndpoints(
            AnnouncementDecoder decoder,
            Duration returnTime,
            Clock clock,
            EndpointListener listener) {
        mDecoder = Objects.requireNonNull(decoder, "decoder");
        mReturnMilliseconds = returnTime.toMillis();
        mClock = Objects.requireNonNull(clock, "clock");
        mListener = Objects.requireNonNull(listener, "listener");
    }

    /** Applies records in their order. */
    public void apply(List<KeyedRecord> records) {
        long now = mClock.millis();
        for (KeyedRecord entry : records) {
            if (entry.value().isEmpty()) {
                drop(entry.key(), now);
            } else {
                put(entry.key(), entry.value().get());
            }
        }
    }

    /** Notes that the log doesn't answer this node now. */
    public void logDisturbed() {
        mDisturbedMilliseconds = mClock.millis();
    }

    /** Takes endpoints off the list that have not come back in time. */
    public void tick() {
        long now = mClock.millis();
        if (mLapsedSince.isEmpty() || isDisturbed(now)) {
            return;
        }
        for (String key : List.copyOf(mLapsedSince.keySet())) {
            mLapsedSince.remove(key);
            remove(key);
        }
    }

    /** Returns an announced endpoint. */
    public Optional<EndpointAnnouncement> find(String id) {
        return Optional.ofNullable(mEndpoints.get(id));
    }

    /** Returns all announced endpoints. */
    public Collection<EndpointAnnouncement> all() {
        return List.copyOf(mEndpoints.values());
    }

    private boolean isDisturbed(long now) {
        return now - mDisturbedMilliseconds < mReturnMilliseconds;
    }

    private void put(String key, byte[] value) {
        Optional<EndpointAnnouncement> decoded = mDecoder.decode(key, value);
        if (decoded.isEmpty()) {
            LOGGER.debug("record of {} names no endpoint to use", key);
            return;
        }
        EndpointAnnouncement current = decoded.get();
        EndpointAnnouncement former = mEndpoints.get(key);
        if (former != null && current.isOlderThan(former)) {
            return;
        }
        mLapsedSince.remove(key);
        if (former != null && former.draining() && current.isSameLifeAs(former)) {
            current = current.asDraining();
        }
        if (!current.equals(former)) {
            mEndpoints.put(key, current);
            mListener.announced(Optional.ofNullable(former), current);
        }
    }

    private void drop(String key, long now) {
        if (isDisturbed(now) && mEndpoints.containsKey(key)) {
            mLapsedSince.putIfAbsent(key, now);
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
