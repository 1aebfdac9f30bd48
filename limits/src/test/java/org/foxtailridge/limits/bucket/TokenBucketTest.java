package org.foxtailridge.limits.bucket;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks refill, capacity and refunds. Guards against refunds that add up with a refill to more
 * than the burst.
 */
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
    void should_not_refund_tokens_that_a_full_bucket_could_not_have_held() {
        // GIVEN a full bucket whose tokens were all acquired and that is full again
        TokenBucket bucket = new TokenBucket(100_000, 300, 0);
        bucket.fill();
        bucket.tryAcquire(300);
        long firstStamp = bucket.stamp();
        bucket.refill(3_000);
        // WHEN all tokens are acquired again, and those acquired first are refunded
        bucket.tryAcquire(300);
        long refunded = bucket.refund(firstStamp, 300);
        // THEN no more than the capacity can be used at once
        assertThat(refunded).isZero();
        assertThat(bucket.level()).isZero();
    }

    @Test
    void should_refund_tokens_if_the_bucket_was_never_full_in_the_meantime() {
        // GIVEN
        TokenBucket bucket = new TokenBucket(100_000, 300, 0);
        bucket.refill(3_000);
        bucket.tryAcquire(300);
        long stamp = bucket.stamp();
        bucket.refill(4_000);
        // WHEN
        long refunded = bucket.refund(stamp, 150);
        // THEN
        assertThat(refunded).isEqualTo(150);
        assertThat(bucket.level()).isEqualTo(250);
    }
}
