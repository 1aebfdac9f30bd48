package org.foxtailridge.endtoend;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.foxtailridge.configuration.model.EntryKind;
import org.foxtailridge.configuration.model.Model;
import org.foxtailridge.configuration.model.Plan;
import org.foxtailridge.endtoend.harness.CallerAnswer;
import org.foxtailridge.endtoend.harness.CompletionBody;
import org.foxtailridge.endtoend.harness.Fleet;
import org.foxtailridge.endtoend.harness.LiveStream;
import org.foxtailridge.endtoend.harness.NodeProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Edits take effect on every node while traffic flows. */
class ConfigurationEditTest {
    private static final Duration IN_FORCE = Duration.ofSeconds(13);
    private static final String OTHER_KEY = "fr_other_0123456789abcdef-other";

    private Fleet mFleet;

    @BeforeEach
    void start() {
        mFleet =
                Fleet.builder()
                        .nodes(3)
                        .engines(1)
                        .engineSettings(engine -> engine.betweenTokens(Duration.ofMillis(20)))
                        .start();
    }

    @AfterEach
    void stop() throws Exception {
        mFleet.close();
    }

    @Test
    void should_refuse_a_withdrawn_key_everywhere_and_end_its_streams() {
        // GIVEN
        mFleet.awaitInForce(mFleet.operator().set(Fleet.key(OTHER_KEY, "auctions")));
        List<LiveStream> streams = mFleet.nodes().stream().map(this::openLongStream).toList();
        // WHEN
        mFleet.operator().remove(EntryKind.KEY, "other");
        // THEN
        for (NodeProcess node : mFleet.nodes()) {
            await().atMost(IN_FORCE)
                    .until(() -> stream(node, OTHER_KEY, "short", 1).join().status() == 401);
            assertThat(stream(node, Fleet.LARGE_KEY, "short", 1).join().status()).isEqualTo(200);
        }
        for (LiveStream stream : streams) {
            List<String> events = stream.rest().events();
            assertThat(events).last().asString().contains("key_withdrawn");
            assertThat(events).doesNotContain("[DONE]");
        }
    }

    @Test
    void should_put_a_changed_rate_in_force() {
        // GIVEN
        Plan small = mFleet.operator().configuration().find(Plan.class, "small").orElseThrow();
        NodeProcess node = mFleet.node(2);
        assertThat(stream(node, Fleet.SMALL_KEY, "x", 300).join().status()).isEqualTo(422);
        // WHEN
        long offset =
                mFleet.operator()
                        .set(
                                new Plan(
                                        small.name(),
                                        100_000,
                                        100_000,
                                        small.models(),
                                        small.adapters(),
                                        small.services(),
                                        small.maximumStalenessSeconds(),
                                        small.maximumConnections()));
        mFleet.awaitInForce(offset);
        // THEN
        await().atMost(IN_FORCE)
                .until(() -> stream(node, Fleet.SMALL_KEY, "x", 300).join().status() == 200);
    }

    @Test
    void should_list_a_model_that_was_added() {
        // WHEN
        long offset =
                mFleet.operator().set(new Model("clerk", "1", 1 << 20, 1 << 20, List.of(), 4096));
        mFleet.awaitInForce(offset);
        // THEN
        for (NodeProcess node : mFleet.nodes()) {
            CallerAnswer models =
                    mFleet.client().get(node.callers() + "/v1/models", Fleet.LARGE_KEY).join();
            assertThat(models.json().path("data").findValuesAsText("id")).contains("clerk");
        }
    }

    private LiveStream openLongStream(NodeProcess node) {
        CompletionBody body = CompletionBody.streamed("long stream through " + node.name(), 400);
        return mFleet.client().open(node, OTHER_KEY, body).join();
    }

    private CompletableFuture<CallerAnswer> stream(
            NodeProcess node, String key, String prompt, int tokens) {
        CompletionBody body = CompletionBody.streamed(prompt, tokens);
        return mFleet.client().complete(node, key, body);
    }
}
