package org.foxtailridge.routing.queue;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.routing.RouteRequest;

/** Maps the reason of a refusal to the error kind that the caller receives. */
interface RefusalRule {
    /** Doesn't claim that a request was not run when an earlier attempt may have begun. */
    RefusalRule DEFAULT =
            (request, kind) -> request.mayHaveBegun() ? ErrorKind.ENDPOINT_FAILED : kind;

    /**
     * Returns the kind that is reported to the caller.
     *
     * @param request the refused request
     * @param kind reason of the refusal
     */
    ErrorKind kindFor(RouteRequest request, ErrorKind kind);
}
