package org.foxtailridge.standins.platform;

/**
 * How the store treats what comes through one of its doors; the default of each is off.
 *
 * @param refusing answers every call with 503, having done nothing
 * @param silent never answers, having done nothing
 * @param slowMilliseconds time by which every answer is late
 * @param answersToLose writing calls from now on that take effect while the connection is closed
 *     without an answer
 * @param lateMilliseconds time after which a writing call takes effect that gets no answer; 0 for
 *     calls that are carried out at once
 */
public record StoreFaults(
        boolean refusing,
        boolean silent,
        long slowMilliseconds,
        int answersToLose,
        long lateMilliseconds) {
    /** Returns the switches with all faults off. */
    public static StoreFaults none() {
        return new StoreFaults(false, false, 0, 0, 0);
    }

    /** Returns the switches of a door that turns everyone away. */
    public static StoreFaults turningAway() {
        return new StoreFaults(true, false, 0, 0, 0);
    }

    /** Returns the switches of a door that never answers. */
    public static StoreFaults neverAnswering() {
        return new StoreFaults(false, true, 0, 0, 0);
    }

    /** Returns the switches that lose the answers of the next writing calls. */
    public static StoreFaults losingAnswers(int calls) {
        return new StoreFaults(false, false, 0, calls, 0);
    }

    /** Returns the switches that carry writing calls out late and without an answer. */
    public static StoreFaults late(long milliseconds) {
        return new StoreFaults(false, false, 0, 0, milliseconds);
    }
}
