package org.foxtailridge.objectives.count;

import java.time.Duration;
import java.util.Optional;
import org.foxtailridge.configuration.model.Objective;

/** Says whether a request is a good or a bad event of an objective, or none. */
public interface EventRule {
    /** What a request is to an objective. */
    enum Event {
        /** The objective was met. */
        GOOD,
        /** The objective was missed. */
        BAD,
        /** The objective does not apply. */
        NONE
    }

    /** Returns what a request is to an objective whose route and client account match. */
    Event judge(Objective objective, RequestOutcome outcome);

    /**
     * Returns the rule in use: a broken answer is bad by every measure, except that an answer with
     * fewer than two tokens has no time between tokens unless it broke off.
     */
    static EventRule standard() {
        return (objective, outcome) ->
                switch (objective.measure()) {
                    case AVAILABILITY -> outcome.isWhole() ? Event.GOOD : Event.BAD;
                    case FIRST_TOKEN -> within(objective, outcome.firstToken(), Event.BAD);
                    case COMPLETION -> within(objective, outcome.completion(), Event.BAD);
                    case BETWEEN_TOKENS -> betweenTokens(objective, outcome);
                };
    }

    private static Event betweenTokens(Objective objective, RequestOutcome outcome) {
        if (!outcome.isWhole()) {
            return Event.BAD;
        }
        return within(objective, outcome.longestGap(), Event.NONE);
    }

    private static Event within(Objective objective, Optional<Duration> time, Event absent) {
        if (time.isEmpty()) {
            return absent;
        }
        boolean good = time.get().toMillis() <= objective.thresholdMilliseconds();
        return good ? Event.GOOD : Event.BAD;
    }
}
