package org.foxtailridge.bench.claim;

import org.HdrHistogram.Histogram;

/**
 * Figures of one run.
 *
 * @param appendsPerSecond appends over all nodes in a second
 * @param recordsPerAppend records in one append, on average
 * @param kilobytesPerSecond payload over all nodes in a second, in 1,000 bytes
 * @param waits milliseconds from the arrival of a call to its dispatch
 * @param refused calls that were refused
 */
record ClaimRun(
        double appendsPerSecond,
        double recordsPerAppend,
        double kilobytesPerSecond,
        Histogram waits,
        long refused) {}
