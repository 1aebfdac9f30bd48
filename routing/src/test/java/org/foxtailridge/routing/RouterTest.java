package org.foxtailridge.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.EndpointKind;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.core.time.ManualClock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks what every router does alike. */
class RouterTest {
    private static final EndpointName FIRST = EndpointName.of("engine-1");
    private static final EndpointName SECOND = EndpointName.of("engine-2");

    static Stream<Function<ManualClock, Router>> routers() {
        return Stream.of(
                RoundRobinRouter::create,
                LeastInFlightRouter::create,
                clock ->
                        ExpectedTimeRouter.create(
                                clock, RoutingSettings.builder("lautoka-a").build(), 1));
    }

    @ParameterizedTest
    @MethodSource("routers")
    void should_choose_only_endpoints_that_can_serve(Function<ManualClock, Router> factory) {
        // GIVEN
        Router router = configured(factory);
        // WHEN
        router.loadReported(SECOND, report(1, ResidentState.RESIDENT));
        router.loadReported(FIRST, report(1, ResidentState.LOADING));
        // THEN
        RoutingDecision.Dispatch dispatch = (RoutingDecision.Dispatch) router.choose(request());
        assertThat(dispatch.endpoint()).isEqualTo(SECOND);
        assertThat(dispatch.version()).isEqualTo("v1");
        assertThat(dispatch.mustLoadAdapter()).isFalse();
    }

    @ParameterizedTest
    @MethodSource("routers")
    void should_wait_while_loading_and_refuse_when_nowhere(Function<ManualClock, Router> factory) {
        // GIVEN
        Router router = configured(factory);
        // THEN
        assertThat(router.choose(request()))
                .isEqualTo(new RoutingDecision.Refuse(ErrorKind.NO_ENDPOINT, 1));
        // WHEN
        router.loadReported(FIRST, report(1, ResidentState.LOADING));
        // THEN
        assertThat(router.choose(request())).isEqualTo(new RoutingDecision.Await());
    }

    @ParameterizedTest
    @MethodSource("routers")
    void should_count_an_attempt_once(Function<ManualClock, Router> factory) {
        // GIVEN
        Router router = configured(factory);
        router.loadReported(FIRST, report(1, ResidentState.RESIDENT));
        Attempt attempt = new Attempt("attempt-1", FIRST, request());
        // WHEN
        router.attemptStarted(attempt);
        router.attemptStarted(attempt);
        // THEN
        assertThat(router.inFlight(FIRST)).isEqualTo(1);
        // WHEN
        router.attemptEnded("attempt-1", AttemptOutcome.FINISHED);
        router.attemptEnded("attempt-1", AttemptOutcome.FAILED);
        // THEN
        assertThat(router.inFlight(FIRST)).isZero();
    }

    @ParameterizedTest
    @MethodSource("routers")
    void should_give_nothing_to_a_leaving_endpoint(Function<ManualClock, Router> factory) {
        // GIVEN
        Router router = configured(factory);
        router.loadReported(FIRST, report(1, ResidentState.RESIDENT));
        // WHEN
        router.endpointChanged(FIRST, EndpointState.LEAVING);
        // THEN
        assertThat(router.choose(request())).isInstanceOf(RoutingDecision.Refuse.class);
    }

    @ParameterizedTest
    @MethodSource("routers")
    void should_avoid_excluded_endpoints(Function<ManualClock, Router> factory) {
        // GIVEN
        Router router = configured(factory);
        router.loadReported(FIRST, report(1, ResidentState.RESIDENT));
        // WHEN
        RouteRequest retry = request().toBuilder().excludedEndpoints(Set.of(FIRST)).build();
        // THEN
        assertThat(router.choose(retry)).isInstanceOf(RoutingDecision.Refuse.class);
    }

    private static Router configured(Function<ManualClock, Router> factory) {
        Router router = factory.apply(ManualClock.atEpoch());
        router.configure(
                Configuration.builder().put(engine("engine-1")).put(engine("engine-2")).build());
        return router;
    }

    private static Endpoint engine(String name) {
        return new Endpoint(
                name, EndpointKind.ENGINE, "pool", "lautoka-a", "http://e", 1, 1, true, false);
    }

    private static LoadReport report(long incarnation, ResidentState state) {
        Resident resident = new Resident("lots", Optional.empty(), "v1", state);
        return new LoadReport(
                incarnation, 0, 0, 0, 1, 0, EngineRole.BOTH, false, List.of(resident));
    }

    private static RouteRequest request() {
        return RouteRequest.builder(
                        "request-1", new RouteTarget.ModelTarget("lots", "v1", Optional.empty()))
                .promptTokens(100)
                .maximumTokens(10)
                .build();
    }
}
