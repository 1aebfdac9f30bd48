package org.foxtailridge.forwarding.stream;

import java.util.List;

/** Listener for what a follower reads; called on the follower's thread. */
public interface StreamListener {
    /**
     * Records were read that change the state.
     *
     * @param records newest record of each key that changed
     * @param source log or another node
     */
    void changed(List<KeyedRecord> records, StreamSource source);

    /**
     * The log returned records that follow the known ones; called before {@link #changed}.
     *
     * @param fromOffset offset of the first record
     * @param batch records that follow, those of the same key included
     */
    default void appended(long fromOffset, KeyedBatch batch) {}

    /** The log answered: all records written before {@code asOfMilliseconds} are known. */
    void confirmed(long asOfMilliseconds);

    /** A read failed or timed out; the follower reads again after the backoff. */
    void failed(Throwable failure);
}
