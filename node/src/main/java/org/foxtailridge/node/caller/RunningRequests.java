package org.foxtailridge.node.caller;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.foxtailridge.configuration.model.CallerKey;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.node.duty.ConfigurationView;

/** The requests that run on this node; ends those whose key is withdrawn. */
@Singleton
public final class RunningRequests {
    private final Set<RunningRequest> mRunning = ConcurrentHashMap.newKeySet();
    private final Map<String, Integer> mCounts = new ConcurrentHashMap<>();
    private volatile CompletableFuture<Void> mDrained;

    /** Creates an empty set that follows the configuration. */
    @Inject
    public RunningRequests(ConfigurationView configuration) {
        configuration.listen((former, current) -> endWithdrawn(current));
    }

    /**
     * Refuses a request of a caller whose plan allows no more at a time on this VM.
     *
     * @throws RefusedException with kind {@code TOO_MANY_CONNECTIONS}
     */
    void requireRoom(Caller caller) {
        int running = mCounts.getOrDefault(caller.clientAccount(), 0);
        if (running >= caller.plan().maximumConnections()) {
            throw RefusedException.tooManyConnections(
                    caller.plan().maximumConnections(), running + 1);
        }
    }

    /** Adds a request. */
    void add(RunningRequest request) {
        mRunning.add(request);
        mCounts.merge(request.clientAccount(), 1, Integer::sum);
    }

    /** Removes a request that has ended. */
    void remove(RunningRequest request) {
        if (mRunning.remove(request)) {
            mCounts.computeIfPresent(
                    request.clientAccount(), (account, count) -> count == 1 ? null : count - 1);
        }
        completeDrained();
    }

    /** Returns the number of running requests. */
    public int count() {
        return mRunning.size();
    }

    /** Completes when no request runs any more, or exceptionally after the timeout. */
    public CompletableFuture<Void> drained(Duration timeout) {
        mDrained = new CompletableFuture<>();
        completeDrained();
        return mDrained.orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void completeDrained() {
        CompletableFuture<Void> drained = mDrained;
        if (drained != null && mRunning.isEmpty()) {
            drained.complete(null);
        }
    }

    private void endWithdrawn(Configuration current) {
        for (RunningRequest request : mRunning) {
            if (!request.key().isEmpty() && !isListed(current, request)) {
                request.keyWithdrawn();
            }
        }
    }

    private static boolean isListed(Configuration current, RunningRequest request) {
        return current.find(CallerKey.class, request.key())
                .map(CallerKey::clientAccount)
                .filter(request.clientAccount()::equals)
                .isPresent();
    }
}
