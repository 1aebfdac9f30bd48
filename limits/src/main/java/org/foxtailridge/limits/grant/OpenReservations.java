package org.foxtailridge.limits.grant;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.limits.Reservation;

/** Reservations that were granted and not settled, up to a bound. */
final class OpenReservations {
    private final int mMaximum;
    private final Map<Long, OpenReservations.Entry> mSpent = new HashMap<>();
    private long mLastId;

    OpenReservations(int maximum) {
        mMaximum = maximum;
    }

    boolean isFull() {
        return mSpent.size() >= mMaximum;
    }

    /**
     * Opens a reservation.
     *
     * @param account client account
     * @param tokens tokens reserved
     * @param origin where the tokens came from
     * @param number number of the last request to the home node before
     */
    Reservation open(ClientAccountName account, long tokens, TokenPool.Origin origin, long number) {
        mLastId++;
        mSpent.put(mLastId, new OpenReservations.Entry(origin, number));
        return new Reservation(mLastId, account, tokens);
    }

    /** Notes the stamp at which the home node learned that the tokens were spent. */
    void setReportStamp(long reservation, long stamp) {
        mSpent.computeIfPresent(
                reservation,
                (id, spent) ->
                        new OpenReservations.Entry(
                                new TokenPool.Origin(spent.origin().fencing(), stamp),
                                spent.requestNumber()));
    }

    Optional<OpenReservations.Entry> close(Reservation reservation) {
        return Optional.ofNullable(mSpent.remove(reservation.id()));
    }

    /**
     * Tokens of an open reservation.
     *
     * @param origin where they came from
     * @param requestNumber number of the last request to the home node before they were spent
     */
    record Entry(TokenPool.Origin origin, long requestNumber) {}
}
