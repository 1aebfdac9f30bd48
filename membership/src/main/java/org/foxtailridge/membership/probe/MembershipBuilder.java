package org.foxtailridge.membership.probe;

import java.time.Clock;
import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.NodeName;

/** Builder of a {@link Membership}. All properties except the settings are required. */
public final class MembershipBuilder {
    private final NodeName mSelf;
    private final DataCentreName mDataCentre;
    private MembershipSettings mSettings = MembershipSettings.defaults();
    private long mIncarnation;
    private Clock mClock;
    private UniformRandomProvider mRandom;
    private MembershipOutbox mOutbox;

    MembershipBuilder(NodeName self, DataCentreName dataCentre) {
        mSelf = Objects.requireNonNull(self, "self");
        mDataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
    }

    /** Replaces {@link MembershipSettings#defaults()}. */
    public MembershipBuilder settings(MembershipSettings settings) {
        mSettings = Objects.requireNonNull(settings, "settings");
        return this;
    }

    /** Sets the milliseconds since the epoch at which this process started; at least 1. */
    public MembershipBuilder incarnation(long incarnation) {
        if (incarnation < 1) {
            throw new IllegalArgumentException(
                    "incarnation must be at least 1 but was " + incarnation);
        }
        mIncarnation = incarnation;
        return this;
    }

    /** Sets the clock that measures probe periods and timeouts. */
    public MembershipBuilder clock(Clock clock) {
        mClock = Objects.requireNonNull(clock, "clock");
        return this;
    }

    /** Sets the source of randomness for the choice of probe targets. */
    public MembershipBuilder random(UniformRandomProvider random) {
        mRandom = Objects.requireNonNull(random, "random");
        return this;
    }

    /** Sets the outbox that sends messages and publishes views. */
    public MembershipBuilder outbox(MembershipOutbox outbox) {
        mOutbox = Objects.requireNonNull(outbox, "outbox");
        return this;
    }

    /** Builds the membership; fails when a required property is not set. */
    public Membership build() {
        Objects.requireNonNull(mClock, "clock");
        Objects.requireNonNull(mRandom, "random");
        Objects.requireNonNull(mOutbox, "outbox");
        if (mIncarnation < 1) {
            throw new IllegalArgumentException("incarnation must be set");
        }
        return Membership.create(this);
    }

    MembershipSettings settings() {
        return mSettings;
    }

    NodeName self() {
        return mSelf;
    }

    DataCentreName dataCentre() {
        return mDataCentre;
    }

    long incarnation() {
        return mIncarnation;
    }

    Clock clock() {
        return mClock;
    }

    UniformRandomProvider random() {
        return mRandom;
    }

    MembershipOutbox outbox() {
        return mOutbox;
    }
}
