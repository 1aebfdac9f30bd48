package org.foxtailridge.forwarding.front;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.foxtailridge.forwarding.request.RequestTerms;
import org.foxtailridge.forwarding.request.WantedModel;
import org.foxtailridge.placement.announced.AnnouncedPlacement;

/** Counts what forwarded requests ask for, by model and by adapter. */
public final class ForwardedDemand {
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final Clock mClock;
    private final Map<String, Entry> mEntries = new HashMap<>();
    private long mSinceMilliseconds;

    ForwardedDemand(Clock clock) {
        mClock = Objects.requireNonNull(clock, "clock");
        mSinceMilliseconds = clock.millis();
    }

    /** Returns the demand since the last call, by name of the model or adapter. */
    public Map<String, Demand> take() {
        long now = mClock.millis();
        double seconds = Math.max(1, now - mSinceMilliseconds) / MILLISECONDS_PER_SECOND;
        mSinceMilliseconds = now;
        Map<String, Demand> taken = new HashMap<>();
        mEntries.forEach(
                (name, entry) ->
                        taken.put(
                                name,
                                new Demand(
                                        entry.mArrived / seconds,
                                        entry.mTokens / seconds,
                                        entry.mUnderWay)));
        mEntries.values().removeIf(entry -> entry.mUnderWay == 0);
        mEntries.values().forEach(Entry::restart);
        return taken;
    }

    void arrived(RequestTerms terms) {
        namesOf(terms).forEach(name -> entry(name).arrived(terms.countedTokens()));
    }

    void ended(RequestTerms terms) {
        namesOf(terms).forEach(name -> entry(name).mUnderWay--);
    }

    /** Returns what a request counts for: its model, and its adapter if it names one. */
    private static List<String> namesOf(RequestTerms terms) {
        if (terms.facts().model().isEmpty()) {
            return List.of();
        }
        WantedModel wanted = terms.facts().model().get();
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
     * @param underWay requests that wait or run now
     */
    public record Demand(double requestsPerSecond, double tokensPerSecond, int underWay) {}

    private static final class Entry {
        private int mArrived;
        private long mTokens;
        private int mUnderWay;

        private void arrived(long tokens) {
            mArrived++;
            mTokens += tokens;
            mUnderWay++;
        }

        private void restart() {
            mArrived = 0;
            mTokens = 0;
        }
    }
}
