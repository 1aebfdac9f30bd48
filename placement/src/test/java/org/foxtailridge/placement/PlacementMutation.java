package org.foxtailridge.placement;

import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.foxtailridge.placement.order.EndpointOrders;
import org.foxtailridge.placement.order.MutatedHistory;
import org.foxtailridge.placement.order.MutatedOrders;
import org.foxtailridge.placement.order.OrderHistory;
import org.foxtailridge.placement.order.OrderSettings;

/** Rules of placement broken one at a time, to see that a check notices. */
public enum PlacementMutation implements UnaryOperator<Placement.Builder> {
    /** A transmission without an answer counts as never executed. */
    LOST_COUNTS_AS_FAILED("holds", MutatedOrders::lostCountsAsFailed),
    /** An order that the engine has not seen counts as never to be executed. */
    UNKNOWN_COUNTS_AS_FAILED("holds", MutatedOrders::unknownCountsAsFailed),
    /** A holder gives orders after its lease has lapsed. */
    LAPSED_LEASE_IS_GOOD("sent without a lease", MutatedOrders::lapsedLeaseIsGood),
    /** Late transmissions of ended orders are not charged after a restart. */
    LATE_ORDERS_ARE_FREE("holds", MutatedHistory::lateOrdersAreFree),
    /** Intents of former holders are admitted. */
    FORMER_HOLDERS_ARE_ADMITTED("orders without an end", MutatedHistory::formerHoldersAreAdmitted),
    /** Unloads need no witness, neither in the log nor when they are sent. */
    NO_WITNESS("last copy unloaded", MutatedHistory::noWitness, MutatedOrders::unguarded);

    private final String mViolation;
    private final Function<OrderSettings, OrderHistory> mHistories;
    private final Placement.OrdersFactory mOrders;

    PlacementMutation(String violation, Placement.OrdersFactory orders) {
        this(violation, OrderHistory::new, orders);
    }

    PlacementMutation(String violation, Function<OrderSettings, OrderHistory> histories) {
        this(violation, histories, EndpointOrders::new);
    }

    PlacementMutation(
            String violation,
            Function<OrderSettings, OrderHistory> histories,
            Placement.OrdersFactory orders) {
        mViolation = violation;
        mHistories = histories;
        mOrders = orders;
    }

    /** Returns a part of the text of the violation that the mutation brings about. */
    public String violation() {
        return mViolation;
    }

    @Override
    public Placement.Builder apply(Placement.Builder builder) {
        return builder.histories(mHistories).ordersFactory(mOrders);
    }
}
