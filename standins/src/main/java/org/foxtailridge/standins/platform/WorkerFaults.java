package org.foxtailridge.standins.platform;

/**
 * What a worker does wrong with its next requests and orders; the default of each is none.
 *
 * @param full requests that it rejects as full
 * @param failing requests that it runs and answers with a failure of its own
 * @param cutBeforeAnswer requests that it runs before it closes the connection without an answer
 * @param cutInsideAnswer requests whose answer it breaks off in the middle
 * @param crossed requests whose answer it sends under another request's identifier
 * @param rejecting resumed streams that it answers with a rejection of its own
 * @param lostOrders orders that it carries out without an answer
 */
public record WorkerFaults(
        int full,
        int failing,
        int cutBeforeAnswer,
        int cutInsideAnswer,
        int crossed,
        int rejecting,
        int lostOrders) {
    /** Returns a worker that does nothing wrong. */
    public static WorkerFaults none() {
        return new WorkerFaults(0, 0, 0, 0, 0, 0, 0);
    }

    /** Returns these faults with another number of requests that are rejected as full. */
    public WorkerFaults withFull(int requests) {
        return new WorkerFaults(
                requests,
                failing,
                cutBeforeAnswer,
                cutInsideAnswer,
                crossed,
                rejecting,
                lostOrders);
    }

    /** Returns these faults with another number of requests that are answered with a failure. */
    public WorkerFaults withFailing(int requests) {
        return new WorkerFaults(
                full, requests, cutBeforeAnswer, cutInsideAnswer, crossed, rejecting, lostOrders);
    }

    /** Returns these faults with another number of requests that run and get no answer. */
    public WorkerFaults withCutBeforeAnswer(int requests) {
        return new WorkerFaults(
                full, failing, requests, cutInsideAnswer, crossed, rejecting, lostOrders);
    }

    /** Returns these faults with another number of answers that break off. */
    public WorkerFaults withCutInsideAnswer(int requests) {
        return new WorkerFaults(
                full, failing, cutBeforeAnswer, requests, crossed, rejecting, lostOrders);
    }

    /** Returns these faults with another number of answers that belong to another request. */
    public WorkerFaults withCrossed(int requests) {
        return new WorkerFaults(
                full, failing, cutBeforeAnswer, cutInsideAnswer, requests, rejecting, lostOrders);
    }

    /** Returns these faults with another number of resumed streams that are rejected. */
    public WorkerFaults withRejecting(int requests) {
        return new WorkerFaults(
                full, failing, cutBeforeAnswer, cutInsideAnswer, crossed, requests, lostOrders);
    }

    /** Returns these faults with another number of orders that get no answer. */
    public WorkerFaults withLostOrders(int orders) {
        return new WorkerFaults(
                full, failing, cutBeforeAnswer, cutInsideAnswer, crossed, rejecting, orders);
    }
}
