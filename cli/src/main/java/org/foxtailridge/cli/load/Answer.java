package org.foxtailridge.cli.load;

import java.time.Duration;
import java.util.List;

/**
 * What became of one request. Times run from its intended start, so that a delayed start counts.
 *
 * @param arrival the request
 * @param outcome {@code whole}, {@code not_sent}, {@code no_answer} or the kind of an error
 * @param firstToken time to the first token; null when none came
 * @param completion time to the end of the answer
 * @param gaps times between tokens
 */
record Answer(
        Arrival arrival,
        String outcome,
        Duration firstToken,
        Duration completion,
        List<Duration> gaps) {
    static final String WHOLE = "whole";
    static final String NOT_SENT = "not_sent";
    static final String NO_ANSWER = "no_answer";

    boolean isWhole() {
        return outcome.equals(WHOLE);
    }
}
