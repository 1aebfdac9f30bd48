package org.foxtailridge.endtoend;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.List;
import org.foxtailridge.configuration.model.Adapter;
import org.foxtailridge.configuration.model.Model;
import org.foxtailridge.endtoend.harness.CompletionBody;
import org.foxtailridge.endtoend.harness.Fleet;
import org.foxtailridge.standins.engine.EngineFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Keeps listed models reachable and never overcommits accelerator memory. */
class PlacementTest {
    private static final long GIB = 1L << 30;
    private static final long ENGINE_BYTES = 16 * GIB;
    private static final Duration REACHABLE = Duration.ofSeconds(60);
    private Fleet mFleet;

    @BeforeEach
    void start() {
        mFleet = Fleet.builder().nodes(3).engines(3).withoutPreload().start();
    }

    @AfterEach
    void stop() throws Exception {
        for (int engine = 0; engine < 3; engine++) {
            assertThat(mFleet.engine(engine).peakUsedBytes()).isLessThanOrEqualTo(ENGINE_BYTES);
        }
        mFleet.close();
    }

    @Test
    void should_make_a_listed_model_reachable_while_orders_are_lost() {
        // GIVEN
        for (int engine = 0; engine < 3; engine++) {
            mFleet.engine(engine)
                    .setFaults(EngineFaults.builder().dropOrders(1).loseOrderAnswers(1).build());
        }
        // WHEN
        mFleet.operator().set(new Model("clerk", "1", 6 * GIB, GIB, List.of("scribe-pool"), 4096));
        // THEN
        awaitReachable("clerk");
    }

    @Test
    void should_restore_a_model_after_its_holder_is_killed_and_engines_restart() {
        // GIVEN
        for (int engine = 0; engine < 3; engine++) {
            mFleet.engine(engine)
                    .setFaults(EngineFaults.builder().crashOn("fall over", 200).build());
        }
        // WHEN
        mFleet.node(0).kill();
        complete(1, Fleet.MODEL, "fall over");
        complete(2, Fleet.MODEL, "fall over");
        // THEN
        awaitReachable(Fleet.MODEL);
        mFleet.replace(0);
    }

    @Test
    void should_load_an_adapter_when_a_request_needs_it() {
        // WHEN
        mFleet.operator().set(new Adapter("tone", Fleet.MODEL, "1", GIB / 16));
        // THEN
        awaitReachable(Fleet.MODEL + ":tone");
    }

    private void awaitReachable(String model) {
        await().atMost(REACHABLE).until(() -> complete(1, model, "lot of " + model) == 200);
    }

    private int complete(int node, String model, String prompt) {
        CompletionBody body = new CompletionBody(model, prompt, 3, false);
        return mFleet.client().complete(mFleet.node(node), Fleet.LARGE_KEY, body).join().status();
    }
}
