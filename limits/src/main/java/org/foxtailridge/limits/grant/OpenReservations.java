package org.foxtailridge.limits.grant;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.limits.Reservation;

/**
 * Bounded table of the reservations that were granted and are not yet settled, over all client
 * accounts of this node.
 */
final class OpenReservations {
    private final int mMaximum;
    private final Map<Long, Entry> mEntries = new HashMap<>();
    private long mLastId;

    OpenReservations(int maximum) {
        mMaximum = maximum;
    }

    boolean isFull() {
        return mEntries.size() >= mMaximum;
    }

    /**
     * Opens a reservation under the next free id.
     *
     * @param account client account
     * @param tokens tokens reserved
     * @param origin source of the tokens
     * @param requestNumber number of the last grant request sent before the reservation
     */
    Reservation open(
            ClientAccountName account, long tokens, TokenPool.Origin origin, long requestNumber) {
        mLastId++;
        mEntries.put(mLastId, new Entry(origin, requestNumber));
        return new Reservation(mLastId, account, tokens);
    }

    /**
     * Replaces the stamp of a reservation's origin by the stamp of the home node's bucket at which
     * the tokens were first reported as spent. The home node bounds a refund by its bucket's
     * headroom since that stamp, so a later stamp allows a larger refund.
     */
    void setReportStamp(long reservation, long stamp) {
        mEntries.computeIfPresent(
                reservation,
                (id, entry) ->
                        new Entry(
                                new TokenPool.Origin(entry.origin().fencing(), stamp),
                                entry.requestNumber()));
    }

    Optional<Entry> close(Reservation reservation) {
        return Optional.ofNullable(mEntries.remove(reservation.id()));
    }

    /**
     * Source of an open reservation's tokens.
     *
     * @param origin source of the tokens
     * @param requestNumber number of the last grant request sent before the reservation
     */
    record Entry(TokenPool.Origin origin, long requestNumber) {}
}
