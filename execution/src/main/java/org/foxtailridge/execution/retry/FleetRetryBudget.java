package org.foxtailridge.execution.retry;

import java.time.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * This node's part of a budget of retries that all nodes share, without a message for each retry.
 *
 * <p>In any window the fleet may send to a service a share of its requests more often than once,
 * and a fixed number beyond. The share is taken of this node's own requests; the fixed number is
 * split over as many nodes as there may be. Confined to one thread.
 *
 * <pre>{@code
 * FleetRetryBudget budget = new FleetRetryBudget(settings, clock);
 * budget.nodes(7);
 * budget.requested("stone-scribe");
 * boolean allowed = budget.take("stone-scribe");
 * }</pre>
 */
public final class FleetRetryBudget {
    // Retries outlast the requests that allowed them by up to a window, and nodes may be missing.
    private static final double PART_USED = 0.85;

    private final Clock mClock;
    private final Map<String, Usage> mServices = new HashMap<>();
    private FleetRetrySettings mSettings;
    private int mNodes = 1;

    /** Creates a budget that nothing was taken from. */
    public FleetRetryBudget(FleetRetrySettings settings, Clock clock) {
        mSettings = Objects.requireNonNull(settings, "settings");
        mClock = Objects.requireNonNull(clock, "clock");
    }

    /** Sets the nodes that share the fixed number. */
    public void nodes(int nodes) {
        mNodes = Math.max(1, nodes);
    }

    /** Sets the budget from now on; what was taken already counts. */
    public void use(FleetRetrySettings settings) {
        mSettings = Objects.requireNonNull(settings, "settings");
    }

    /** Counts a request for a service. */
    public void requested(String service) {
        usage(service).mRequests.addLast(mClock.millis());
    }

    /** Takes one retry; returns whether the budget allowed it. */
    public boolean take(String service) {
        Usage usage = usage(service);
        double allowed =
                PART_USED
                        * (mSettings.share() * usage.mRequests.size()
                                + mSettings.allowance() / mNodes);
        if (usage.mRetries.size() + 1 > allowed) {
            return false;
        }
        usage.mRetries.addLast(mClock.millis());
        return true;
    }

    private Usage usage(String service) {
        Usage usage = mServices.computeIfAbsent(service, name -> new Usage());
        usage.forgetBefore(mClock.millis() - mSettings.window().toMillis());
        return usage;
    }

    private static final class Usage {
        private final Deque<Long> mRequests = new ArrayDeque<>();
        private final Deque<Long> mRetries = new ArrayDeque<>();

        private void forgetBefore(long milliseconds) {
            forget(mRequests, milliseconds);
            forget(mRetries, milliseconds);
        }

        private static void forget(Deque<Long> instants, long milliseconds) {
            while (!instants.isEmpty() && instants.peekFirst() < milliseconds) {
                instants.pollFirst();
            }
        }
    }
}
