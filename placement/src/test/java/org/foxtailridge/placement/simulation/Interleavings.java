package org.foxtailridge.placement.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongFunction;

/** Runs a simulation for each of many seeds on a few threads. */
final class Interleavings {
    private static final int THREADS = 3;

    private Interleavings() {}

    /** Returns a violation of one of the seeds, if there is any; stops at the first. */
    static Optional<String> firstViolation(int seeds, LongFunction<List<String>> run)
            throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        AtomicReference<String> found = new AtomicReference<>();
        try {
            List<Future<?>> parts = new ArrayList<>();
            for (int thread = 0; thread < THREADS; thread++) {
                parts.add(threads.submit(part(thread, seeds, run, found)));
            }
            for (Future<?> part : parts) {
                part.get();
            }
        } finally {
            threads.shutdown();
        }
        return Optional.ofNullable(found.get());
    }

    private static Callable<Void> part(
            int first, int seeds, LongFunction<List<String>> run, AtomicReference<String> found) {
        return () -> {
            for (long seed = first; seed < seeds && found.get() == null; seed += THREADS) {
                List<String> violations = run.apply(seed);
                if (!violations.isEmpty()) {
                    found.compareAndSet(null, "seed " + seed + ": " + violations.get(0));
                }
            }
            return null;
        };
    }
}
