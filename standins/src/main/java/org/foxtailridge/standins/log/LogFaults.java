package org.foxtailridge.standins.log;

/**
 * Fault switches of the log stand-in; the default of each is off.
 *
 * @param outage answers every append and read with 503
 * @param slowMs delays every answer by this many milliseconds; an append takes effect before
 * @param loseAnswers number of appends from now on that take effect while the connection is closed
 *     without an answer
 * @param refuseMs closes all connections and refuses new ones for this many milliseconds
 * @param holdMs leaves every request without an answer for this many milliseconds
 */
public record LogFaults(boolean outage, long slowMs, int loseAnswers, long refuseMs, long holdMs) {
    /** Returns the switches with all faults off. */
    public static LogFaults none() {
        return new LogFaults(false, 0, 0, 0, 0);
    }

    /** Returns the switches with an outage. */
    public static LogFaults outageOnly() {
        return new LogFaults(true, 0, 0, 0, 0);
    }

    /** Returns the switches that lose the answers of the next appends. */
    public static LogFaults losingAnswers(int appends) {
        return new LogFaults(false, 0, appends, 0, 0);
    }
}
