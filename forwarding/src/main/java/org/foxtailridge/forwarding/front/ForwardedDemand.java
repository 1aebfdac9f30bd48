package org.foxtailridge.forwarding.front;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.foxtailridge.forwarding.request.ResolvedRequest;
import org.foxtailridge.forwarding.request.WantedModel;
import org.foxtailridge.placement.announced.AnnouncedPlacement;

/**
 * Measures the demand of forwarded requests for each model and each adapter.
 *
 * <p>A request refused for lack of capacity still counts for about as long as it would have run. If
 * only admitted requests counted, the measured demand for a model would fall as more of its
 * requests are refused. Confined to one thread.
 */
public final class ForwardedDemand {
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    // Decay time; a stream of 300 tokens takes about 2 s on an engine with a full batch.
    private static final double UNSERVED_DECAY_MILLISECONDS = 2_000;
    private static final double NEGLIGIBLE_UNSERVED = 0.05;

    private final Clock mClock;
    private final Map<String, Entry> mEntries = new HashMap<>();
    private long mSinceMilliseconds;

    ForwardedDemand(Clock clock) {
        mClock = Objects.requireNonNull(clock, "clock");
        mSinceMilliseconds = clock.millis();
    }

    /** Returns the demand since the last call, keyed by qualified name of the model or adapter. */
    public Map<String, Demand> collect() {
        long now = mClock.millis();
        double seconds = Math.max(1, now - mSinceMilliseconds) / MILLISECONDS_PER_SECOND;
        mSinceMilliseconds = now;
        double remainingShare =
                Math.exp(-seconds * MILLISECONDS_PER_SECOND / UNSERVED_DECAY_MILLISECONDS);
        Map<String, Demand> demands = new HashMap<>();
        mEntries.forEach(
                (name, entry) ->
                        demands.put(
                                name,
                                new Demand(
                                        entry.mArrived / seconds,
                                        entry.mTokens / seconds,
                                        entry.mUnderWay + entry.mUnserved)));
        mEntries.values().forEach(entry -> entry.startInterval(remainingShare));
        mEntries.values()
                .removeIf(entry -> entry.mUnderWay == 0 && entry.mUnserved < NEGLIGIBLE_UNSERVED);
        return demands;
    }

    void recordArrival(ResolvedRequest resolved) {
        namesOf(resolved).forEach(name -> entry(name).recordArrival(resolved.countedTokens()));
    }

    /** Counts a request refused because no endpoint had capacity for it or held its model. */
    void recordUnserved(ResolvedRequest resolved) {
        namesOf(resolved).forEach(name -> entry(name).mUnserved++);
    }

    void recordEnd(ResolvedRequest resolved) {
        namesOf(resolved).forEach(name -> entry(name).mUnderWay--);
    }

    /** Returns the names that a request counts for: its model, and its adapter if it has one. */
    private static List<String> namesOf(ResolvedRequest resolved) {
        if (resolved.metadata().model().isEmpty()) {
            return List.of();
        }
        WantedModel requested = resolved.metadata().model().get();
        String model = RequestTargets.modelName(resolved.service(), requested.model());
        return requested
                .adapter()
                .map(adapter -> List.of(model, AnnouncedPlacement.adapterName(model, adapter)))
                .orElse(List.of(model));
    }

    private Entry entry(String name) {
        return mEntries.computeIfAbsent(name, newName -> new Entry());
    }

    /**
     * Demand for one model or adapter.
     *
     * @param requestsPerSecond arrived requests per second
     * @param tokensPerSecond counted tokens of the arrived requests per second
     * @param underWay requests that wait or run now, plus the decayed count of unserved requests
     */
    public record Demand(double requestsPerSecond, double tokensPerSecond, double underWay) {}

    private static final class Entry {
        private int mArrived;
        private long mTokens;
        private int mUnderWay;
        private double mUnserved;

        private void recordArrival(long tokens) {
            mArrived++;
            mTokens += tokens;
            mUnderWay++;
        }

        private void startInterval(double remainingUnservedShare) {
            mArrived = 0;
            mTokens = 0;
            mUnserved *= remainingUnservedShare;
        }
    }
}
