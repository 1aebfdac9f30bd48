package org.foxtailridge.forwarding.front;

import java.util.Optional;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.forwarding.request.RequestTerms;

/**
 * Whether a request is taken on.
 *
 * @param terms terms under which it runs; empty when it is refused
 * @param refusal kind of the refusal; null when it is taken on
 * @param reason reason of the refusal, for the log; empty text when it is taken on
 */
record TermsDecision(Optional<RequestTerms> terms, ErrorKind refusal, String reason) {
    static TermsDecision accept(RequestTerms terms) {
        return new TermsDecision(Optional.of(terms), null, "");
    }

    static TermsDecision refuse(ErrorKind kind, String reason) {
        return new TermsDecision(Optional.empty(), kind, reason);
    }
}
