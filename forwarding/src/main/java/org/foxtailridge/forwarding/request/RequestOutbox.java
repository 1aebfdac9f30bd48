package org.foxtailridge.forwarding.request;

import java.util.Set;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.routing.AttemptOutcome;

/** What the life of a request asks the node to do. No call waits for its effect. */
public interface RequestOutbox {
    /** Reserves the tokens of the request at its client account's limit. */
    void reserve();

    /** Ends the reservation; the tokens count when the request may have run. */
    void settle(boolean mayHaveRun);

    /**
     * Puts the request into the queue.
     *
     * @param excluded endpoints that it must not go to
     * @param begun whether "not run" would be untrue
     */
    void submit(Set<EndpointName> excluded, boolean begun);

    /** Takes the request out of the queue. */
    void withdraw();

    /** Has the endpoint load the adapter. */
    void prepare(EndpointName endpoint);

    /** Sends the request to the endpoint. */
    void send(EndpointName endpoint);

    /** Ends the attempt under way, if its connection is open, and tells the queue how. */
    void endAttempt(AttemptOutcome end);

    /** Passes on the failure that an endpoint answered with and that was kept. */
    void passKeptAnswer();

    /**
     * Answers with a failure of this node.
     *
     * @param kind kind of the failure
     * @param retryAfterMilliseconds time after which a retry may succeed; 0 for the table's
     */
    void fail(ErrorKind kind, long retryAfterMilliseconds);

    /** Closes the caller's connection, so that the answer can't look complete. */
    void abort();

    /** The life has ended; nothing follows. */
    void ended();
}
