package org.foxtailridge.bench.routing;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.bench.ComparisonTable;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.EndpointKind;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.routing.Attempt;
import org.foxtailridge.routing.AttemptOutcome;
import org.foxtailridge.routing.EngineRole;
import org.foxtailridge.routing.ExpectedTimeRouter;
import org.foxtailridge.routing.LeastInFlightRouter;
import org.foxtailridge.routing.LoadReport;
import org.foxtailridge.routing.PromptPrefix;
import org.foxtailridge.routing.Resident;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.RouteTarget;
import org.foxtailridge.routing.Router;
import org.foxtailridge.routing.RoutingDecision;
import org.foxtailridge.routing.RoutingSettings;

/**
 * Measures the processor time and allocation of one decision at several sizes of the fleet.
 *
 * <p>A decision is counted with the start, first token and end of its attempt. Every endpoint holds
 * one model that all requests are for, so that all of them are candidates.
 *
 * <pre>{@code
 * System.out.print(DecisionCost.measure(List.of(10, 100, 5_500)).toText());
 * }</pre>
 */
public final class DecisionCost {
    private static final int WARM_UP_DECISIONS = 40_000;
    private static final int DECISIONS = 100_000;
    private static final int PREFIXES = 6;
    private static final int CONVERSATIONS = 5_000;
    private static final int IN_FLIGHT = 512;
    private static final double NANOSECONDS_PER_MICROSECOND = 1_000;
    private static final String MODEL = "model";

    private DecisionCost() {}

    /** Prints the table for 10, 100 and 5,500 endpoints. */
    public static void main(String[] arguments) {
        System.out.print(measure(List.of(10, 100, 5_500)).toText());
    }

    /** Returns a table with a row for each number of endpoints. */
    public static ComparisonTable measure(List<Integer> fleets) {
        ComparisonTable.Builder table =
                ComparisonTable.builder(
                        "decision cost",
                        List.of("policy", "endpoints", "microseconds", "bytes allocated"));
        ManualClock clock = ManualClock.atEpoch();
        for (int endpoints : fleets) {
            RoutingSettings settings = RoutingSettings.builder("data-centre-0").build();
            addRow(
                    table,
                    "expected time",
                    ExpectedTimeRouter.create(clock, settings, 1),
                    endpoints);
            addRow(table, "least in flight", LeastInFlightRouter.create(clock), endpoints);
        }
        return table.build();
    }

    /** Returns the processor time of one decision of the chosen policy, in microseconds. */
    static double microseconds(int endpoints) {
        RoutingSettings settings = RoutingSettings.builder("data-centre-0").build();
        Router router = ExpectedTimeRouter.create(ManualClock.atEpoch(), settings, 1);
        return new Run(router, endpoints).measure().mMicroseconds;
    }

    private static void addRow(
            ComparisonTable.Builder table, String label, Router router, int endpoints) {
        Cost cost = new Run(router, endpoints).measure();
        table.row(
                List.of(
                        label,
                        Integer.toString(endpoints),
                        String.format(Locale.ROOT, "%.2f", cost.mMicroseconds),
                        String.format(Locale.ROOT, "%.0f", cost.mBytes)));
    }

    private record Cost(double mMicroseconds, double mBytes) {}

    /** One router with a fleet and requests in flight. */
    private static final class Run {
        private final UniformRandomProvider mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(5);
        private final Router mRouter;
        private final List<RouteRequest> mRequests = new ArrayList<>();
        private final List<String> mInFlight = new ArrayList<>();
        private long mNextAttempt;
        private int mSent;

        private Run(Router router, int endpoints) {
            mRouter = router;
            Configuration.Builder configuration = Configuration.builder();
            for (int index = 0; index < endpoints; index++) {
                configuration.put(engine("engine-" + index, "data-centre-" + index % 9));
            }
            mRouter.configure(configuration.build());
            LoadReport report =
                    new LoadReport(
                            1,
                            0,
                            0,
                            0,
                            1,
                            0,
                            EngineRole.BOTH,
                            false,
                            List.of(Resident.model(MODEL, "v1")));
            for (int index = 0; index < endpoints; index++) {
                mRouter.loadReported(EndpointName.of("engine-" + index), report);
            }
            for (int conversation = 0; conversation < CONVERSATIONS; conversation++) {
                mRequests.add(request(conversation));
            }
        }

        private Cost measure() {
            decide(WARM_UP_DECISIONS);
            ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
            long thread = Thread.currentThread().getId();
            long bytes = threads.getThreadAllocatedBytes(thread);
            long nanoseconds = threads.getCurrentThreadCpuTime();
            decide(DECISIONS);
            double spent = threads.getCurrentThreadCpuTime() - nanoseconds;
            double allocated = threads.getThreadAllocatedBytes(thread) - bytes;
            return new Cost(spent / DECISIONS / NANOSECONDS_PER_MICROSECOND, allocated / DECISIONS);
        }

        private void decide(int decisions) {
            for (int decision = 0; decision < decisions; decision++) {
                RouteRequest request = mRequests.get(mRandom.nextInt(mRequests.size()));
                if (mRouter.choose(request) instanceof RoutingDecision.Dispatch dispatch) {
                    String attemptId = "attempt-" + mNextAttempt++;
                    mRouter.attemptStarted(new Attempt(attemptId, dispatch.endpoint(), request));
                    mRouter.firstTokenArrived(attemptId);
                    mInFlight.add(attemptId);
                    mSent++;
                }
                endOldest();
            }
            if (mSent < decisions / 2) {
                throw new IllegalStateException(
                        "expected most requests to be sent but only " + mSent + " were");
            }
        }

        private void endOldest() {
            if (mInFlight.size() > IN_FLIGHT / 4) {
                int index = mRandom.nextInt(mInFlight.size());
                String last = mInFlight.remove(mInFlight.size() - 1);
                String ended = index < mInFlight.size() ? mInFlight.set(index, last) : last;
                mRouter.attemptEnded(ended, AttemptOutcome.FINISHED);
            }
        }

        private static RouteRequest request(int conversation) {
            List<PromptPrefix> prefixes = new ArrayList<>();
            for (int prefix = 1; prefix <= PREFIXES; prefix++) {
                String hash = "hash-" + conversation % (CONVERSATIONS >> (PREFIXES - prefix));
                prefixes.add(new PromptPrefix(hash + "-" + prefix, prefix * 200));
            }
            return RouteRequest.builder(
                            "request-" + conversation,
                            new RouteTarget.ModelTarget(MODEL, "v1", Optional.empty()))
                    .prefixes(prefixes)
                    .promptTokens(PREFIXES * 200 + 100)
                    .maximumTokens(100)
                    .build();
        }

        private static Endpoint engine(String name, String dataCentre) {
            return new Endpoint(
                    name, EndpointKind.ENGINE, "pool", dataCentre, "http://e", 1, 1, true, false);
        }
    }
}
