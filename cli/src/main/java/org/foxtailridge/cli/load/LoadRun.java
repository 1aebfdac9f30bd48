package org.foxtailridge.cli.load;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.foxtailridge.cli.terminal.Terminal;

/** Offers a load: requests start when they are due, however slow the answers are. */
final class LoadRun {
    private static final Duration SMALLEST_PAUSE = Duration.ofMillis(1);
    private static final long DRAIN_SECONDS = 120;

    private final LoadPlan mPlan;
    private final Terminal mTerminal;
    private final LoadReport mReport = new LoadReport();
    private final Semaphore mFree;

    LoadRun(LoadPlan plan, Terminal terminal) {
        mPlan = plan;
        mTerminal = terminal;
        mFree = new Semaphore(plan.maximumInFlight());
    }

    /** Offers the whole load and returns what was measured. */
    LoadReport run() {
        try (LoadClient client = new LoadClient(mPlan, mTerminal.clock())) {
            Instant begin = mTerminal.clock().instant();
            Arrivals arrivals = new Arrivals(mPlan);
            while (arrivals.hasNext()) {
                Arrival arrival = arrivals.next();
                Instant intended = begin.plus(arrival.at());
                awaitDue(intended);
                offer(client, arrival, intended);
            }
            awaitAnswers();
            mReport.end(Duration.between(begin, mTerminal.clock().instant()));
        }
        return mReport;
    }

    private void awaitDue(Instant intended) {
        Duration left = Duration.between(mTerminal.clock().instant(), intended);
        while (left.compareTo(SMALLEST_PAUSE) > 0) {
            mTerminal.pause(left);
            left = Duration.between(mTerminal.clock().instant(), intended);
        }
    }

    private void offer(LoadClient client, Arrival arrival, Instant intended) {
        if (!mFree.tryAcquire()) {
            mReport.add(new Answer(arrival, Answer.NOT_SENT, null, Duration.ZERO, null));
            return;
        }
        client.send(arrival, intended)
                .thenAccept(mReport::add)
                .whenComplete((added, failure) -> mFree.release());
    }

    private void awaitAnswers() {
        try {
            mFree.tryAcquire(mPlan.maximumInFlight(), DRAIN_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
