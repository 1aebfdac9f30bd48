package org.foxtailridge.routing.queue;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.configuration.model.WorkClass;
import org.foxtailridge.routing.Fleets;
import org.foxtailridge.routing.RouteRequest;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks that the queue serves in the order of a naive one over random interleavings. */
class FairQueueDifferentialTest {
    private static final int STEPS = 80;
    private static final long FAR_MILLISECONDS = 1_000_000;
    private static final QueueSettings SETTINGS =
            QueueSettings.builder().agedMilliseconds(FAR_MILLISECONDS).build();

    @Property(seed = "63", tries = 10_000, shrinking = ShrinkingMode.OFF)
    void should_serve_in_the_order_of_the_naive_queue(@ForAll long seed) {
        compare(seed, new LeastServedOrder());
    }

    static Stream<AccountOrder> mutations() {
        return Stream.of(
                waiting -> waiting,
                waiting -> sorted(waiting, Comparator.comparing(AccountQueue::account)),
                waiting -> sorted(waiting, Comparator.comparing(AccountQueue::tokens)));
    }

    @ParameterizedTest
    @MethodSource("mutations")
    void should_catch_another_order(AccountOrder mutation) {
        assertThatThrownBy(
                        () -> {
                            for (long seed = 0; seed < 100; seed++) {
                                compare(seed, mutation);
                            }
                        })
                .isInstanceOf(AssertionError.class);
    }

    private static List<AccountQueue> sorted(
            List<AccountQueue> waiting, Comparator<AccountQueue> order) {
        return waiting.stream().sorted(order).toList();
    }

    private static double weight(String account) {
        return 1 + account.charAt(account.length() - 1) - '0';
    }

    private static void compare(long seed, AccountOrder order) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        FairQueue queue = new FairQueue(SETTINGS, FairQueueDifferentialTest::weight, order);
        NaiveQueue naive = new NaiveQueue(FairQueueDifferentialTest::weight);
        List<QueuedRequest> running = new ArrayList<>();
        for (int step = 0; step < STEPS; step++) {
            switch (random.nextInt(5)) {
                case 0, 1 -> add(queue, naive, random, step);
                case 2 -> settle(queue, naive, random, running);
                default -> serve(queue, naive, running);
            }
        }
    }

    private static void add(
            FairQueue queue, NaiveQueue naive, UniformRandomProvider random, int step) {
        RouteRequest request =
                Fleets.request("request-" + step, "lots")
                        .clientAccount("account-" + random.nextInt(4))
                        .workClass(WorkClass.values()[random.nextInt(3)])
                        .mayHaveBegun(random.nextInt(6) == 0)
                        .promptTokens(1 + random.nextInt(500))
                        .build();
        QueuedRequest queued = new QueuedRequest(request, 0, FAR_MILLISECONDS);
        queue.add(queued);
        naive.add(queued);
    }

    private static void serve(FairQueue queue, NaiveQueue naive, List<QueuedRequest> running) {
        Optional<QueuedRequest> expected = naive.next();
        assertThat(queue.heads(0).stream().findFirst()).isEqualTo(expected);
        expected.ifPresent(
                queued -> {
                    queue.serve(queued, 0);
                    naive.serve(queued);
                    running.add(queued);
                });
    }

    private static void settle(
            FairQueue queue,
            NaiveQueue naive,
            UniformRandomProvider random,
            List<QueuedRequest> running) {
        if (running.isEmpty()) {
            return;
        }
        QueuedRequest ended = running.remove(random.nextInt(running.size()));
        long correction = -random.nextInt(ended.tokens());
        queue.settle(ended.request().workClass(), ended.account(), correction);
        naive.settle(ended, correction);
    }
}
