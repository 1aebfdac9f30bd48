package org.foxtailridge.bench;

/**
 * Drives one concern's policies with the same seeded demand.
 *
 * <p>The same seed gives the same table, byte for byte; nothing in a run depends on real time.
 */
public interface Comparison {
    /** Returns the name by which the comparison is chosen on the command line. */
    String name();

    /**
     * Runs every policy over the demand of the seed.
     *
     * @param seed seed of all random numbers of the run
     */
    ComparisonTable run(long seed);
}
