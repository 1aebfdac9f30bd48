package org.foxtailridge.forwarding.front;

import java.util.Optional;
import org.foxtailridge.forwarding.http.BodyFraming;

/**
 * Part of a stream that one endpoint sent.
 *
 * @param framing how its end is recognised
 * @param resumedAfter identifier of the event after which it was to start; empty for a new stream
 * @param lastEventId identifier of the last event that the caller has; empty if there is none
 * @param violation why an event does not follow the ones before it; empty if all do
 */
record StreamAttempt(
        BodyFraming framing,
        Optional<String> resumedAfter,
        Optional<String> lastEventId,
        Optional<String> violation) {
    /** Returns whether the answer could be out of order or incomplete without further signs. */
    boolean isNotable() {
        return framing == BodyFraming.CONNECTION
                || resumedAfter.isPresent()
                || violation.isPresent();
    }
}
