package org.foxtailridge.standins.engine;

/**
 * The engine's own record of one attempt.
 *
 * @param requestId value of {@code X-Request-Id}
 * @param attemptId value of {@code X-Attempt-Id}
 * @param state {@code running}, {@code finished}, {@code cancelled} or {@code failed}
 * @param tokens tokens generated
 * @param authorizationSeen whether a header with credentials or a value shaped like a key came
 */
public record EngineExecution(
        String requestId, String attemptId, String state, long tokens, boolean authorizationSeen) {
    static EngineExecution of(Attempt attempt) {
        return new EngineExecution(
                attempt.ids().requestId(),
                attempt.ids().attemptId(),
                attempt.state().wireName(),
                attempt.produced(),
                attempt.ids().credentialsSeen());
    }
}
