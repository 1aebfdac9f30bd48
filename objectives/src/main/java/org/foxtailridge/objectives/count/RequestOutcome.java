package org.foxtailridge.objectives.count;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * What became of one request that the system took on. Refusals that the plan asks for, such as
 * those above the rate, are not requests taken on and are not reported here.
 *
 * @param route model or service
 * @param clientAccount client account
 * @param firstToken time from the request to the first token; empty when none came
 * @param longestGap largest time between two tokens; empty when there were fewer than two
 * @param completion time from the request to the end of the answer; empty when it was not whole
 */
public record RequestOutcome(
        String route,
        String clientAccount,
        Optional<Duration> firstToken,
        Optional<Duration> longestGap,
        Optional<Duration> completion) {
    /** Checks that no part is missing. */
    public RequestOutcome {
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(clientAccount, "clientAccount");
        Objects.requireNonNull(firstToken, "firstToken");
        Objects.requireNonNull(longestGap, "longestGap");
        Objects.requireNonNull(completion, "completion");
    }

    /** Returns whether the answer was whole. */
    public boolean isWhole() {
        return completion.isPresent();
    }
}
