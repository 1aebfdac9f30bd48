package org.foxtailridge.cli.load;

import java.time.Duration;
import java.util.List;

/**
 * What load to offer.
 *
 * @param seed seed of arrivals and mixes
 * @param requestsPerSecond mean rate outside bursts
 * @param burstFactor factor on the rate inside bursts; 1 for none
 * @param burstPeriod time from the beginning of one burst to that of the next
 * @param burstLength length of a burst
 * @param duration time over which requests begin
 * @param callers base addresses of the nodes, taken in turn
 * @param accounts client accounts with their shares
 * @param models models as callers name them, each as likely as the others
 * @param workClasses classes of work with their shares
 * @param maximumTokens largest number of tokens of each answer
 * @param promptCharacters length of prompts
 * @param maximumInFlight requests that may run at once; those beyond are counted as not sent
 */
record LoadPlan(
        long seed,
        double requestsPerSecond,
        double burstFactor,
        Duration burstPeriod,
        Duration burstLength,
        Duration duration,
        List<String> callers,
        List<Weighted> accounts,
        List<String> models,
        List<Weighted> workClasses,
        int maximumTokens,
        int promptCharacters,
        int maximumInFlight) {}
