package org.foxtailridge.configuration.follow;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.foxtailridge.configuration.fold.ConfigurationFold;
import org.foxtailridge.configuration.fold.ConfigurationState;
import org.foxtailridge.configuration.fold.FoldResult;
import org.foxtailridge.configuration.record.IncompatibleRecordException;
import org.foxtailridge.protocol.configuration.RelayedRecord;

/** The state of one node, which only moves to higher offsets, and how current it is. */
class FollowedState {
    private static final RelayedRecord PASSED_OVER =
            RelayedRecord.newBuilder().setPassedOver(true).build();

    private ConfigurationFold mFold = ConfigurationFold.create();
    private final RecordWindow mWindow;
    private final FollowerOutbox mOutbox;
    private Optional<Instant> mConfirmedAt = Optional.empty();
    private Optional<String> mStopReason = Optional.empty();
    private FollowerPhase mProblem = FollowerPhase.FOLLOWING;
    private Instant mProblemAt = Instant.MIN;

    FollowedState(FollowerSettings settings, FollowerOutbox outbox) {
        mWindow = new RecordWindow(settings.windowRecords(), settings.windowBytes());
        mOutbox = outbox;
    }

    ConfigurationState current() {
        return mFold.state();
    }

    long offset() {
        return mFold.state().offset();
    }

    RecordWindow window() {
        return mWindow;
    }

    boolean stopped() {
        return mStopReason.isPresent();
    }

    Optional<String> stopReason() {
        return mStopReason;
    }

    FollowerPhase problem() {
        return mProblem;
    }

    void setProblem(FollowerPhase problem, Instant now) {
        mProblem = problem;
        mProblemAt = now;
    }

    /** Folds a record if it is the next one; returns whether it is folded now. */
    boolean fold(long offset, RelayedRecord record) {
        if (stopped() || offset != offset() + 1) {
            return offset <= offset();
        }
        FoldResult result;
        try {
            result =
                    record.hasPayload()
                            ? mFold.apply(offset, record.getPayload())
                            : mFold.passOver(offset);
        } catch (IncompatibleRecordException newer) {
            mStopReason = Optional.of("offset " + offset + ": " + newer.getMessage());
            return false;
        }
        mWindow.add(result.passedOver() ? PASSED_OVER : record);
        mOutbox.inForce(result.before(), result.after());
        return true;
    }

    /** Returns whether a state at an offset may replace this one. */
    boolean liesAhead(long offset) {
        return offset > offset();
    }

    /** Returns whether the record after this state is among those that the log still holds. */
    boolean reaches(long firstRetained) {
        return firstRetained <= offset() + 1;
    }

    /** Takes over a state if it lies ahead; returns whether it did. */
    boolean install(ConfigurationState state) {
        if (stopped() || !liesAhead(state.offset())) {
            return false;
        }
        ConfigurationState before = mFold.state();
        mFold = ConfigurationFold.from(state);
        mWindow.restartAt(state.offset() + 1);
        mOutbox.inForce(before, state);
        return true;
    }

    /** Notes that at an instant there was no record beyond this node's offset. */
    void confirm(Instant instant) {
        if (mConfirmedAt.isEmpty() || mConfirmedAt.get().isBefore(instant)) {
            mConfirmedAt = Optional.of(instant);
        }
        if (instant.isAfter(mProblemAt)) {
            mProblem = FollowerPhase.FOLLOWING;
        }
    }

    Optional<Duration> staleness(Instant now) {
        return mConfirmedAt.map(confirmed -> Duration.between(confirmed, now));
    }

    boolean isStale(Instant now, Duration bound) {
        return staleness(now).map(age -> age.compareTo(bound) > 0).orElse(true);
    }
}
