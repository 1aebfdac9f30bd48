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
 * Counts what forwarded requests ask for, by model and by adapter.
 *
 * <p>A request that was refused for want of room counts on for about as long as it would have run:
 * if only admitted requests counted, a model would look less wanted the more of them are refused.
 */
public final class ForwardedDemand {
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    // A stream of 300 tokens takes some two seconds at an engine with a full batch.
    private static final double UNSERVED_MILLISECONDS = 2_000;
    private static final double FORGOTTEN = 0.05;

    private final Clock mClock;
    private final Map<String, Entry> mEntries = new HashMap<>();
    private long mSinceMilliseconds;

    ForwardedDemand(Clock clock) {
        mClock = Objects.requireNonNull(clock, "clock");
        mSinceMilliseconds = clock.millis();
    }

    /** Returns the demand since the last call, by name of the model or adapter. */
    public Map<String, Demand> collect() {
        long now = mClock.millis();
        double seconds = Math.max(1, now - mSinceMilliseconds) / MILLISECONDS_PER_SECOND;
        mSinceMilliseconds = now;
        double kept = Math.exp(-seconds * MILLISECONDS_PER_SECOND / UNSERVED_MILLISECONDS);
        Map<String, Demand> taken = new HashMap<>();
        mEntries.forEach(
                (name, entry) ->
                        taken.put(
                                name,
                                new Demand(
                                        entry.mArrived / seconds,
                                        entry.mTokens / seconds,
                                        entry.mUnderWay + entry.mUnserved)));
        mEntries.values().forEach(entry -> entry.restart(kept));
        mEntries.values().removeIf(entry -> entry.mUnderWay == 0 && entry.mUnserved < FORGOTTEN);
        return taken;
    }

    void arrived(ResolvedRequest terms) {
        namesOf(terms).forEach(name -> entry(name).arrived(terms.countedTokens()));
    }

    /** Notes that a request was refused as no endpoint had room for it, or none its model. */
    void unserved(ResolvedRequest terms) {
        namesOf(terms).forEach(name -> entry(name).mUnserved++);
    }

    void ended(ResolvedRequest terms) {
        namesOf(terms).forEach(name -> entry(name).mUnderWay--);
    }

    /** Returns what a request counts for: its model, and its adapter if it names one. */
    private static List<String> namesOf(ResolvedRequest terms) {
        if (terms.metadata().model().isEmpty()) {
            return List.of();
        }
        WantedModel wanted = terms.metadata().model().get();
        String model = RequestTargets.modelName(terms.service(), wanted.model());
        return wanted.adapter()
                .map(adapter -> List.of(model, AnnouncedPlacement.adapterName(model, adapter)))
                .orElse(List.of(model));
    }

    private Entry entry(String name) {
        return mEntries.computeIfAbsent(name, unused -> new Entry());
    }

    /**
     * Demand for one model or adapter.
     *
     * @param requestsPerSecond requests that came, a second
     * @param tokensPerSecond tokens that they count, a second
     * @param underWay requests that wait or run now, or would run if there had been room
     */
    public record Demand(double requestsPerSecond, double tokensPerSecond, double underWay) {}

    private static final class Entry {
        private int mArrived;
        private long mTokens;
        private int mUnderWay;
        private double mUnserved;

        private void arrived(long tokens) {
            mArrived++;
            mTokens += tokens;
            mUnderWay++;
        }

        private void restart(double keptUnserved) {
            mArrived = 0;
            mTokens = 0;
            mUnserved *= keptUnserved;
        }
    }
}
