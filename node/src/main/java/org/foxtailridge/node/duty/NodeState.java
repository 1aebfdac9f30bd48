package org.foxtailridge.node.duty;

import javax.inject.Inject;
import javax.inject.Singleton;

/** Whether the node is stopping. */
@Singleton
public final class NodeState {
    private volatile boolean mStopping;

    /** Creates the state of a node that is not stopping. */
    @Inject
    public NodeState() {}

    /** Returns whether a graceful shutdown has begun. */
    public boolean isStopping() {
        return mStopping;
    }

    /** Begins a graceful shutdown: new requests are refused from now on. */
    public void beginStop() {
        mStopping = true;
    }
}
