package org.foxtailridge.cli.quickstart;

import java.util.List;

/**
 * The line that a quickstart prints once it takes requests.
 *
 * @param event always {@code ready}
 * @param callers base addresses for callers, one for each node
 * @param operators base addresses for operators, one for each node
 * @param log base address of the log service
 * @param vmList base address of the VM list
 * @param key key of the client account with the highest rate
 * @param accounts all client accounts with a key each
 */
record ReadySystem(
        String event,
        List<String> callers,
        List<String> operators,
        String log,
        String vmList,
        String key,
        List<AccountKey> accounts) {
    /**
     * A client account and its key.
     *
     * @param clientAccount name of the client account
     * @param key its key
     */
    record AccountKey(String clientAccount, String key) {}
}
