package org.foxtailridge.execution.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.foxtailridge.core.time.ManualClock;
import org.junit.jupiter.api.Test;

class FleetRetryBudgetTest {
    private static final FleetRetrySettings SETTINGS =
            new FleetRetrySettings(Duration.ofSeconds(10), 0.2, 54);
    private static final String SERVICE = "scribe";

    private final ManualClock mClock = ManualClock.atEpoch();

    @Test
    void should_allow_a_share_of_the_requests_and_its_part_of_the_allowance() {
        // GIVEN one of nine nodes, with 50 requests
        FleetRetryBudget budget = new FleetRetryBudget(SETTINGS, mClock);
        budget.nodes(9);
        for (int request = 0; request < 50; request++) {
            budget.requested(SERVICE);
        }

        // WHEN
        int taken = take(budget, 100);

        // THEN
        assertThat(taken).isEqualTo(13);
    }

    @Test
    void should_allow_retries_again_once_the_window_is_past() {
        // GIVEN
        FleetRetryBudget budget = new FleetRetryBudget(SETTINGS, mClock);
        budget.nodes(9);
        take(budget, 100);

        // WHEN
        mClock.advance(Duration.ofMillis(10_001));

        // THEN
        assertThat(take(budget, 100)).isEqualTo(5);
    }

    /** Requests are counted in the window, half a window earlier or a window earlier. */
    @Property(tries = 100, seed = "61")
    void should_keep_the_fleet_within_its_budget_in_every_window(@ForAll long seed) {
        Random random = new Random(seed);
        ManualClock clock = ManualClock.atEpoch();
        List<FleetRetryBudget> nodes = new ArrayList<>();
        for (int node = 0; node < 7; node++) {
            FleetRetryBudget budget = new FleetRetryBudget(SETTINGS, clock);
            budget.nodes(7);
            nodes.add(budget);
        }
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        for (int step = 0; step < 3_000; step++) {
            FleetRetryBudget node = nodes.get(random.nextInt(7));
            if (random.nextInt(3) == 0) {
                node.requested(SERVICE);
                requests.add(clock.millis());
            } else if (node.take(SERVICE)) {
                retries.add(clock.millis());
            }
            clock.advance(Duration.ofMillis(random.nextInt(20)));
            double counted =
                    Math.max(
                            within(requests, clock.millis()),
                            Math.max(
                                    within(requests, clock.millis() - 5_000),
                                    within(requests, clock.millis() - 10_000)));
            assertThat(within(retries, clock.millis())).isLessThanOrEqualTo(0.2 * counted + 54);
        }
    }

    /** Returns the instants in the window of ten seconds that ends with an instant. */
    private static double within(List<Long> instants, long end) {
        return instants.stream()
                .filter(instant -> instant > end - 10_000 && instant <= end)
                .count();
    }

    private static int take(FleetRetryBudget budget, int tries) {
        int taken = 0;
        for (int attempt = 0; attempt < tries; attempt++) {
            taken += budget.take(SERVICE) ? 1 : 0;
        }
        return taken;
    }
}
