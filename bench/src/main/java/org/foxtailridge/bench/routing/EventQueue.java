package org.foxtailridge.bench.routing;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.time.temporal.ChronoUnit;
import java.util.PriorityQueue;

/** Events in order of their instants, and the clock that they advance. */
final class EventQueue extends Clock {
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private long mNowMicroseconds;
    private long mNextNumber;

    long nowMicroseconds() {
        return mNowMicroseconds;
    }

    void after(long microseconds, Runnable action) {
        at(mNowMicroseconds + microseconds, action);
    }

    void at(long microseconds, Runnable action) {
        mEvents.add(new Event(microseconds, mNextNumber++, action));
    }

    void runUntil(long microseconds) {
        while (!mEvents.isEmpty() && mEvents.peek().mMicroseconds <= microseconds) {
            Event event = mEvents.poll();
            mNowMicroseconds = event.mMicroseconds;
            event.mAction.run();
        }
    }

    @Override
    public Instant instant() {
        return Instant.EPOCH.plus(mNowMicroseconds, ChronoUnit.MICROS);
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        throw new IllegalArgumentException("zone must be UTC but was " + zone);
    }

    private record Event(long mMicroseconds, long mNumber, Runnable mAction)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int order = Long.compare(mMicroseconds, other.mMicroseconds);
            return order != 0 ? order : Long.compare(mNumber, other.mNumber);
        }
    }
}
