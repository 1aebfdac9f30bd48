package org.foxtailridge.limits.grant;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.limits.Reservation;

/** Reservations that were granted and not settled, up to a bound. */
final class OpenReservations {
    private final int mMaximum;
    private final Map<Long, TokenPool.Origin> mOrigins = new HashMap<>();
    private long mLastId;

    OpenReservations(int maximum) {
        mMaximum = maximum;
    }

    boolean isFull() {
        return mOrigins.size() >= mMaximum;
    }

    Reservation open(ClientAccountName account, long tokens, TokenPool.Origin origin) {
        mLastId++;
        mOrigins.put(mLastId, origin);
        return new Reservation(mLastId, account, tokens);
    }

    Optional<TokenPool.Origin> close(Reservation reservation) {
        return Optional.ofNullable(mOrigins.remove(reservation.id()));
    }
}
