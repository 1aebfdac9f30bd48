package org.foxtailridge.core.error;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletionException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks that every error kind has one answer that keeps the contract. */
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
    void should_send_retry_after_with_each_429_and_only_when_nothing_ran(ErrorKind kind) {
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
    void should_carry_its_kind_through_the_wrappers_of_futures(ErrorKind kind) {
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
