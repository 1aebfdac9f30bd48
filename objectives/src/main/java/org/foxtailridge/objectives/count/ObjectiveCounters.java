package org.foxtailridge.objectives.count;

import java.time.Clock;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.foxtailridge.configuration.model.Objective;
import org.foxtailridge.protocol.objectives.BurnCounts;
import org.foxtailridge.protocol.objectives.BurnSeries;

/**
 * Counts the good and bad events of one node. Used by one thread; does no input or output.
 *
 * <p>A series is an objective with one route and one client account. The number of series is
 * bounded; events beyond are reported as not counted, never as good.
 *
 * <pre>{@code
 * ObjectiveCounters counters = ObjectiveCounters.create("node-1", clock, 2_000);
 * counters.configure(configuration.all(Objective.class));
 * counters.record(outcome);
 * counters.counts();
 * }</pre>
 */
public final class ObjectiveCounters {
    /** Length of a fine bucket. */
    public static final long MINUTE_MILLISECONDS = 60_000;

    /** Fine buckets of a series. */
    public static final int MINUTES_KEPT = 60;

    /** Coarse buckets of a series, which together are as long as the objective's window. */
    public static final int COARSE_BUCKETS = 720;

    private static final long MILLISECONDS_PER_SECOND = 1_000;
    private static final String ALL = "*";

    private final String mNode;
    private final Clock mClock;
    private final int mMaximumSeries;
    private final EventRule mRule;
    private final Map<SeriesKey, Series> mSeries = new LinkedHashMap<>();
    private List<Objective> mObjectives = List.of();
    private long mUncounted;

    private ObjectiveCounters(String node, Clock clock, int maximumSeries, EventRule rule) {
        mNode = Objects.requireNonNull(node, "node");
        mClock = Objects.requireNonNull(clock, "clock");
        mRule = Objects.requireNonNull(rule, "rule");
        if (maximumSeries < 1) {
            throw new IllegalArgumentException(
                    "maximumSeries must be at least 1 but was " + maximumSeries);
        }
        mMaximumSeries = maximumSeries;
    }

    /**
     * Returns counters without objectives.
     *
     * @param node name of the node
     * @param clock clock of the node
     * @param maximumSeries largest number of series kept
     */
    public static ObjectiveCounters create(String node, Clock clock, int maximumSeries) {
        return new ObjectiveCounters(node, clock, maximumSeries, EventRule.standard());
    }

    static ObjectiveCounters create(String node, Clock clock, int maximumSeries, EventRule rule) {
        return new ObjectiveCounters(node, clock, maximumSeries, rule);
    }

    /**
     * Sets the objectives; the counts of objectives that are gone or read otherwise are dropped.
     */
    public void configure(List<Objective> objectives) {
        mObjectives = List.copyOf(objectives);
        mSeries.values().removeIf(series -> !mObjectives.contains(series.mObjective));
    }

    /** Counts a request in every objective that covers it. */
    public void record(RequestOutcome outcome) {
        for (Objective objective : mObjectives) {
            if (covers(objective, outcome.route(), outcome.clientAccount())) {
                count(objective, outcome);
            }
        }
    }

    /** Returns what has been counted and is still inside the windows. */
    public BurnCounts counts() {
        BurnCounts.Builder counts =
                BurnCounts.newBuilder()
                        .setNode(mNode)
                        .setAsOfMs(mClock.millis())
                        .setUncountedEvents(mUncounted);
        mSeries.forEach((key, series) -> counts.addSeries(series.toMessage(key, mClock.millis())));
        return counts.build();
    }

    /**
     * Adds counts that another node has handed on. Series of objectives that are not listed here,
     * or that read otherwise, are counted as not counted.
     */
    public void absorb(BurnCounts counts) {
        mUncounted += counts.getUncountedEvents();
        counts.getSeriesList().forEach(this::absorb);
    }

    /** Drops all counts, after they have been handed on. */
    public void clear() {
        mSeries.clear();
        mUncounted = 0;
    }

    private void absorb(BurnSeries message) {
        Objective objective = matching(message);
        Series series = objective == null ? null : series(objective, keyOf(message));
        if (series == null) {
            mUncounted +=
                    message.getCoarseList().stream().mapToLong(b -> b.getGood() + b.getBad()).sum();
            return;
        }
        series.mMinutes.addAll(message.getMinutesList());
        series.mCoarse.addAll(message.getCoarseList());
    }

    private Objective matching(BurnSeries message) {
        return mObjectives.stream()
                .filter(objective -> objective.name().equals(message.getObjective()))
                .filter(objective -> objective.windowSeconds() == message.getWindowSeconds())
                .findFirst()
                .orElse(null);
    }

    private void count(Objective objective, RequestOutcome outcome) {
        EventRule.Event event = mRule.judge(objective, outcome);
        if (event == EventRule.Event.NONE) {
            return;
        }
        SeriesKey key = new SeriesKey(objective.name(), outcome.route(), outcome.clientAccount());
        Series series = series(objective, key);
        if (series == null) {
            mUncounted++;
            return;
        }
        boolean good = event == EventRule.Event.GOOD;
        series.mMinutes.add(mClock.millis(), good ? 1 : 0, good ? 0 : 1);
        series.mCoarse.add(mClock.millis(), good ? 1 : 0, good ? 0 : 1);
    }

    private Series series(Objective objective, SeriesKey key) {
        Series series = mSeries.get(key);
        if (series == null && mSeries.size() < mMaximumSeries) {
            series = new Series(objective);
            mSeries.put(key, series);
        }
        return series;
    }

    private static boolean covers(Objective objective, String route, String account) {
        boolean routeMatches = objective.route().equals(ALL) || objective.route().equals(route);
        boolean accountMatches =
                objective.clientAccount().equals(ALL) || objective.clientAccount().equals(account);
        return routeMatches && accountMatches;
    }

    private static SeriesKey keyOf(BurnSeries message) {
        return new SeriesKey(
                message.getObjective(), message.getRoute(), message.getClientAccount());
    }

    private record SeriesKey(String objective, String route, String clientAccount) {}

    private static final class Series {
        private final Objective mObjective;
        private final long mCoarseMilliseconds;
        private final EventWindow mMinutes = new EventWindow(MINUTE_MILLISECONDS, MINUTES_KEPT);
        private final EventWindow mCoarse;

        private Series(Objective objective) {
            mObjective = objective;
            long window = objective.windowSeconds() * MILLISECONDS_PER_SECOND;
            mCoarseMilliseconds = Math.max(1, window / COARSE_BUCKETS);
            mCoarse = new EventWindow(mCoarseMilliseconds, COARSE_BUCKETS);
        }

        private BurnSeries toMessage(SeriesKey key, long now) {
            return BurnSeries.newBuilder()
                    .setObjective(key.objective())
                    .setRoute(key.route())
                    .setClientAccount(key.clientAccount())
                    .setTarget(mObjective.target())
                    .setWindowSeconds(mObjective.windowSeconds())
                    .setCoarseBucketMs(mCoarseMilliseconds)
                    .addAllMinutes(mMinutes.buckets(now))
                    .addAllCoarse(mCoarse.buckets(now))
                    .build();
        }
    }
}
