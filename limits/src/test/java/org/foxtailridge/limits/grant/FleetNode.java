package org.foxtailridge.limits.grant;

import java.util.ArrayDeque;
import java.util.Deque;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.limits.TokenLimiter;

/** Process of a {@link LimitsFleet} with its limiter; queues events while it is paused. */
final class FleetNode {
    final NodeName mName;
    final int mDataCentre;
    final DriftingClock mClock;
    final Deque<Runnable> mEvents = new ArrayDeque<>();
    TokenLimiter mLimiter;
    long mPausedUntil;
    long mNextTick;
    boolean mIsDead;
    boolean mIsLeaving;

    FleetNode(NodeName name, int dataCentre, DriftingClock clock) {
        mName = name;
        mDataCentre = dataCentre;
        mClock = clock;
    }

    void deliver(Runnable event, long now) {
        if (mIsDead) {
            return;
        }
        mEvents.addLast(event);
        run(now);
    }

    void run(long now) {
        while (!mIsDead && now >= mPausedUntil && !mEvents.isEmpty()) {
            mEvents.removeFirst().run();
        }
    }
}
