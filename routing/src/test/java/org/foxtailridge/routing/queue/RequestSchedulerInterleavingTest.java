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

/**
 * Model-based test: drives the scheduler through random interleavings of requests and events and
 * compares it with a simple model.
 *
 * <p>Guards against requests with no outcome or two, and refusals that say "not run" of a request
 * that may have begun. The mutations check that the driver detects a broken rule.
 */
class RequestSchedulerInterleavingTest {
    private static final int STEPS = 100;
    private static final int MUTATION_SEEDS = 2_000;
    private static final int MINIMUM_OUTCOMES = 100;

    @Property(seed = "61", tries = 10_000, shrinking = ShrinkingMode.OFF)
    void should_give_each_request_exactly_one_correct_outcome(@ForAll long seed) {
        new SchedulerDriver(seed, clock -> expectedTime(clock, seed), RefusalRule.DEFAULT)
                .run(STEPS);
    }

    @Property(seed = "62", tries = 2_000, shrinking = ShrinkingMode.OFF)
    void should_give_each_request_one_outcome_with_another_router(@ForAll long seed) {
        new SchedulerDriver(seed, LeastInFlightRouter::create, RefusalRule.DEFAULT).run(STEPS);
    }

    @Test
    void should_cover_every_kind_of_outcome() {
        // GIVEN
        Map<String, Integer> counts = new TreeMap<>();
        // WHEN
        for (long seed = 0; seed < MUTATION_SEEDS; seed++) {
            long chosen = seed;
            new SchedulerDriver(seed, clock -> expectedTime(clock, chosen), RefusalRule.DEFAULT)
                    .run(STEPS)
                    .forEach((outcome, count) -> counts.merge(outcome, count, Integer::sum));
        }
        // THEN
        assertThat(counts)
                .containsKeys(
                        "dispatched",
                        "isolated",
                        "preempted",
                        "endpoint_failed",
                        "overloaded",
                        "deadline_unreachable",
                        "no_endpoint",
                        "stopping");
        assertThat(counts.values()).allMatch(count -> count >= MINIMUM_OUTCOMES);
    }

    @ParameterizedTest
    @EnumSource(Mutation.class)
    void should_detect_a_broken_rule(Mutation mutation) {
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
                clock,
                RoutingSettings.builder("lautoka-a").maximumAttemptsBesideIsolated(0).build(),
                seed);
    }

    private enum Mutation {
        REPORTS_BEGUN_REQUEST_AS_NOT_RUN(router -> router, (request, kind) -> kind),
        IGNORES_EXCLUDED_ENDPOINTS(IgnoresExcluded::new, RefusalRule.DEFAULT),
        IGNORES_ENDPOINT_STATES(IgnoresStates::new, RefusalRule.DEFAULT),
        NEVER_ENDS_ATTEMPTS(NeverEndsAttempts::new, RefusalRule.DEFAULT),
        ALWAYS_AWAITS(AlwaysAwaits::new, RefusalRule.DEFAULT);

        private final Function<Router, Router> mRouter;
        private final RefusalRule mRule;

        Mutation(Function<Router, Router> router, RefusalRule rule) {
            mRouter = router;
            mRule = rule;
        }
    }

    private static final class IgnoresExcluded extends RouterDecorator {
        private IgnoresExcluded(Router router) {
            super(router);
        }

        @Override
        public RoutingDecision choose(RouteRequest request) {
            return super.choose(request.toBuilder().excludedEndpoints(Set.of()).build());
        }
    }

    private static final class IgnoresStates extends RouterDecorator {
        private IgnoresStates(Router router) {
            super(router);
        }

        @Override
        public void endpointChanged(EndpointName endpoint, EndpointState state) {}
    }

    private static final class NeverEndsAttempts extends RouterDecorator {
        private NeverEndsAttempts(Router router) {
            super(router);
        }

        @Override
        public void attemptEnded(String attemptId, AttemptOutcome outcome) {}
    }

    private static final class AlwaysAwaits extends RouterDecorator {
        private AlwaysAwaits(Router router) {
            super(router);
        }

        @Override
        public RoutingDecision choose(RouteRequest request) {
            return new RoutingDecision.Await();
        }
    }
}
