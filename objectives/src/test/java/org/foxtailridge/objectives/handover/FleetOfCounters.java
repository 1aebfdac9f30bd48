package org.foxtailridge.objectives.handover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.foxtailridge.configuration.model.Measure;
import org.foxtailridge.configuration.model.Objective;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.objectives.count.ObjectiveCounters;
import org.foxtailridge.objectives.count.RequestOutcome;
import org.foxtailridge.objectives.report.BurnReport;
import org.foxtailridge.objectives.report.BurnRow;
import org.foxtailridge.protocol.objectives.ObjectivesMessage;

/** Four nodes that count, of which some stop and hand their counts on through a bad network. */
final class FleetOfCounters {
    private static final int NODES = 4;
    private static final int STEPS = 60;
    private static final long WINDOW_SECONDS = 7_200;
    private static final long BUCKET_MILLISECONDS = WINDOW_SECONDS * 1_000 / 720;
    private static final Duration RETRY = Duration.ofSeconds(1);
    private static final Objective OBJECTIVE =
            new Objective("whole", "*", "*", Measure.AVAILABILITY, 0, 0.9, WINDOW_SECONDS);

    private final UniformRandomProvider mRandom;
    private final ManualClock mClock = ManualClock.atEpoch();
    private final List<ObjectiveCounters> mCounters = new ArrayList<>();
    private final List<CountsHandover> mHandovers = new ArrayList<>();
    private final boolean[] mStopping = new boolean[NODES];
    private final List<Sent> mNetwork = new ArrayList<>();
    private final List<Long> mGood = new ArrayList<>();
    private final List<Long> mBad = new ArrayList<>();

    private FleetOfCounters(UniformRandomProvider random, boolean takeTwice) {
        mRandom = random;
        for (int node = 0; node < NODES; node++) {
            String from = "node-" + node;
            ObjectiveCounters counters = ObjectiveCounters.create(from, mClock, 10);
            counters.configure(List.of(OBJECTIVE));
            HandoverOutbox outbox = (to, message) -> mNetwork.add(new Sent(from, to, message));
            mCounters.add(counters);
            mHandovers.add(
                    takeTwice
                            ? new CountsHandover(counters, mClock, RETRY, outbox) {
                                @Override
                                boolean takesFirst(String id) {
                                    super.takesFirst(id);
                                    return true;
                                }
                            }
                            : new CountsHandover(counters, mClock, RETRY, outbox));
        }
    }

    static void run(UniformRandomProvider random, boolean takeTwice) {
        FleetOfCounters fleet = new FleetOfCounters(random, takeTwice);
        for (int step = 0; step < STEPS; step++) {
            fleet.step();
            fleet.check();
        }
    }

    private void step() {
        switch (mRandom.nextInt(8)) {
            case 0 -> mClock.advance(Duration.ofSeconds(mRandom.nextInt(600)));
            case 1 -> stop(mRandom.nextInt(NODES));
            case 2, 3, 4 -> deliver();
            default -> count(mRandom.nextInt(NODES));
        }
        mHandovers.forEach(CountsHandover::tick);
    }

    private void count(int node) {
        if (mStopping[node]) {
            return;
        }
        boolean good = mRandom.nextBoolean();
        Optional<Duration> completion = good ? Optional.of(Duration.ZERO) : Optional.empty();
        mCounters
                .get(node)
                .record(
                        new RequestOutcome(
                                "scribe", "a", Optional.empty(), Optional.empty(), completion));
        (good ? mGood : mBad).add(mClock.millis());
    }

    private void stop(int node) {
        if (node > 0 && !mStopping[node]) {
            mStopping[node] = true;
            mHandovers.get(node).begin("node-0", "handover-" + node);
        }
    }

    private void deliver() {
        if (mNetwork.isEmpty()) {
            return;
        }
        int index = mRandom.nextInt(mNetwork.size());
        Sent sent = mNetwork.get(index);
        boolean doubled = mRandom.nextInt(4) == 0;
        if (!doubled) {
            mNetwork.remove(index);
        }
        boolean lost = mRandom.nextInt(4) == 0;
        if (!lost) {
            int to = Integer.parseInt(sent.to().substring("node-".length()));
            mHandovers.get(to).handle(sent.from(), sent.message());
        }
    }

    private void check() {
        BurnReport.Builder builder = BurnReport.builder(mClock.millis());
        mHandovers.forEach(handover -> builder.add(handover.counts()));
        List<BurnRow> rows = builder.build().rows();
        long good = inWindow(mGood);
        long bad = inWindow(mBad);
        long reportedGood = rows.stream().mapToLong(BurnRow::good).sum();
        long reportedBad = rows.stream().mapToLong(BurnRow::bad).sum();
        assertThat(reportedGood).isEqualTo(good);
        assertThat(reportedBad).isEqualTo(bad);
        if (!rows.isEmpty()) {
            double left = 1 - bad / ((1 - 0.9) * (good + bad));
            assertThat(Math.abs(rows.get(0).budgetLeft() - left)).isLessThan(1e-9);
        }
    }

    private long inWindow(List<Long> events) {
        long oldest = mClock.millis() / BUCKET_MILLISECONDS - 719;
        return events.stream().filter(at -> at / BUCKET_MILLISECONDS >= oldest).count();
    }

    private record Sent(String from, String to, ObjectivesMessage message) {}
}
