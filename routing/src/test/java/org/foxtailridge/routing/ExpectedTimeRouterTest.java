package org.foxtailridge.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.core.time.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks what the expected time to the first token takes into account. */
class ExpectedTimeRouterTest {
    private static final List<PromptPrefix> PREFIX = List.of(new PromptPrefix("hash", 900));

    private final ManualClock mClock = ManualClock.atEpoch();

    @Test
    void should_prefer_the_endpoint_that_holds_the_prefix() {
        // GIVEN
        Router router = fleet(4, 1);
        storePrefix(router, "engine-2", 1);
        // THEN
        assertThat(chosen(router, prompt())).isEqualTo(EndpointName.of("engine-2"));
    }

    @Test
    void should_yield_the_prefix_when_its_endpoint_is_busy() {
        // GIVEN
        Router router = fleet(4, 1);
        storePrefix(router, "engine-2", 1);
        // WHEN
        for (int index = 0; index < 3; index++) {
            RouteRequest other = Fleets.request("other-" + index, "lots").promptTokens(500).build();
            router.attemptStarted(
                    new Attempt("other-" + index, EndpointName.of("engine-2"), other));
        }
        // THEN
        assertThat(chosen(router, prompt())).isNotEqualTo(EndpointName.of("engine-2"));
    }

    @Test
    void should_doubt_the_prefix_after_a_gap_and_then_forget_it() {
        // GIVEN
        Router router = fleet(2, 1);
        storePrefix(router, "engine-1", 1);
        double sure = expected(router, prompt());
        // WHEN
        CacheEvent later =
                new CacheEvent(
                        9, CacheEvent.Kind.STORED, "notes", new PromptPrefix("elsewhere", 10));
        router.cacheChanged(EndpointName.of("engine-1"), new CacheEventBatch(1, List.of(later)));
        double doubted = expected(router, prompt());
        mClock.advance(Duration.ofSeconds(21));
        double forgotten = expected(router, prompt());
        // THEN
        assertThat(doubted).isBetween(sure * 1.5, forgotten / 1.5);
    }

    @Test
    void should_prefer_the_endpoint_that_holds_the_adapter_and_the_own_data_centre() {
        // GIVEN
        Router router = fleet(3, 1);
        Resident adapter = Resident.adapter("lots", "marble", "v1");
        LoadReport report = Fleets.report(1, 1, 0, 0, List.of("lots"));
        router.loadReported(
                EndpointName.of("engine-2"),
                new LoadReport(
                        1,
                        1,
                        0,
                        0,
                        1,
                        0,
                        EngineRole.BOTH,
                        false,
                        List.of(report.residents().get(0), adapter)));
        RouteTarget target = new RouteTarget.ModelTarget("lots", "v1", Optional.of("marble"));
        RouteRequest request = RouteRequest.builder("request", target).promptTokens(50).build();
        // THEN
        assertThat(chosen(router, request)).isEqualTo(EndpointName.of("engine-2"));
        // WHEN
        router.endpointChanged(EndpointName.of("engine-2"), EndpointState.LEAVING);
        RoutingDecision.Dispatch elsewhere = (RoutingDecision.Dispatch) router.choose(request);
        // THEN
        assertThat(elsewhere.mustLoadAdapter()).isTrue();
        assertThat(elsewhere.endpoint()).isEqualTo(EndpointName.of("engine-0"));
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 64})
    void should_not_send_all_nodes_to_the_endpoint_that_looks_idle(int endpoints) {
        // GIVEN
        Map<EndpointName, Integer> sent = new HashMap<>();
        int nodes = 40;
        // WHEN
        for (int node = 0; node < nodes; node++) {
            Router router = fleet(endpoints, node);
            for (int index = 1; index < endpoints; index++) {
                router.loadReported(
                        EndpointName.of("engine-" + index),
                        Fleets.report(1, 1, 2, 0, List.of("lots")));
            }
            sent.merge(chosen(router, prompt()), 1, Integer::sum);
        }
        // THEN
        assertThat(sent.values()).allMatch(count -> count <= nodes * 0.75);
    }

    @Test
    void should_wait_when_all_are_full_and_go_on_when_one_attempt_ends() {
        // GIVEN
        Router router = fleet(1, 1);
        int started = startUntilFull(router);
        // THEN
        assertThat(router.choose(prompt())).isEqualTo(new RoutingDecision.Await());
        // WHEN
        router.attemptEnded("attempt-" + (started - 1), AttemptOutcome.FINISHED);
        // THEN
        assertThat(router.choose(prompt())).isInstanceOf(RoutingDecision.Dispatch.class);
    }

    @Test
    void should_wait_while_the_prompts_ahead_take_too_long() {
        // GIVEN
        Router router = fleet(1, 1);
        // WHEN
        int started = 0;
        while (router.choose(prompt()) instanceof RoutingDecision.Dispatch dispatch) {
            router.attemptStarted(new Attempt("attempt-" + started, dispatch.endpoint(), prompt()));
            started++;
        }
        // THEN
        assertThat(started).isEqualTo(3);
        // WHEN
        router.firstTokenArrived("attempt-0");
        // THEN
        assertThat(router.choose(prompt())).isInstanceOf(RoutingDecision.Dispatch.class);
    }

    @Test
    void should_learn_the_limit_of_an_endpoint_that_queues() {
        // GIVEN
        Router router = fleet(1, 1);
        // WHEN
        router.loadReported(
                EndpointName.of("engine-0"), Fleets.report(1, 2, 5, 9, List.of("lots")));
        router.loadReported(
                EndpointName.of("engine-0"), Fleets.report(1, 3, 0, 0, List.of("lots")));
        // THEN
        assertThat(startUntilFull(router)).isEqualTo(6);
    }

    @Test
    void should_ramp_up_an_endpoint_that_returns() {
        // GIVEN
        Router router = fleet(1, 1);
        router.endpointChanged(EndpointName.of("engine-0"), EndpointState.DOWN);
        // WHEN
        router.endpointChanged(EndpointName.of("engine-0"), EndpointState.UP);
        int atOnce = startUntilFull(router);
        mClock.advance(Duration.ofSeconds(10));
        // THEN
        assertThat(atOnce).isLessThan(8);
        assertThat(startUntilFull(router)).isGreaterThan(16);
    }

    @Test
    void should_keep_serving_when_every_endpoint_fails() {
        // GIVEN
        Router router = fleet(4, 1);
        Set<EndpointName> used = new HashSet<>();
        // WHEN
        for (int index = 0; index < 200; index++) {
            EndpointName endpoint = chosen(router, prompt());
            used.add(endpoint);
            router.attemptStarted(new Attempt("attempt-" + index, endpoint, prompt()));
            router.attemptEnded("attempt-" + index, AttemptOutcome.FAILED);
            // THEN
            assertThat(((ExpectedTimeRouter) router).ejected()).isLessThanOrEqualTo(2);
        }
        assertThat(((ExpectedTimeRouter) router).ejected()).isEqualTo(2);
        assertThat(used.size()).isGreaterThan(2);
    }

    @Test
    void should_run_an_isolated_request_alone() {
        // GIVEN
        Router router = fleet(2, 1);
        startOn(router, "engine-0", "attempt-a", builder -> {});
        startOn(router, "engine-0", "attempt-b", builder -> {});
        RouteRequest isolated = prompt().toBuilder().isolated(true).build();
        // WHEN
        EndpointName quiet = chosen(router, isolated);
        router.attemptStarted(new Attempt("trial", quiet, isolated));
        // THEN
        assertThat(quiet).isEqualTo(EndpointName.of("engine-1"));
        assertThat(router.choose(isolated)).isEqualTo(new RoutingDecision.Await());
        for (int index = 0; index < 20; index++) {
            assertThat(chosen(router, prompt())).isEqualTo(EndpointName.of("engine-0"));
        }
    }

    private static void startOn(
            Router router, String endpoint, String id, Consumer<RouteRequest.Builder> change) {
        RouteRequest.Builder builder = Fleets.request(id, "lots");
        change.accept(builder);
        router.attemptStarted(new Attempt(id, EndpointName.of(endpoint), builder.build()));
    }

    private int startUntilFull(Router router) {
        int started = 0;
        while (router.choose(prompt()) instanceof RoutingDecision.Dispatch dispatch) {
            router.attemptStarted(new Attempt("attempt-" + started, dispatch.endpoint(), prompt()));
            router.firstTokenArrived("attempt-" + started);
            started++;
        }
        return started;
    }

    private Router fleet(int endpoints, long seed) {
        RoutingSettings settings = RoutingSettings.builder("lautoka-a").build();
        Router router = ExpectedTimeRouter.create(mClock, settings, seed);
        Configuration.Builder builder = Configuration.builder();
        for (int index = 0; index < endpoints; index++) {
            String dataCentre = index == 1 ? "nadi-b" : "lautoka-a";
            builder.put(Fleets.engine("engine-" + index, "pool", dataCentre));
        }
        router.configure(builder.build());
        for (int index = 0; index < endpoints; index++) {
            router.loadReported(
                    EndpointName.of("engine-" + index), Fleets.report(1, 0, 0, 0, List.of("lots")));
        }
        return router;
    }

    private static void storePrefix(Router router, String endpoint, long sequence) {
        CacheEvent stored = new CacheEvent(sequence, CacheEvent.Kind.STORED, "lots", PREFIX.get(0));
        router.cacheChanged(EndpointName.of(endpoint), new CacheEventBatch(1, List.of(stored)));
    }

    private static RouteRequest prompt() {
        return Fleets.request("request", "lots").promptTokens(1000).prefixes(PREFIX).build();
    }

    private static EndpointName chosen(Router router, RouteRequest request) {
        return ((RoutingDecision.Dispatch) router.choose(request)).endpoint();
    }

    private static double expected(Router router, RouteRequest request) {
        return ((RoutingDecision.Dispatch) router.choose(request)).expectedMilliseconds();
    }
}
