package org.foxtailridge.limits.grant;

import java.util.ArrayDeque;
import java.util.Deque;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.limits.TokenLimiter;

/** One process of the fleet: its limiter, and events that it has not seen while paused. */
final class FleetNode {
    final NodeName mName;
    final int mDataCentre;
    final DriftingClock mClock;
    final Deque<Runnable> mInbox = new ArrayDeque<>();
    TokenLimiter mLimiter;
    long mPausedUntil;
    long mNextTick;
    boolean mDead;
    boolean mLeaving;

    FleetNode(NodeName name, int dataCentre, DriftingClock clock) {
        mName = name;
        mDataCentre = dataCentre;
        mClock = clock;
    }

    void deliver(Runnable event, long now) {
        if (mDead) {
            return;
        }
        mInbox.addLast(event);
        run(now);
    }

    void run(long now) {
        while (!mDead && now >= mPausedUntil && !mInbox.isEmpty()) {
            mInbox.removeFirst().run();
        }
    }
}
