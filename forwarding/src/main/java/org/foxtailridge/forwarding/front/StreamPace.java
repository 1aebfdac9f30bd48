package org.foxtailridge.forwarding.front;

import java.time.Clock;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.foxtailridge.forwarding.request.ResolvedRequest;
import org.foxtailridge.forwarding.request.WantedModel;

/**
 * Measures how long streams take, by model, and predicts from the slowest recent ones how long
 * another stream may take. Confined to one thread.
 *
 * <pre>{@code
 * pace.record(resolved, 350, 3_800);  // first event after 350 ms, end after 3,800 ms
 * pace.expectedMilliseconds(resolved);
 * }</pre>
 */
final class StreamPace {
    // The slowest stream of the current and of the previous interval counts.
    private static final long INTERVAL_MILLISECONDS = 30_000;
    // Accounts for streams that are slower than all recent ones.
    private static final double MARGIN_FACTOR = 1.25;
    // Assumed length of the answer if a stream states no maximum.
    private static final int DEFAULT_OUTPUT_TOKENS = 1_000;
    // Few streams of a model say little about its pace under load: an engine with a full batch
    // takes about 8 ms per token, plus prefill of other prompts.
    private static final double MINIMUM_FIRST_EVENT_MILLISECONDS = 1_000;
    private static final double MINIMUM_MILLISECONDS_PER_OUTPUT_TOKEN = 12;
    private static final Pace MINIMUM_PACE =
            new Pace(MINIMUM_FIRST_EVENT_MILLISECONDS, MINIMUM_MILLISECONDS_PER_OUTPUT_TOKEN);
    // Assumed pace of a service of which no stream has ended yet.
    private static final double DEFAULT_FIRST_EVENT_MILLISECONDS = 1_000;
    private static final double DEFAULT_MILLISECONDS_PER_OUTPUT_TOKEN = 45;
    private static final Pace DEFAULT_PACE =
            new Pace(DEFAULT_FIRST_EVENT_MILLISECONDS, DEFAULT_MILLISECONDS_PER_OUTPUT_TOKEN);

    private final Clock mClock;
    private final Map<String, SlowestPace> mByModel = new HashMap<>();
    private final Map<String, SlowestPace> mByService = new HashMap<>();

    StreamPace(Clock clock) {
        mClock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Records a complete stream.
     *
     * @param resolved its request
     * @param firstEventMilliseconds time from its arrival to its first event
     * @param totalMilliseconds time from its arrival to its end
     */
    void record(ResolvedRequest resolved, long firstEventMilliseconds, long totalMilliseconds) {
        double rest = totalMilliseconds - firstEventMilliseconds;
        Pace pace = new Pace(firstEventMilliseconds, rest / Math.max(1, tokensOf(resolved)));
        long now = mClock.millis();
        mByModel.computeIfAbsent(modelOf(resolved), name -> new SlowestPace(now)).add(pace, now);
        mByService.computeIfAbsent(resolved.service(), name -> new SlowestPace(now)).add(pace, now);
    }

    /** Returns the time that a stream may take from its arrival to its end, in milliseconds. */
    long expectedMilliseconds(ResolvedRequest resolved) {
        SlowestPace slowest = mByModel.get(modelOf(resolved));
        if (slowest == null) {
            slowest = mByService.get(resolved.service());
        }
        Pace pace = slowest == null ? DEFAULT_PACE : slowest.get();
        int tokens = tokensOf(resolved);
        double measured = pace.milliseconds(tokens) * MARGIN_FACTOR;
        return Math.round(Math.max(measured, MINIMUM_PACE.milliseconds(tokens)));
    }

    private static String modelOf(ResolvedRequest resolved) {
        String model = resolved.metadata().model().map(WantedModel::model).orElse("");
        return RequestTargets.modelName(resolved.service(), model);
    }

    private static int tokensOf(ResolvedRequest resolved) {
        return resolved.metadata().maximumOutputTokens().orElse(DEFAULT_OUTPUT_TOKENS);
    }

    /**
     * Pace of a stream.
     *
     * @param firstEventMilliseconds time from its arrival to its first event
     * @param millisecondsPerOutputToken time from its first event to its end, for each token of its
     *     maximum length
     */
    private record Pace(double firstEventMilliseconds, double millisecondsPerOutputToken) {
        private double milliseconds(int outputTokens) {
            return firstEventMilliseconds + outputTokens * millisecondsPerOutputToken;
        }

        private Pace slowerOf(Pace other) {
            return new Pace(
                    Math.max(firstEventMilliseconds, other.firstEventMilliseconds),
                    Math.max(millisecondsPerOutputToken, other.millisecondsPerOutputToken));
        }
    }

    /** Slowest pace of the current interval and of the one before it. */
    private static final class SlowestPace {
        private static final Pace NONE = new Pace(0, 0);

        private long mSinceMilliseconds;
        private Pace mPrevious = NONE;
        private Pace mCurrent = NONE;

        private SlowestPace(long now) {
            mSinceMilliseconds = now;
        }

        private void add(Pace pace, long now) {
            if (now - mSinceMilliseconds >= INTERVAL_MILLISECONDS) {
                mPrevious = mCurrent;
                mCurrent = NONE;
                mSinceMilliseconds = now;
            }
            mCurrent = mCurrent.slowerOf(pace);
        }

        private Pace get() {
            return mCurrent.slowerOf(mPrevious);
        }
    }
}
