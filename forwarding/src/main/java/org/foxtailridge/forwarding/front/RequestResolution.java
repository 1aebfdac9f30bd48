package org.foxtailridge.forwarding.front;

import java.util.Optional;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.forwarding.request.ResolvedRequest;

/**
 * Whether a request is taken on.
 *
 * @param terms terms under which it runs; empty when it is refused
 * @param refusal kind of the refusal; null when it is taken on
 * @param reason reason of the refusal, for the log; empty text when it is taken on
 */
record RequestResolution(Optional<ResolvedRequest> terms, ErrorKind refusal, String reason) {
    static RequestResolution accept(ResolvedRequest terms) {
        return new RequestResolution(Optional.of(terms), null, "");
    }

    static RequestResolution refuse(ErrorKind kind, String reason) {
        return new RequestResolution(Optional.empty(), kind, reason);
    }
}
