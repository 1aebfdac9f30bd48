package org.foxtailridge.standins.platform;

import java.util.Optional;

/**
 * A request that a worker began to run.
 *
 * @param requestId identifier that it came with
 * @param method its method
 * @param target its path and query
 * @param body its body, as text
 * @param account client account that the system named; empty for none
 * @param leftMilliseconds time that the system handed down; empty for none
 * @param resumedAfter event behind which it goes on; empty from the start
 * @param credentialsSeen whether a key came with it
 */
public record WorkerExecution(
        String requestId,
        String method,
        String target,
        String body,
        Optional<String> account,
        Optional<Long> leftMilliseconds,
        Optional<Integer> resumedAfter,
        boolean credentialsSeen) {}
