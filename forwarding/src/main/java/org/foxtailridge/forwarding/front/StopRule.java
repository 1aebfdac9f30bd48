package org.foxtailridge.forwarding.front;

import org.foxtailridge.forwarding.configuration.RequestKind;
import org.foxtailridge.forwarding.request.ResolvedRequest;

/**
 * Which requests a node still begins while it stops.
 *
 * <p>Callers go on coming to a stopping node for as long as the platform takes to notice, and when
 * too few other nodes of the data centre take connections. A request that is sure to end before the
 * process does is served; any other is refused at once, so that its caller goes elsewhere.
 */
final class StopRule {
    // An engine with a full batch makes a token in some 8 ms, and reads prompts in between.
    private static final long MILLISECONDS_PER_TOKEN = 12;
    private static final long FIRST_EVENT_MILLISECONDS = 1_000;
    // Longest answer that is expected of a stream that names no size.
    private static final int UNKNOWN_TOKENS = 1_000;

    private final long mAllUntilMilliseconds;
    private final long mEndMilliseconds;

    /**
     * Creates a rule.
     *
     * @param allUntilMilliseconds until when callers can't know of the stop and every request is
     *     begun, in milliseconds since the epoch
     * @param endMilliseconds when the process ends at the latest, in milliseconds since the epoch
     */
    StopRule(long allUntilMilliseconds, long endMilliseconds) {
        mAllUntilMilliseconds = allUntilMilliseconds;
        mEndMilliseconds = endMilliseconds;
    }

    /** Returns whether a request that has come now is to be begun. */
    boolean mayBegin(ResolvedRequest terms, long now) {
        return now < mAllUntilMilliseconds || endsAt(terms, now) <= mEndMilliseconds;
    }

    private static long endsAt(ResolvedRequest terms, long now) {
        if (terms.route().kind() != RequestKind.STREAM) {
            return terms.deadlineMilliseconds();
        }
        long tokens = terms.metadata().maximumOutputTokens().orElse(UNKNOWN_TOKENS);
        long expected = now + FIRST_EVENT_MILLISECONDS + tokens * MILLISECONDS_PER_TOKEN;
        return Math.min(terms.deadlineMilliseconds(), expected);
    }
}
