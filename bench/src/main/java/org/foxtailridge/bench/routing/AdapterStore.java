package org.foxtailridge.bench.routing;

/** Loads of adapters, which slow each other beyond a number in transit. */
final class AdapterStore {
    private static final long LOAD_MICROSECONDS = 7_500;

    private final EventQueue mEvents;
    private final int mAtFullSpeed;
    private int mInTransit;

    AdapterStore(EventQueue events, int atFullSpeed) {
        mEvents = events;
        mAtFullSpeed = atFullSpeed;
    }

    void load(Runnable done) {
        mInTransit++;
        long slowed = LOAD_MICROSECONDS * Math.max(mAtFullSpeed, mInTransit) / mAtFullSpeed;
        mEvents.after(
                slowed,
                () -> {
                    mInTransit--;
                    done.run();
                });
    }
}
