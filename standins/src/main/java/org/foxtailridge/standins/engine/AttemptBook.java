package org.foxtailridge.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The engine's record of attempts, and of cancellations that came before them. */
final class AttemptBook {
    private static final int MAXIMUM_ATTEMPTS = 100_000;
    private static final int MAXIMUM_EARLY_CANCELLATIONS = 10_000;

    private final Map<String, Attempt> mAttempts = new LinkedHashMap<>();
    private final Set<String> mCancelledEarly = new LinkedHashSet<>();

    void add(Attempt attempt) {
        mAttempts.put(attempt.ids().attemptId(), attempt);
        Iterator<Attempt> oldest = mAttempts.values().iterator();
        while (mAttempts.size() > MAXIMUM_ATTEMPTS && oldest.hasNext()) {
            if (!oldest.next().state().isActive()) {
                oldest.remove();
            }
        }
    }

    Optional<Attempt> find(String attemptId) {
        return Optional.ofNullable(mAttempts.get(attemptId));
    }

    void cancelEarly(String attemptId) {
        mCancelledEarly.add(attemptId);
        if (mCancelledEarly.size() > MAXIMUM_EARLY_CANCELLATIONS) {
            mCancelledEarly.remove(mCancelledEarly.iterator().next());
        }
    }

    boolean wasCancelledEarly(String attemptId) {
        return mCancelledEarly.contains(attemptId);
    }

    /** Returns an active attempt other than the given one. */
    Optional<Attempt> otherThan(Attempt attempt) {
        return mAttempts.values().stream()
                .filter(other -> other != attempt && other.state().isActive())
                .findFirst();
    }

    List<EngineExecution> executions() {
        return mAttempts.values().stream().map(EngineExecution::of).toList();
    }
}
