package org.foxtailridge.endtoend;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.foxtailridge.endtoend.harness.CallerAnswer;
import org.foxtailridge.endtoend.harness.LiveStream;
import org.foxtailridge.endtoend.harness.PlatformFleet;
import org.foxtailridge.endtoend.harness.PlatformNodeProcess;
import org.foxtailridge.standins.platform.StoreFaults;
import org.foxtailridge.standins.platform.WorkerStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Nodes on the platform that are stopped, killed, reloaded or turned away by the store. */
class PlatformDisruptionTest {
    private static final Duration PATIENCE = Duration.ofSeconds(30);

    private PlatformFleet mFleet;

    @BeforeEach
    void start() throws IOException {
        mFleet = PlatformFleet.start();
    }

    @AfterEach
    void stop() {
        mFleet.close();
    }

    @Test
    void should_put_a_configuration_in_force_on_nodes_that_the_store_turns_away() {
        // GIVEN
        mFleet.door(1).setFaults(StoreFaults.turningAway());
        mFleet.door(2).setFaults(StoreFaults.neverAnswering());
        // WHEN
        mFleet.store().publish(PlatformFleet.configurationWithRoute(2, "/added/").toJson());
        // THEN
        for (PlatformNodeProcess node : mFleet.nodes()) {
            await().atMost(PATIENCE).until(() -> status(node, "/added/lot") == 200);
        }
    }

    @Test
    void should_not_fall_back_to_a_former_configuration_when_a_node_starts_without_the_store() {
        // GIVEN
        mFleet.store().publish(PlatformFleet.configurationWithRoute(2, "/added/").toJson());
        mFleet.nodes()
                .forEach(node -> await().atMost(PATIENCE).until(() -> served(node, "/added/lot")));
        mFleet.node(2).kill();
        mFleet.door(2).setFaults(StoreFaults.turningAway());
        // WHEN
        mFleet.restart(2);
        // THEN
        List<Integer> seen = new ArrayList<>();
        await().atMost(PATIENCE)
                .ignoreExceptions()
                .until(
                        () -> {
                            seen.add(status(mFleet.node(2), "/added/lot"));
                            return seen.get(seen.size() - 1) == 200;
                        });
        assertThat(seen).isSubsetOf(503, 200);
    }

    @Test
    void should_say_that_it_is_not_ready_while_neither_store_nor_peers_tell_it_anything() {
        // GIVEN
        mFleet.nodes().forEach(PlatformNodeProcess::kill);
        mFleet.door(0).setFaults(StoreFaults.neverAnswering());
        // WHEN
        mFleet.restart(0);
        // THEN
        await().atMost(PATIENCE)
                .ignoreExceptions()
                .until(() -> status(mFleet.node(0), "/safe/lot") == 503);
        assertThat(mFleet.get(mFleet.node(0).operators() + "/ready", "").join().status())
                .isEqualTo(503);
        mFleet.door(0).setFaults(StoreFaults.none());
        mFleet.awaitReady(mFleet.node(0));
        await().atMost(PATIENCE).until(() -> served(mFleet.node(0), "/safe/lot"));
    }

    @Test
    void should_finish_the_streams_of_a_node_that_is_told_to_stop() {
        // GIVEN
        List<LiveStream> streams = open(mFleet.node(1), 8);
        // WHEN
        mFleet.node(1).terminate();
        // THEN
        assertWhole(streams);
        mFleet.node(1).waitForExit();
    }

    @ParameterizedTest(name = "with a signal: {0}")
    @ValueSource(booleans = {true, false})
    void should_take_changed_settings_without_losing_a_request(boolean hangUp) {
        // GIVEN
        PlatformNodeProcess node = mFleet.node(1);
        List<LiveStream> streams = open(node, 4);
        // WHEN
        node.changeStopTime(6_500, hangUp);
        // THEN
        await().atMost(PATIENCE).until(() -> node.lines().contains("\"stop_ms\":6500"));
        assertThat(served(node, "/safe/lot")).isTrue();
        assertWhole(streams);
    }

    @Test
    void should_go_on_with_the_settings_it_has_when_new_ones_are_refused() {
        // GIVEN
        PlatformNodeProcess node = mFleet.node(1);
        // WHEN
        node.spoilSettings();
        // THEN
        await().atMost(PATIENCE).until(() -> node.lines().contains("settings_refused"));
        assertThat(node.isAlive()).isTrue();
        assertThat(served(node, "/safe/lot")).isTrue();
    }

    @ParameterizedTest(name = "announced: {0}")
    @ValueSource(booleans = {true, false})
    void should_send_nothing_new_to_a_worker_that_leaves(boolean announced) {
        // GIVEN
        WorkerStandin leaving = mFleet.desks().get(0);
        if (announced) {
            leaving.drain();
        } else {
            leaving.vanish();
        }
        String word = announced ? "\"draining\":\"true\"" : "endpoint_gone";
        mFleet.nodes()
                .forEach(node -> await().atMost(PATIENCE).until(() -> node.lines().contains(word)));
        int before = leaving.executions().size();
        // WHEN
        for (int number = 0; number < 30; number++) {
            assertThat(served(mFleet.node(number % 3), "/safe/lot")).isTrue();
        }
        // THEN
        assertThat(leaving.executions()).hasSize(before);
    }

    private List<LiveStream> open(PlatformNodeProcess node, int count) {
        List<CompletableFuture<LiveStream>> streams = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            streams.add(mFleet.open(node, "m1", "stream " + number));
        }
        return streams.stream().map(CompletableFuture::join).toList();
    }

    private static void assertWhole(List<LiveStream> streams) {
        for (int number = 0; number < streams.size(); number++) {
            String expected = WorkerStandin.eventsOf("stream " + number, 0, PlatformFleet.EVENTS);
            // Lines come without their last ends.
            assertThat(streams.get(number).rest().body().stripTrailing())
                    .isEqualTo(expected.stripTrailing());
        }
    }

    private boolean served(PlatformNodeProcess node, String target) {
        return status(node, target) == 200;
    }

    private int status(PlatformNodeProcess node, String target) {
        CallerAnswer answer = mFleet.call(node, "GET", target, PlatformFleet.KEY, "").join();
        return answer.status();
    }
}
