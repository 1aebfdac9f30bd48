package org.foxtailridge.limits.bucket;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks refill, capacity and giving back of one bucket. */
class TokenBucketTest {
    @ParameterizedTest
    @CsvSource({"0, 0", "1, 0", "100, 10", "999, 99", "1000, 100", "5000, 300", "900000, 300"})
    void should_refill_at_its_rate_up_to_its_capacity(long elapsed, long expected) {
        // GIVEN
        TokenBucket bucket = new TokenBucket(100_000, 300, 0);
        // WHEN
        bucket.refill(elapsed);
        // THEN
        assertThat(bucket.level()).isEqualTo(expected);
    }

    @Test
    void should_count_outstanding_tokens_against_its_capacity() {
        // GIVEN
        TokenBucket bucket = new TokenBucket(100_000, 300, 0);
        bucket.setOutstanding(250);
        // WHEN
        bucket.refill(10_000);
        // THEN
        assertThat(bucket.level()).isEqualTo(50);
    }

    @Test
    void should_not_give_back_what_the_full_bucket_could_not_have_held() {
        // GIVEN a full bucket of which all is taken, and which is full again
        TokenBucket bucket = new TokenBucket(100_000, 300, 0);
        bucket.fill();
        bucket.tryTake(300);
        long first = bucket.stamp();
        bucket.refill(3_000);
        // WHEN all is taken at once, and the first tokens turn out to be unused
        bucket.tryTake(300);
        long given = bucket.refund(first, 300);
        // THEN the instant does not see more than the capacity
        assertThat(given).isZero();
        assertThat(bucket.level()).isZero();
    }

    @Test
    void should_give_back_what_was_never_full_in_between() {
        // GIVEN
        TokenBucket bucket = new TokenBucket(100_000, 300, 0);
        bucket.refill(3_000);
        bucket.tryTake(300);
        long stamp = bucket.stamp();
        bucket.refill(4_000);
        // WHEN
        long given = bucket.refund(stamp, 150);
        // THEN
        assertThat(given).isEqualTo(150);
        assertThat(bucket.level()).isEqualTo(250);
    }
}
