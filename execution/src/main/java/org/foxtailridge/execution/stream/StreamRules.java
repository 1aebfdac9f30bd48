package org.foxtailridge.execution.stream;

import java.util.Optional;

/** The checks that each event of a stream passes; tests replace them one by one. */
class StreamRules {
    boolean isSameRequest(String expected, String found) {
        return expected.equals(found);
    }

    boolean isCurrentAttempt(String expected, String found) {
        return expected.equals(found);
    }

    boolean isDuplicate(int expectedIndex, int foundIndex) {
        return foundIndex < expectedIndex;
    }

    boolean isGap(int expectedIndex, int foundIndex) {
        return foundIndex > expectedIndex;
    }

    boolean isWhole(Optional<String> finishReason) {
        return finishReason.isPresent();
    }

    int firstIndexOf(int deliveredTokens) {
        return deliveredTokens;
    }
}
