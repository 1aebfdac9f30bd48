package org.foxtailridge.limits.baseline;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.limits.Admission;
import org.foxtailridge.limits.TokenLimit;
import org.foxtailridge.limits.TokenLimiter;
import org.junit.jupiter.api.Test;

/** Guards against baselines that admit more than their part of a limit. */
class BaselineLimitersTest {
    private static final ClientAccountName ACCOUNT = ClientAccountName.of("account");

    private final ManualClock mClock = ManualClock.atEpoch();
    private final List<Admission> mDecisions = new ArrayList<>();

    @Test
    void should_share_one_bucket_among_all_nodes() {
        // GIVEN
        SharedBuckets buckets = new SharedBuckets();
        TokenLimiter first = new SingleBucketLimiter(mClock, buckets, 10);
        TokenLimiter second = new SingleBucketLimiter(mClock, buckets, 10);
        first.limitChanged(ACCOUNT, TokenLimit.of(100, 1_000));
        second.limitChanged(ACCOUNT, TokenLimit.of(100, 1_000));
        // WHEN
        first.reserve(ACCOUNT, 600, mDecisions::add);
        second.reserve(ACCOUNT, 600, mDecisions::add);
        // THEN
        assertThat(mDecisions.get(0)).isInstanceOf(Admission.Granted.class);
        assertThat(mDecisions.get(1)).isInstanceOf(Admission.Refused.class);
    }

    @Test
    void should_start_empty_and_admit_no_more_than_an_equal_part() {
        // GIVEN
        TokenLimiter limiter = new EqualSplitLimiter(mClock, 10, 10);
        limiter.limitChanged(ACCOUNT, TokenLimit.of(100, 1_000));
        // WHEN
        limiter.reserve(ACCOUNT, 100, mDecisions::add);
        mClock.advance(Duration.ofSeconds(10));
        limiter.reserve(ACCOUNT, 100, mDecisions::add);
        limiter.reserve(ACCOUNT, 101, mDecisions::add);
        // THEN
        assertThat(mDecisions.get(0)).isInstanceOf(Admission.Refused.class);
        assertThat(mDecisions.get(1)).isInstanceOf(Admission.Granted.class);
        assertThat(mDecisions.get(2)).isEqualTo(new Admission.LargerThanBurst(100));
    }
}
