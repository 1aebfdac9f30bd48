package org.foxtailridge.node.duty;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.foxtailridge.configuration.fold.ConfigurationState;
import org.foxtailridge.configuration.follow.FollowerStatus;
import org.foxtailridge.configuration.key.KeyIndex;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.record.EditOutcome;

/** The configuration in force on this node; its offset never falls. */
@Singleton
public final class ConfigurationView {
    private final Clock mClock;
    private final List<ConfigurationListener> mListeners = new CopyOnWriteArrayList<>();
    private volatile InForce mInForce =
            new InForce(ConfigurationState.empty(), KeyIndex.of(Configuration.empty()));
    private volatile Instant mConfirmedAt;
    private volatile boolean mReady;
    private volatile String mProblem = "";

    /** Creates a view without configuration. */
    @Inject
    public ConfigurationView(Clock clock) {
        mClock = clock;
        mConfirmedAt = clock.instant();
    }

    /** Returns the configuration in force. */
    public Configuration current() {
        return mInForce.state().configuration();
    }

    /** Returns the keys in force. */
    public KeyIndex keys() {
        return mInForce.keys();
    }

    /** Returns the outcomes of the latest edits. */
    public List<EditOutcome> outcomes() {
        return mInForce.state().outcomes();
    }

    /** Returns whether there is a configuration that may be served with. */
    public boolean isReady() {
        return mReady && current().offset() >= 0;
    }

    /** Returns the time since this node last knew that no newer record exists. */
    public Duration staleness() {
        return Duration.between(mConfirmedAt, mClock.instant());
    }

    /** Returns what keeps this node from following, for operators; empty when nothing does. */
    public String problem() {
        return mProblem;
    }

    /** Adds a listener; it hears the configuration in force at once and then every change. */
    public void listen(ConfigurationListener listener) {
        mListeners.add(listener);
        listener.onConfiguration(Configuration.empty(), current());
    }

    /** Puts a state in force; called by one thread. An older one is ignored. */
    void advance(ConfigurationState next) {
        Configuration former = current();
        if (next.offset() <= former.offset()) {
            return;
        }
        mInForce = new InForce(next, KeyIndex.of(next.configuration()));
        mListeners.forEach(listener -> listener.onConfiguration(former, next.configuration()));
    }

    /** Takes note of how well this node follows. */
    void follow(FollowerStatus status) {
        mReady = status.ready();
        mProblem = status.reason();
        status.staleness().ifPresent(age -> mConfirmedAt = mClock.instant().minus(age));
    }

    private record InForce(ConfigurationState state, KeyIndex keys) {}
}
