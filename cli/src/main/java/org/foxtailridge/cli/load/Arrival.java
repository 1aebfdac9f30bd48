package org.foxtailridge.cli.load;

import java.time.Duration;

/**
 * One request of a load.
 *
 * @param number number from 0 on
 * @param at intended start, from the beginning of the load
 * @param account client account
 * @param workClass class of work
 * @param model model as callers name it
 * @param caller base address of the node
 * @param prompt the prompt
 */
record Arrival(
        int number,
        Duration at,
        Weighted account,
        Weighted workClass,
        String model,
        String caller,
        String prompt) {}
