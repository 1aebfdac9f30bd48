package org.foxtailridge.bench.limits;

import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.limits.TokenLimiter;

/** One process of a run. */
final class SimulatedNode {
    private final NodeName mName;
    private final int mPosition;
    private final int mDataCentre;
    private TokenLimiter mLimiter;
    private boolean mDead;

    SimulatedNode(NodeName name, int position, int dataCentre) {
        mName = name;
        mPosition = position;
        mDataCentre = dataCentre;
    }

    NodeName name() {
        return mName;
    }

    int position() {
        return mPosition;
    }

    int dataCentre() {
        return mDataCentre;
    }

    TokenLimiter limiter() {
        return mLimiter;
    }

    void limiter(TokenLimiter limiter) {
        mLimiter = limiter;
    }

    boolean isDead() {
        return mDead;
    }

    void die() {
        mDead = true;
    }
}
