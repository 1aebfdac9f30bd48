package org.foxtailridge.execution.claim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Calls that wait for the outcome of another call with the same key, in order of arrival. */
final class WaitingCalls {
    private final Map<Long, Waiting> mWaiting = new LinkedHashMap<>();

    void add(ClaimCall call, String key, long deadlineMilliseconds) {
        mWaiting.put(call.id(), new Waiting(call, key, deadlineMilliseconds));
    }

    int size() {
        return mWaiting.size();
    }

    boolean remove(long call) {
        return mWaiting.remove(call) != null;
    }

    /** Removes and returns all calls that wait for a key. */
    List<ClaimCall> removeAll(String key) {
        List<ClaimCall> calls = new ArrayList<>();
        mWaiting.values().stream()
                .filter(waiting -> waiting.key().equals(key))
                .forEach(waiting -> calls.add(waiting.call()));
        calls.forEach(call -> mWaiting.remove(call.id()));
        return calls;
    }

    /** Removes and returns the first call that waits for a key. */
    Optional<ClaimCall> removeFirst(String key) {
        Optional<ClaimCall> first =
                mWaiting.values().stream()
                        .filter(waiting -> waiting.key().equals(key))
                        .map(Waiting::call)
                        .findFirst();
        first.ifPresent(call -> mWaiting.remove(call.id()));
        return first;
    }

    /** Removes and returns the calls whose deadline has passed. */
    List<ClaimCall> removeLate(long nowMilliseconds) {
        List<ClaimCall> calls = new ArrayList<>();
        mWaiting.values().stream()
                .filter(waiting -> nowMilliseconds >= waiting.deadlineMilliseconds())
                .forEach(waiting -> calls.add(waiting.call()));
        calls.forEach(call -> mWaiting.remove(call.id()));
        return calls;
    }

    private record Waiting(ClaimCall call, String key, long deadlineMilliseconds) {}
}
