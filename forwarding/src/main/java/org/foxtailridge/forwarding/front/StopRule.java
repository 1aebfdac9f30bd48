package org.foxtailridge.forwarding.front;

import org.foxtailridge.forwarding.configuration.RequestKind;
import org.foxtailridge.forwarding.request.ResolvedRequest;

/**
 * Admission rule for requests that arrive, or are to be sent, during a planned stop of the node.
 *
 * <p>Callers still connect to a stopping node until the platform notices the stop, and longer when
 * too few other nodes of the data centre accept connections. A request that is expected to end
 * before the process exits is accepted; any other is refused at once, so that its caller can use
 * another node.
 */
final class StopRule {
    private final long mAcceptAllUntilMilliseconds;
    private final long mEndMilliseconds;
    private final StreamPace mPace;

    /**
     * Creates a rule.
     *
     * @param acceptAllUntilMilliseconds instant until which every request is accepted, as callers
     *     cannot know of the stop yet, in milliseconds since the epoch
     * @param endMilliseconds latest instant of the process's exit, in milliseconds since the epoch
     * @param pace measured pace of streams
     */
    StopRule(long acceptAllUntilMilliseconds, long endMilliseconds, StreamPace pace) {
        mAcceptAllUntilMilliseconds = acceptAllUntilMilliseconds;
        mEndMilliseconds = endMilliseconds;
        mPace = pace;
    }

    /**
     * Returns whether to accept a request, or to send one that was accepted earlier.
     *
     * @param resolved the request
     * @param now current instant, in milliseconds since the epoch
     */
    boolean accepts(ResolvedRequest resolved, long now) {
        return now < mAcceptAllUntilMilliseconds
                || expectedEndMilliseconds(resolved, now) <= mEndMilliseconds;
    }

    private long expectedEndMilliseconds(ResolvedRequest resolved, long now) {
        if (resolved.route().kind() != RequestKind.STREAM) {
            return resolved.deadlineMilliseconds();
        }
        long expected = now + mPace.expectedMilliseconds(resolved);
        return Math.min(resolved.deadlineMilliseconds(), expected);
    }
}
