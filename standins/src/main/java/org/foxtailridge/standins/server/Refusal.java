package org.foxtailridge.standins.server;

/**
 * Body of a refusal.
 *
 * @param error reason of the refusal
 * @param started whether the work had begun
 */
public record Refusal(Reason error, boolean started) {
    /** Returns a refusal of work that has not begun and won't. */
    public static Refusal notStarted(String reason) {
        return new Refusal(new Reason(reason), false);
    }

    /**
     * Reason of a refusal.
     *
     * @param reason one word in snake case
     */
    public record Reason(String reason) {}
}
