package org.foxtailridge.execution.quarantine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.protocol.quarantine.Permission;
import org.foxtailridge.protocol.quarantine.QuarantineMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Counts endpoints lost to one request that callers repeat through several nodes at once. */
class QuarantineInterleavingTest {
    private static final QuarantineSettings STRICT =
            QuarantineSettings.builder().runsWithoutHome(false).build();

    @Property(seed = "67", tries = 10_000, shrinking = ShrinkingMode.OFF)
    void should_lose_two_endpoints_at_most_though_messages_are_lost(@ForAll long seed) {
        fleet(seed, STRICT, PermissionRule.COUNTING_RUNS, 10, 6).run();
    }

    @Property(seed = "68", tries = 3_000, shrinking = ShrinkingMode.OFF)
    void should_quarantine_on_all_nodes_and_answer_the_innocent(@ForAll long seed) {
        QuarantineFleet fleet = fleet(seed, STRICT, PermissionRule.COUNTING_RUNS, 0, 6);
        fleet.run();
        assertThat(fleet.finishedInnocents()).isPositive();
    }

    private enum Mutation {
        COUNTS_NO_RUNS(
                STRICT,
                (losses, running, doubtful) ->
                        losses >= 2 ? Permission.REFUSE : Permission.RUN_ISOLATED),
        ALLOWS_THREE(
                STRICT,
                (losses, running, doubtful) ->
                        losses + running >= 3 ? Permission.REFUSE : Permission.RUN),
        ASKS_ONLY_AFTER_A_LOSS(
                QuarantineSettings.builder().asksBeforeEachRun(false).build(),
                PermissionRule.COUNTING_RUNS),
        FORGETS_AT_ONCE(
                QuarantineSettings.builder().runsWithoutHome(false).suspectMilliseconds(1).build(),
                PermissionRule.COUNTING_RUNS),
        DOES_NOT_WAIT_FOR_NEWS_OF_DEATHS(
                QuarantineSettings.builder().runsWithoutHome(false).doubtMilliseconds(1).build(),
                PermissionRule.COUNTING_RUNS);

        private final QuarantineSettings mSettings;
        private final PermissionRule mRule;

        Mutation(QuarantineSettings settings, PermissionRule rule) {
            mSettings = settings;
            mRule = rule;
        }
    }

    @ParameterizedTest
    @EnumSource(Mutation.class)
    void should_catch_a_broken_rule(Mutation mutation) {
        assertThatThrownBy(
                        () -> {
                            for (long seed = 0; seed < 300; seed++) {
                                fleet(seed, mutation.mSettings, mutation.mRule, 10, 6).run();
                            }
                        })
                .isInstanceOf(AssertionError.class);
    }

    @Test
    void should_forget_after_a_while_and_stay_bounded() {
        // GIVEN
        ManualClock clock = ManualClock.atEpoch();
        QuarantineSettings settings =
                QuarantineSettings.builder()
                        .suspectMilliseconds(1000)
                        .maximumSuspects(10)
                        .asksBeforeEachRun(false)
                        .build();
        Quarantine node = Quarantine.create(clock, "vm-0", settings, new SilentOutbox());
        // WHEN
        for (int index = 0; index < 100; index++) {
            node.admit("run-" + index, QuarantineFleet.fingerprint("body-" + index));
            node.began("run-" + index, new EndpointStart("engine", 1));
        }
        node.endpointLost(new EndpointStart("engine", 1));
        // THEN
        assertThat(node.suspects()).isEqualTo(10);
        // WHEN
        clock.advance(Duration.ofSeconds(1));
        node.tick();
        // THEN
        assertThat(node.suspects()).isZero();
    }

    @Test
    void should_learn_losses_from_the_log_and_refuse_newer_formats() {
        // GIVEN
        Quarantine node =
                Quarantine.create(ManualClock.atEpoch(), "vm-0", STRICT, new SilentOutbox());
        Fingerprint fingerprint = QuarantineFleet.fingerprint("body");
        // WHEN
        for (long incarnation = 1; incarnation <= 2; incarnation++) {
            EndpointStart lost = new EndpointStart("engine", incarnation);
            node.recorded(QuarantineRecord.of(QuarantineRecord.LOSS, fingerprint, lost, 0));
        }
        // THEN
        assertThat(node.isQuarantined(fingerprint)).isTrue();
        assertThatThrownBy(() -> QuarantineRecord.parse("{\"format\":2,\"type\":\"loss\"}"))
                .isInstanceOf(FoxtailridgeException.class)
                .hasMessageContaining("format up to 1")
                .hasMessageContaining("format 2");
    }

    private static QuarantineFleet fleet(
            long seed,
            QuarantineSettings settings,
            PermissionRule rule,
            int lossPercent,
            int crashCallers) {
        return new QuarantineFleet(seed, settings, rule, lossPercent, crashCallers);
    }

    private static final class SilentOutbox implements QuarantineOutbox {
        @Override
        public void permit(String runId, boolean isolated) {}

        @Override
        public void refuse(String runId) {}

        @Override
        public void send(String node, QuarantineMessage message) {}

        @Override
        public void broadcast(QuarantineMessage message) {}

        @Override
        public void append(QuarantineRecord record) {}
    }
}
