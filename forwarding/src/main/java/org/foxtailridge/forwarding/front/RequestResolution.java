package org.foxtailridge.forwarding.front;

import java.util.Optional;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.forwarding.request.ResolvedRequest;

/**
 * Result of a {@link RequestResolver}: a resolved request or a refusal.
 *
 * @param resolved the resolved request; empty if it is refused
 * @param refusal error kind of the refusal; null if the request is accepted
 * @param reason reason of the refusal, for the log; empty text if the request is accepted
 */
record RequestResolution(Optional<ResolvedRequest> resolved, ErrorKind refusal, String reason) {
    static RequestResolution accept(ResolvedRequest resolved) {
        return new RequestResolution(Optional.of(resolved), null, "");
    }

    static RequestResolution refuse(ErrorKind kind, String reason) {
        return new RequestResolution(Optional.empty(), kind, reason);
    }
}
