package org.foxtailridge.cli.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SortedMap;
import java.util.TreeMap;

/** What a load measured, for each client account and class of work. Safe for several threads. */
final class LoadReport {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final SortedMap<String, Group> mGroups = new TreeMap<>();
    private final Group mAll = new Group("all");
    private Duration mElapsed = Duration.ZERO;

    synchronized void add(Answer answer) {
        mAll.add(answer);
        String name = answer.arrival().account().name() + " " + answer.arrival().workClass().name();
        mGroups.computeIfAbsent(name, Group::new).add(answer);
    }

    synchronized void end(Duration elapsed) {
        mElapsed = elapsed;
    }

    /** Returns the latencies to the first token of all whole answers. */
    synchronized Latencies firstToken() {
        return mAll.mFirstToken;
    }

    /** Returns the times between tokens of all whole answers. */
    synchronized Latencies betweenTokens() {
        return mAll.mBetweenTokens;
    }

    /** Returns the latencies to the end of all whole answers. */
    synchronized Latencies completion() {
        return mAll.mCompletion;
    }

    synchronized Result result() {
        List<GroupResult> groups = new ArrayList<>();
        groups.add(mAll.result());
        mGroups.values().forEach(group -> groups.add(group.result()));
        double seconds = mElapsed.toNanos() / NANOSECONDS_PER_SECOND;
        double rate = seconds == 0 ? 0 : groups.get(0).whole() / seconds;
        return new Result(seconds, rate, groups);
    }

    /**
     * All figures of a load.
     *
     * @param seconds time from the first intended start to the last end
     * @param wholePerSecond whole answers a second
     * @param groups figures of all requests, then of each client account and class of work
     */
    record Result(double seconds, double wholePerSecond, List<GroupResult> groups) {
        String toText() {
            StringBuilder text = new StringBuilder();
            text.append(
                    String.format(
                            Locale.ROOT,
                            "%.1f s, %.1f whole answers a second; times in ms from the intended "
                                    + "start%n",
                            seconds,
                            wholePerSecond));
            groups.forEach(group -> text.append(group.toText()));
            return text.toString();
        }
    }

    /**
     * Figures of one group of requests.
     *
     * @param name name of the group
     * @param requests requests offered
     * @param whole whole answers
     * @param others outcomes other than whole answers
     * @param firstToken time to the first token of whole answers
     * @param betweenTokens time between tokens of whole answers
     * @param completion time to the end of whole answers
     */
    record GroupResult(
            String name,
            long requests,
            long whole,
            List<OutcomeCount> others,
            Latencies.Summary firstToken,
            Latencies.Summary betweenTokens,
            Latencies.Summary completion) {
        private String toText() {
            StringBuilder text = new StringBuilder();
            text.append(String.format("%s: %d requests, %d whole", name, requests, whole));
            others.forEach(o -> text.append(", ").append(o.count).append(' ').append(o.outcome));
            text.append(System.lineSeparator());
            text.append(line("first token", firstToken));
            text.append(line("between tokens", betweenTokens));
            text.append(line("completion", completion));
            return text.toString();
        }

        private static String line(String name, Latencies.Summary summary) {
            return String.format(
                    Locale.ROOT,
                    "  %-15s median %9.2f  p95 %9.2f  p99 %9.2f  max %9.2f%n",
                    name,
                    summary.medianMs(),
                    summary.p95Ms(),
                    summary.p99Ms(),
                    summary.maximumMs());
        }
    }

    /**
     * How often an outcome came.
     *
     * @param outcome word of the outcome
     * @param count number of requests
     */
    record OutcomeCount(String outcome, long count) {}

    private static final class Group {
        private final String mName;
        private final Latencies mFirstToken = new Latencies();
        private final Latencies mBetweenTokens = new Latencies();
        private final Latencies mCompletion = new Latencies();
        private final SortedMap<String, Long> mOthers = new TreeMap<>();
        private long mRequests;
        private long mWhole;

        private Group(String name) {
            mName = name;
        }

        private void add(Answer answer) {
            mRequests++;
            if (!answer.isWhole()) {
                mOthers.merge(answer.outcome(), 1L, Long::sum);
                return;
            }
            mWhole++;
            mFirstToken.add(answer.firstToken());
            mCompletion.add(answer.completion());
            answer.gaps().forEach(mBetweenTokens::add);
        }

        private GroupResult result() {
            List<OutcomeCount> others = new ArrayList<>();
            mOthers.forEach((outcome, count) -> others.add(new OutcomeCount(outcome, count)));
            return new GroupResult(
                    mName,
                    mRequests,
                    mWhole,
                    others,
                    mFirstToken.summary(),
                    mBetweenTokens.summary(),
                    mCompletion.summary());
        }
    }
}
