package org.foxtailridge.core.error;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletionException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against an error kind without an answer, a refusal for rate without {@code Retry-After},
 * and a failure that loses its kind in the exceptions of futures.
 */
class ErrorTableTest {
    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void should_give_an_error_status_for_every_kind(ErrorKind kind) {
        // WHEN
        ErrorAnswer answer = ErrorTable.answerTo(kind);
        // THEN
        assertThat(answer).isNotNull();
        assertThat(answer.status()).isBetween(400, 599);
    }

    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void should_send_retry_after_with_each_429_and_only_if_nothing_was_executed(ErrorKind kind) {
        // WHEN
        ErrorAnswer answer = ErrorTable.answerTo(kind);
        // THEN
        if (answer.status() == 429) {
            assertThat(answer.retryAfterSeconds()).isPresent();
        }
        if (answer.retryAfterSeconds().isPresent()) {
            assertThat(answer.executionStarted()).isEqualTo(ExecutionStarted.NO);
        }
    }

    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void should_keep_its_kind_in_the_exceptions_of_futures(ErrorKind kind) {
        // GIVEN
        FoxtailridgeException failure = new FoxtailridgeException(kind, "reason");
        // WHEN
        FoxtailridgeException unwrapped =
                FoxtailridgeException.from(new CompletionException(failure));
        // THEN
        assertThat(unwrapped).isSameAs(failure);
        assertThat(unwrapped.answer()).isEqualTo(ErrorTable.answerTo(kind));
    }
}
