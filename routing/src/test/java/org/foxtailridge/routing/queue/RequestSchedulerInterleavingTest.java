package org.foxtailridge.routing.queue;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.routing.AttemptOutcome;
import org.foxtailridge.routing.EndpointState;
import org.foxtailridge.routing.ExpectedTimeRouter;
import org.foxtailridge.routing.LeastInFlightRouter;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.Router;
import org.foxtailridge.routing.RoutingDecision;
import org.foxtailridge.routing.RoutingSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Drives the scheduler through random interleavings beside a naive list of outcomes. */
class RequestSchedulerInterleavingTest {
    private static final int STEPS = 100;
    private static final int MUTATION_SEEDS = 2_000;
    private static final int LEAST_OUTCOMES = 100;

    @Property(seed = "61", tries = 10_000, shrinking = ShrinkingMode.OFF)
    void should_give_each_request_one_truthful_outcome(@ForAll long seed) {
        new SchedulerDriver(seed, clock -> expectedTime(clock, seed), RefusalRule.TRUTHFUL)
                .run(STEPS);
    }

    @Property(seed = "62", tries = 2_000, shrinking = ShrinkingMode.OFF)
    void should_keep_the_same_promises_over_another_router(@ForAll long seed) {
        new SchedulerDriver(seed, LeastInFlightRouter::create, RefusalRule.TRUTHFUL).run(STEPS);
    }

    @Test
    void should_meet_every_sort_of_outcome() {
        // GIVEN
        Map<String, Integer> tallies = new TreeMap<>();
        // WHEN
        for (long seed = 0; seed < MUTATION_SEEDS; seed++) {
            long chosen = seed;
            new SchedulerDriver(seed, clock -> expectedTime(clock, chosen), RefusalRule.TRUTHFUL)
                    .run(STEPS)
                    .forEach((outcome, count) -> tallies.merge(outcome, count, Integer::sum));
        }
        // THEN
        assertThat(tallies)
                .containsKeys(
                        "dispatched",
                        "isolated",
                        "preempted",
                        "endpoint_failed",
                        "overloaded",
                        "deadline_unreachable",
                        "no_endpoint",
                        "stopping");
        assertThat(tallies.values()).allMatch(count -> count >= LEAST_OUTCOMES);
    }

    @ParameterizedTest
    @EnumSource(Mutation.class)
    void should_catch_a_broken_rule(Mutation mutation) {
        assertThatThrownBy(() -> runAll(mutation)).isInstanceOf(AssertionError.class);
    }

    private static void runAll(Mutation mutation) {
        for (long seed = 0; seed < MUTATION_SEEDS; seed++) {
            long chosen = seed;
            new SchedulerDriver(
                            seed,
                            clock -> mutation.mRouter.apply(expectedTime(clock, chosen)),
                            mutation.mRule)
                    .run(STEPS);
        }
    }

    private static Router expectedTime(ManualClock clock, long seed) {
        return ExpectedTimeRouter.create(
                clock, RoutingSettings.builder("lautoka-a").isolatedMaximumOthers(0).build(), seed);
    }

    private enum Mutation {
        SAYS_NOT_RUN_OF_WHAT_HAS_BEGUN(router -> router, (request, kind) -> kind),
        FORGETS_EXCLUDED_ENDPOINTS(ForgetsExcluded::new, RefusalRule.TRUTHFUL),
        FORGETS_ENDPOINT_STATES(ForgetsStates::new, RefusalRule.TRUTHFUL),
        COUNTS_FOR_EVER(CountsForEver::new, RefusalRule.TRUTHFUL),
        AWAITS_FOR_EVER(AwaitsForEver::new, RefusalRule.TRUTHFUL);

        private final Function<Router, Router> mRouter;
        private final RefusalRule mRule;

        Mutation(Function<Router, Router> router, RefusalRule rule) {
            mRouter = router;
            mRule = rule;
        }
    }

    private static final class ForgetsExcluded extends RouterDecorator {
        private ForgetsExcluded(Router router) {
            super(router);
        }

        @Override
        public RoutingDecision choose(RouteRequest request) {
            return super.choose(request.toBuilder().excludedEndpoints(Set.of()).build());
        }
    }

    private static final class ForgetsStates extends RouterDecorator {
        private ForgetsStates(Router router) {
            super(router);
        }

        @Override
        public void endpointChanged(EndpointName endpoint, EndpointState state) {}
    }

    private static final class CountsForEver extends RouterDecorator {
        private CountsForEver(Router router) {
            super(router);
        }

        @Override
        public void attemptEnded(String attemptId, AttemptOutcome end) {}
    }

    private static final class AwaitsForEver extends RouterDecorator {
        private AwaitsForEver(Router router) {
            super(router);
        }

        @Override
        public RoutingDecision choose(RouteRequest request) {
            return new RoutingDecision.Await();
        }
    }
}
