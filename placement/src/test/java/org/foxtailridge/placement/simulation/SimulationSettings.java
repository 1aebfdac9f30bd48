package org.foxtailridge.placement.simulation;

/**
 * How often what fails; shares between 0 and 1 of each message or of each step of 100 ms.
 *
 * @param lost share of messages lost
 * @param late share of transmissions that arrive only after a long time
 * @param doubled share of transmissions that arrive twice
 * @param pause share of steps in which a node is paused for longer than a lease
 * @param death share of steps in which a node is replaced by a fresh one
 * @param restart share of steps in which an engine restarts
 * @param logOutage share of steps in which the log goes away for a while
 * @param loadFailure share of loads that fail at the engine
 */
public record SimulationSettings(
        double lost,
        double late,
        double doubled,
        double pause,
        double death,
        double restart,
        double logOutage,
        double loadFailure) {
    /** Nothing fails. */
    public static final SimulationSettings CALM = new SimulationSettings(0, 0, 0, 0, 0, 0, 0, 0);

    /** Everything fails often, together and twice. */
    public static final SimulationSettings STORMY =
            new SimulationSettings(0.1, 0.1, 0.1, 0.01, 0.005, 0.01, 0.004, 0.05);
}
