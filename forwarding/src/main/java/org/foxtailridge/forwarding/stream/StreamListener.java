package org.foxtailridge.forwarding.stream;

import java.util.List;

/** Is told of what a follower reads. */
public interface StreamListener {
    /**
     * Records were read.
     *
     * @param records newest record of each key that changed
     * @param source where they came from
     */
    void changed(List<KeyedRecord> records, StreamSource source);

    /** The log answered; everything written before {@code asOfMilliseconds} is known. */
    void confirmed(long asOfMilliseconds);

    /** A read failed or got no answer in time. */
    void failed(Throwable failure);
}
