package org.foxtailridge.node.platform;

import javax.inject.Inject;
import javax.inject.Singleton;

/** Whether this node is cut off from the platform; set by tests. */
@Singleton
public final class PlatformCut {
    private volatile boolean mCut;

    /** Creates a switch that is off. */
    @Inject
    public PlatformCut() {}

    /** Turns the cut on or off. */
    public void set(boolean cut) {
        mCut = cut;
    }

    /** Returns whether the platform can't be reached. */
    public boolean isCut() {
        return mCut;
    }
}
