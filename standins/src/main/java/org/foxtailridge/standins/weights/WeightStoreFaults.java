package org.foxtailridge.standins.weights;

/**
 * Fault switches of the weight store stand-in; the default of each is off.
 *
 * @param outage answers every load with 503
 * @param loseAnswers number of loads from now on whose connection is closed at their end
 * @param refuseMs closes all connections and refuses new ones for this many milliseconds
 * @param holdMs leaves every request without an answer for this many milliseconds
 */
public record WeightStoreFaults(boolean outage, int loseAnswers, long refuseMs, long holdMs) {}
