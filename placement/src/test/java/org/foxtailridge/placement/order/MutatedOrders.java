package org.foxtailridge.placement.order;

import java.time.Clock;
import java.util.Optional;
import java.util.function.Supplier;

/** Orders of an endpoint with one rule broken. */
public final class MutatedOrders {
    private MutatedOrders() {}

    public static EndpointOrders lostCountsAsFailed(
            EndpointHistory history,
            DutyLeases leases,
            OrderOutbox outbox,
            UnloadGuard guard,
            Supplier<WeightStoreLimits> limits,
            OrderSettings settings,
            Clock clock) {
        return new EndpointOrders(history, leases, outbox, guard, limits, settings, clock) {
            @Override
            void lost(TrackedOrder tracked) {
                resolve(tracked, OrderOutcome.FAILED);
            }
        };
    }

    public static EndpointOrders unknownCountsAsFailed(
            EndpointHistory history,
            DutyLeases leases,
            OrderOutbox outbox,
            UnloadGuard guard,
            Supplier<WeightStoreLimits> limits,
            OrderSettings settings,
            Clock clock) {
        return new EndpointOrders(history, leases, outbox, guard, limits, settings, clock) {
            @Override
            void unknown(TrackedOrder tracked) {
                resolve(tracked, OrderOutcome.FAILED);
            }
        };
    }

    public static EndpointOrders lapsedLeaseIsGood(
            EndpointHistory history,
            DutyLeases leases,
            OrderOutbox outbox,
            UnloadGuard guard,
            Supplier<WeightStoreLimits> limits,
            OrderSettings settings,
            Clock clock) {
        return new EndpointOrders(history, leases, outbox, guard, limits, settings, clock) {
            @Override
            Optional<DutyLease> goodLease() {
                return leases.ordersOf(history.endpoint());
            }
        };
    }

    public static EndpointOrders answerConfirmsLoad(
            EndpointHistory history,
            DutyLeases leases,
            OrderOutbox outbox,
            UnloadGuard guard,
            Supplier<WeightStoreLimits> limits,
            OrderSettings settings,
            Clock clock) {
        return new EndpointOrders(history, leases, outbox, guard, limits, settings, clock) {
            @Override
            int reportsToConfirm() {
                return 0;
            }
        };
    }

    public static EndpointOrders unguarded(
            EndpointHistory history,
            DutyLeases leases,
            OrderOutbox outbox,
            UnloadGuard guard,
            Supplier<WeightStoreLimits> limits,
            OrderSettings settings,
            Clock clock) {
        return new EndpointOrders(
                history, leases, outbox, (unload, witnesses) -> true, limits, settings, clock);
    }
}
