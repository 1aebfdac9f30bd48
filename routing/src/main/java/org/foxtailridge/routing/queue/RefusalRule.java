package org.foxtailridge.routing.queue;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.routing.RouteRequest;

/** Decides as what kind a refusal is answered. */
interface RefusalRule {
    /** Says "not run" only of requests that never began. */
    RefusalRule TRUTHFUL =
            (request, kind) -> request.mayHaveBegun() ? ErrorKind.ENDPOINT_FAILED : kind;

    /** Returns the kind to answer with. */
    ErrorKind kindFor(RouteRequest request, ErrorKind kind);
}
