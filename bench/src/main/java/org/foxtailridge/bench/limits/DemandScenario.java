package org.foxtailridge.bench.limits;

import java.util.List;

/**
 * Demand and faults of one run.
 *
 * @param name name in the table
 * @param nodes number of nodes, over three data centres
 * @param accounts client accounts
 * @param callers which nodes the callers use
 * @param fault what fails
 */
record DemandScenario(
        String name, int nodes, List<LimitedAccount> accounts, Callers callers, Fault fault) {
    /** Time before figures are taken, in milliseconds. */
    static final long WARM_UP_MILLISECONDS = 70_000;

    /** End of a run, in milliseconds. */
    static final long END_MILLISECONDS = 310_000;

    /** Which nodes the callers of a client account use. */
    enum Callers {
        /** All nodes alike. */
        EVEN,
        /** One node for each client account. */
        ONE_NODE,
        /** One node for each client account, another one every ten seconds. */
        SHIFTING
    }

    /** What fails. */
    enum Fault {
        /** Nothing. */
        NONE,
        /** Every minute a process dies without notice and another takes its place. */
        CRASH_EVERY_MINUTE,
        /** Every minute a process stops in a planned way and another takes its place. */
        PLANNED_EVERY_MINUTE,
        /** One data centre is cut off from the platform and the others for a minute. */
        DATA_CENTRE_CUT
    }
}
