package org.foxtailridge.bench.routing;

import java.time.Clock;
import java.util.function.BiFunction;
import org.foxtailridge.routing.ExpectedTimeRouter;
import org.foxtailridge.routing.LeastInFlightRouter;
import org.foxtailridge.routing.RoundRobinRouter;
import org.foxtailridge.routing.Router;
import org.foxtailridge.routing.RoutingSettings;

/** Policies that are compared. */
enum Policy {
    /** Endpoints in turn; engines queue. */
    ROUND_ROBIN("round robin", false, (clock, node) -> RoundRobinRouter.create(clock)),
    /** The endpoint with the fewest attempts of the node; engines queue. */
    LEAST_IN_FLIGHT("least in flight", false, (clock, node) -> LeastInFlightRouter.create(clock)),
    /** Least expected time to the first token; the node queues. */
    EXPECTED_TIME("expected time", true, Policy::expectedTime);

    private final String mLabel;
    private final boolean mQueues;
    private final BiFunction<Clock, Integer, Router> mRouters;

    Policy(String label, boolean queues, BiFunction<Clock, Integer, Router> routers) {
        mLabel = label;
        mQueues = queues;
        mRouters = routers;
    }

    String label() {
        return mLabel;
    }

    /** Returns whether the node queues and shares fairly. */
    boolean queues() {
        return mQueues;
    }

    Router router(Clock clock, int node) {
        return mRouters.apply(clock, node);
    }

    private static Router expectedTime(Clock clock, int node) {
        RoutingSettings settings = RoutingSettings.builder("data-centre-" + node % 3).build();
        return ExpectedTimeRouter.create(clock, settings, node);
    }
}
