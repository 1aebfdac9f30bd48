package org.foxtailridge.standins.platform;

/** What became of an append. */
sealed interface AppendOutcome {
    /**
     * The records are there.
     *
     * @param offset offset of the first record
     * @param end offset behind the last one
     */
    record Appended(long offset, long end) implements AppendOutcome {}

    /**
     * The partition does not end where the caller expected it to.
     *
     * @param end where it ends
     */
    record OtherEnd(long end) implements AppendOutcome {}

    /** A producer of a higher epoch has been seen. */
    record Fenced() implements AppendOutcome {}

    /**
     * The sequence number does not follow the last one.
     *
     * @param expected the number that would
     */
    record OutOfSequence(long expected) implements AppendOutcome {}
}
