package org.foxtailridge.execution.claim;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.foxtailridge.core.error.ErrorKind;

/** What one observer of all callers and endpoints sees, and the promises checked against it. */
final class NaiveClaims {
    private final Map<String, List<Run>> mRuns = new HashMap<>();
    private final Map<Long, ClaimCall> mCalls = new HashMap<>();
    private final Set<Long> mDecided = new HashSet<>();
    private final Map<String, Set<String>> mFingerprints = new HashMap<>();
    private final Set<Long> mCleared = new HashSet<>();
    private final Set<String> mAppended = new HashSet<>();
    private final List<String> mFailures = new ArrayList<>();
    private long mDispatches;

    void called(ClaimCall call) {
        mCalls.put(call.id(), call);
        mFingerprints
                .computeIfAbsent(call.idempotencyKey(), key -> new HashSet<>())
                .add(call.fingerprint());
    }

    /** Notes a record that is stored or may be. */
    void appended(ClaimRecord record) {
        boolean claim = record.type() == ClaimRecord.Type.CLAIM;
        if (claim && !mAppended.add(record.id())) {
            mFailures.add("claim " + record.id() + " may be stored twice");
        }
    }

    /** Notes a dispatch and returns the body with which the endpoint will answer. */
    byte[] dispatched(long id, boolean started) {
        ClaimCall call = mCalls.get(id);
        mDispatches++;
        check(mDecided.add(id), "dispatched after another decision", id);
        List<Run> runs = mRuns.computeIfAbsent(call.idempotencyKey(), key -> new ArrayList<>());
        check(mCleared.containsAll(runs.stream().map(Run::call).toList()), "may run twice", id);
        byte[] body = {(byte) id, (byte) (id >> 8)};
        runs.add(new Run(id, started, body, call.fingerprint()));
        return body;
    }

    /** Notes that the node has learned that no endpoint began. */
    void notStarted(long id) {
        mCleared.add(id);
    }

    void answered(long id, CallOutcome.Answered answer) {
        ClaimCall call = mCalls.get(id);
        check(mDecided.add(id), "answered after another decision", id);
        boolean first =
                mRuns.getOrDefault(call.idempotencyKey(), List.of()).stream()
                        .filter(Run::started)
                        .anyMatch(
                                run ->
                                        Arrays.equals(run.body(), answer.body())
                                                && run.fingerprint().equals(call.fingerprint()));
        check(first, "answered with another answer than the first", id);
    }

    void refused(long id, ErrorKind kind) {
        ClaimCall call = mCalls.get(id);
        check(mDecided.add(id), "refused after another decision", id);
        if (kind == ErrorKind.IDEMPOTENCY_KEY_REUSED) {
            boolean another = mFingerprints.get(call.idempotencyKey()).size() > 1;
            check(another, "refused as reused without another request", id);
        }
    }

    List<String> failures() {
        return mFailures;
    }

    long dispatches() {
        return mDispatches;
    }

    private void check(boolean kept, String failure, long id) {
        if (!kept) {
            mFailures.add("call " + id + " " + failure);
        }
    }

    private record Run(long call, boolean started, byte[] body, String fingerprint) {}
}
