package org.foxtailridge.standins.engine;

import java.util.concurrent.CompletableFuture;
import org.foxtailridge.standins.weights.LoadRequest;

/** Brings weights into an engine. */
interface WeightLoader extends AutoCloseable {
    /** What became of one try. */
    enum Outcome {
        /** The weights have arrived. */
        LOADED,
        /** The try failed; another may succeed. */
        RETRY
    }

    /** Tries to load; never completes exceptionally. */
    CompletableFuture<Outcome> load(LoadRequest request);

    @Override
    void close();

    /** Returns a loader whose loads take no time. */
    static WeightLoader immediate() {
        return new WeightLoader() {
            @Override
            public CompletableFuture<Outcome> load(LoadRequest request) {
                return CompletableFuture.completedFuture(Outcome.LOADED);
            }

            @Override
            public void close() {}
        };
    }
}
