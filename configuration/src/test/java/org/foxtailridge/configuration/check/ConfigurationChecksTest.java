package org.foxtailridge.configuration.check;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.stream.Stream;
import org.foxtailridge.configuration.key.KeyHashing;
import org.foxtailridge.configuration.model.Adapter;
import org.foxtailridge.configuration.model.CallerKey;
import org.foxtailridge.configuration.model.ClientAccount;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.ConfigurationEntry;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.EndpointKind;
import org.foxtailridge.configuration.model.Measure;
import org.foxtailridge.configuration.model.Model;
import org.foxtailridge.configuration.model.Objective;
import org.foxtailridge.configuration.model.Plan;
import org.foxtailridge.configuration.model.Service;
import org.foxtailridge.configuration.model.ServiceRoute;
import org.foxtailridge.configuration.model.WeightStore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks that a sound configuration passes and that each sort of problem is found. */
class ConfigurationChecksTest {
    private static final byte[] SALT = new byte[16];
    private static final ServiceRoute ROUTE = new ServiceRoute("GET", "/a", true, false, 1, 100);

    private static Configuration.Builder sound() {
        return Configuration.builder()
                .put(Plan.builder("gold").models("scribe").adapters("tone").services("*").build())
                .put(new ClientAccount("harbour", "gold"))
                .put(KeyHashing.entryFor("fr_one_secret", "harbour", SALT))
                .put(Model.builder("scribe").weightsBytes(60).workingBytes(20).build())
                .put(Model.builder("clerk").weightsBytes(50).build())
                .put(new Adapter("tone", "scribe", "1", 20))
                .put(engine("a", 1).build())
                .put(engine("b", 2).memoryBytes(50).build())
                .put(new Service("desk", "desk", List.of(ROUTE)));
    }

    private static Endpoint.Builder engine(String name, int port) {
        return Endpoint.builder(name).address("http://h:" + port).memoryBytes(100);
    }

    static Stream<Arguments> problems() {
        CallerKey equalKey =
                new CallerKey(
                        "two",
                        "harbour",
                        KeyHashing.entryFor("fr_one_secret", "harbour", SALT).salt(),
                        KeyHashing.entryFor("fr_one_secret", "harbour", SALT).hash());
        ServiceRoute noTimeout = new ServiceRoute("GET", "/b", true, false, 1, 0);
        return Stream.of(
                problem(ProblemKind.BAD_NAME, "name", new ClientAccount("a b", "gold")),
                problem(ProblemKind.NOT_LISTED, "plan", new ClientAccount("other", "none")),
                problem(ProblemKind.NOT_LISTED, "models", plan().models("none").build()),
                problem(ProblemKind.NOT_LISTED, "adapters", plan().adapters("none").build()),
                problem(ProblemKind.NOT_LISTED, "services", plan().services("none").build()),
                problem(ProblemKind.NOT_LISTED, "model", new Adapter("x", "none", "1", 1)),
                problem(
                        ProblemKind.OUT_OF_RANGE,
                        "rate_tokens_per_second",
                        plan().rateTokensPerSecond(0).build()),
                problem(ProblemKind.OUT_OF_RANGE, "burst_tokens", plan().burstTokens(0).build()),
                problem(
                        ProblemKind.OUT_OF_RANGE,
                        "target",
                        new Objective("o", "*", "*", Measure.AVAILABILITY, 0, 1.0, 60)),
                problem(
                        ProblemKind.OUT_OF_RANGE,
                        "loads_per_second",
                        new WeightStore("default", 0, 1, 1)),
                problem(
                        ProblemKind.OUT_OF_RANGE,
                        "route.timeout_milliseconds",
                        new Service("desk", "desk", List.of(noTimeout))),
                problem(ProblemKind.DUPLICATE, "hash", equalKey),
                problem(ProblemKind.BAD_KEY, "hash", new CallerKey("x", "harbour", "AAAA", "?")),
                problem(ProblemKind.DUPLICATE, "address", engine("c", 1).build()),
                problem(
                        ProblemKind.BAD_ADDRESS,
                        "address",
                        engine("c", 3).address("10.0.0.1:80").build()),
                problem(
                        ProblemKind.DUPLICATE,
                        "route",
                        new Service("desk", "desk", List.of(ROUTE, ROUTE))),
                problem(
                        ProblemKind.NO_POOL,
                        "pools",
                        Model.builder("clerk").weightsBytes(1).pools("none").build()),
                problem(
                        ProblemKind.NO_POOL,
                        "pool",
                        engine("s", 9).kind(EndpointKind.SERVICE).pool("other").build()),
                problem(
                        ProblemKind.MEMORY_SHORT,
                        "weights_bytes",
                        Model.builder("clerk").weightsBytes(51).build()),
                problem(
                        ProblemKind.MEMORY_SHORT,
                        "weights_bytes",
                        engine("b", 2).memoryBytes(50).leaving(true).build()));
    }

    private static Plan.Builder plan() {
        return Plan.builder("gold");
    }

    private static Arguments problem(ProblemKind kind, String field, ConfigurationEntry entry) {
        return Arguments.of(kind, field, entry);
    }

    @Test
    void should_find_no_problem_in_a_sound_configuration() {
        assertThat(ConfigurationChecks.check(sound().build())).isEmpty();
    }

    @ParameterizedTest
    @MethodSource("problems")
    void should_find_the_one_problem_of_an_entry(
            ProblemKind kind, String field, ConfigurationEntry entry) {
        // GIVEN
        Configuration configuration = sound().put(entry).build();
        // WHEN
        List<Problem> problems = ConfigurationChecks.check(configuration);
        // THEN
        assertThat(problems)
                .anySatisfy(
                        problem -> {
                            assertThat(problem.kind()).isEqualTo(kind);
                            assertThat(problem.field()).isEqualTo(field);
                        });
    }

    @Test
    void should_show_the_arithmetic_of_memory() {
        // GIVEN
        Configuration configuration =
                sound().put(Model.builder("scribe").weightsBytes(70).workingBytes(20).build())
                        .build();
        // THEN
        assertThatThrownBy(() -> ConfigurationChecks.require(configuration))
                .isInstanceOf(ConfigurationInvalidException.class)
                .hasMessageContaining("70 weights + 20 working + 20 adapter = 110 bytes")
                .hasMessageContaining("is 100");
    }
}
