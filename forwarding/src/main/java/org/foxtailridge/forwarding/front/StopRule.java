package org.foxtailridge.forwarding.front;

import org.foxtailridge.forwarding.configuration.RequestKind;
import org.foxtailridge.forwarding.request.ResolvedRequest;

/**
 * Admission rule for requests that arrive during a planned stop of the node.
 *
 * <p>Callers still connect to a stopping node until the platform notices the stop, and longer when
 * too few other nodes of the data centre accept connections. A request that is expected to end
 * before the process exits is accepted; any other is refused at once, so that its caller can use
 * another node.
 */
final class StopRule {
    // An engine with a full batch takes about 8 ms per token, plus prefill of other prompts.
    private static final long MILLISECONDS_PER_TOKEN = 12;
    // Assumed time from the arrival of a request to its first event.
    private static final long FIRST_EVENT_MILLISECONDS = 1_000;
    // Assumed length of the answer if a stream states no maximum.
    private static final int DEFAULT_OUTPUT_TOKENS = 1_000;

    private final long mAcceptAllUntilMilliseconds;
    private final long mEndMilliseconds;

    /**
     * Creates a rule.
     *
     * @param acceptAllUntilMilliseconds instant until which every request is accepted, as callers
     *     cannot know of the stop yet, in milliseconds since the epoch
     * @param endMilliseconds latest instant of the process's exit, in milliseconds since the epoch
     */
    StopRule(long acceptAllUntilMilliseconds, long endMilliseconds) {
        mAcceptAllUntilMilliseconds = acceptAllUntilMilliseconds;
        mEndMilliseconds = endMilliseconds;
    }

    /**
     * Returns whether to accept a request.
     *
     * @param resolved the request
     * @param now instant of its arrival, in milliseconds since the epoch
     */
    boolean accepts(ResolvedRequest resolved, long now) {
        return now < mAcceptAllUntilMilliseconds
                || expectedEndMilliseconds(resolved, now) <= mEndMilliseconds;
    }

    private static long expectedEndMilliseconds(ResolvedRequest resolved, long now) {
        if (resolved.route().kind() != RequestKind.STREAM) {
            return resolved.deadlineMilliseconds();
        }
        long tokens = resolved.metadata().maximumOutputTokens().orElse(DEFAULT_OUTPUT_TOKENS);
        long expected = now + FIRST_EVENT_MILLISECONDS + tokens * MILLISECONDS_PER_TOKEN;
        return Math.min(resolved.deadlineMilliseconds(), expected);
    }
}
