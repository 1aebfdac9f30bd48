package org.foxtailridge.limits.grant;

import java.util.ArrayDeque;
import java.util.Deque;

/** Reservations that the home node has not been told of, in the order in which they were made. */
final class UnreportedReservations {
    private final OpenReservations mReservations;
    private final Deque<Entry> mEntries = new ArrayDeque<>();

    UnreportedReservations(OpenReservations reservations) {
        mReservations = reservations;
    }

    void add(long reservation, long number) {
        mEntries.addLast(new Entry(reservation, number));
    }

    /**
     * Notes that the home node has answered a request. Only the request right after a reservation
     * is known to be its first report; an earlier one may have been received without an answer.
     */
    void requestAnswered(long number, long reportStamp) {
        while (!mEntries.isEmpty() && mEntries.getFirst().number() < number) {
            Entry entry = mEntries.removeFirst();
            if (entry.number() + 1 == number && reportStamp > 0) {
                mReservations.setReportStamp(entry.reservation(), reportStamp);
            }
        }
    }

    void clear() {
        mEntries.clear();
    }

    private record Entry(long reservation, long number) {}
}
