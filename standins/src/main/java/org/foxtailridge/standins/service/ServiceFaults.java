package org.foxtailridge.standins.service;

/**
 * Fault switches of the service stand-in; the default of each is off. Counts apply to the next
 * calls from now on.
 *
 * @param notStarted calls answered 503 with {@code X-Not-Started: true}
 * @param cutBefore calls whose connection is closed before they are executed
 * @param loseAnswers calls that are executed while the connection is closed without an answer
 * @param halfAnswer calls that are executed while the connection is closed after half the answer
 * @param otherAnswer calls answered with the ids of another attempt
 * @param answerLateMs delays every answer by this many milliseconds; the call is executed before
 * @param crashMarker text in a body that makes the service crash: it closes all connections and
 *     refuses new ones for {@code crashDownMs}; null for none
 * @param crashDownMs milliseconds for which a crashed service is down
 * @param refuseMs closes all connections and refuses new ones for this many milliseconds
 * @param holdMs leaves every request without an answer for this many milliseconds
 */
public record ServiceFaults(
        int notStarted,
        int cutBefore,
        int loseAnswers,
        int halfAnswer,
        int otherAnswer,
        long answerLateMs,
        String crashMarker,
        long crashDownMs,
        long refuseMs,
        long holdMs) {
    /** Returns the switches with all faults off. */
    public static ServiceFaults none() {
        return new ServiceFaults(0, 0, 0, 0, 0, 0, null, 0, 0, 0);
    }
}
