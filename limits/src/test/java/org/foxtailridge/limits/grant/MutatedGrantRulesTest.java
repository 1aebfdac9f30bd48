package org.foxtailridge.limits.grant;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.foxtailridge.limits.HomeLease;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Mutation test of {@link LimitWindowTest}: guards against a simulation that can't detect a broken
 * rule. {@link HomeBucketTest} covers the other rules.
 */
class MutatedGrantRulesTest {
    private static final int STEPS = 400;
    private static final int MAXIMUM_SEEDS = 3_000;

    @ParameterizedTest
    @EnumSource(Mutation.class)
    void should_exceed_the_limit_when_a_rule_is_broken(Mutation mutation) {
        // WHEN
        boolean isDetected =
                LongStream.range(0, MAXIMUM_SEEDS).anyMatch(seed -> exceeds(seed, mutation.mRules));
        // THEN
        assertThat(isDetected).as("%s is detected", mutation).isTrue();
    }

    private static boolean exceeds(long seed, GrantRules rules) {
        LimitsFleet fleet = new LimitsFleet(seed, rules);
        fleet.run(STEPS);
        return fleet.excessTokens() > 0;
    }

    private enum Mutation {
        GRANT_EXPIRY_IGNORED(
                new GrantRules() {
                    @Override
                    boolean isGrantValid(long nowMilliseconds, long expiryMilliseconds) {
                        return true;
                    }
                }),
        LEASE_EXPIRY_IGNORED(
                new GrantRules() {
                    @Override
                    boolean isLeaseValid(long nowMilliseconds, long expiryMilliseconds) {
                        return true;
                    }
                }),
        GRANT_SENT_BEFORE_DEDUCTION(
                new GrantRules() {
                    @Override
                    boolean deductsBeforeSending() {
                        return false;
                    }
                }),
        NEW_HOME_STARTS_FULL(
                new GrantRules() {
                    @Override
                    boolean startsFull(HomeLease lease) {
                        return true;
                    }
                });

        private final GrantRules mRules;

        Mutation(GrantRules rules) {
            mRules = rules;
        }
    }
}
