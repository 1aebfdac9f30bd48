package org.foxtailridge.node.caller;

import java.time.Duration;
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
    private volatile CompletableFuture<Void> mDrained;

    /** Creates an empty set that follows the configuration. */
    @Inject
    public RunningRequests(ConfigurationView configuration) {
        configuration.listen((former, current) -> endWithdrawn(current));
    }

    /** Adds a request. */
    void add(RunningRequest request) {
        mRunning.add(request);
    }

    /** Removes a request that has ended. */
    void remove(RunningRequest request) {
        mRunning.remove(request);
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
