package org.foxtailridge.forwarding.request;

import java.util.Set;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.routing.AttemptOutcome;

/**
 * Actions that a {@link RequestStateMachine} requests from the node. No call blocks; results come
 * back as events of the state machine.
 */
public interface RequestOutbox {
    /** Reserves the tokens of the request at the limit of its client account. */
    void reserve();

    /**
     * Settles the reservation.
     *
     * @param mayHaveRun whether the request may have run, so that its tokens are charged; otherwise
     *     all of them are returned
     */
    void settle(boolean mayHaveRun);

    /**
     * Submits the request to the queue.
     *
     * @param excluded endpoints that must not be chosen
     * @param mayHaveRun whether an earlier attempt may have run, so that the queue must not answer
     *     that the request did not run
     */
    void submit(Set<EndpointName> excluded, boolean mayHaveRun);

    /** Removes the request from the queue. */
    void withdraw();

    /** Requests that the endpoint loads the adapter of the request. */
    void loadAdapter(EndpointName endpoint);

    /** Sends the request to the endpoint. */
    void send(EndpointName endpoint);

    /** Cancels what is left of the current attempt and reports its outcome to the queue. */
    void endAttempt(AttemptOutcome outcome);

    /** Sends the buffered error answer of an endpoint to the caller. */
    void forwardBufferedAnswer();

    /**
     * Answers the caller with an error of this node.
     *
     * @param kind kind of the error
     * @param retryAfterMilliseconds time after which a retry may succeed; 0 if unknown
     */
    void fail(ErrorKind kind, long retryAfterMilliseconds);

    /** Closes the caller's connection, so that a truncated answer cannot look complete. */
    void abort();

    /** Releases the resources of the request; no other call follows. */
    void ended();
}
