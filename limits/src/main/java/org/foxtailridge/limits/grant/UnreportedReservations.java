package org.foxtailridge.limits.grant;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * FIFO queue of the reservations that used granted tokens since the last answered grant request.
 * The next request reports them to the home node, as fewer held tokens.
 */
final class UnreportedReservations {
    private final OpenReservations mReservations;
    private final Deque<Entry> mEntries = new ArrayDeque<>();

    UnreportedReservations(OpenReservations reservations) {
        mReservations = reservations;
    }

    void add(long reservation, long requestNumber) {
        mEntries.addLast(new Entry(reservation, requestNumber));
    }

    /**
     * Removes the reservations that an answered request has reported, and sets the report stamp of
     * those for which this request was the first report. That is certain only for the request right
     * after the reservation: if that request got no answer, the home node may still have received
     * it, and the stamp of a later request would be too high.
     */
    void requestAnswered(long requestNumber, long reportStamp) {
        while (!mEntries.isEmpty() && mEntries.getFirst().requestNumber() < requestNumber) {
            Entry entry = mEntries.removeFirst();
            if (entry.requestNumber() + 1 == requestNumber && reportStamp > 0) {
                mReservations.setReportStamp(entry.reservation(), reportStamp);
            }
        }
    }

    void clear() {
        mEntries.clear();
    }

    private record Entry(long reservation, long requestNumber) {}
}
