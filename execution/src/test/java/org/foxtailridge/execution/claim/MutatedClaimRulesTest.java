package org.foxtailridge.execution.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks that the observer of all calls sees each broken rule. */
class MutatedClaimRulesTest {
    private static final int STEPS = 120;
    private static final int MOST_FLEETS = 1_000;

    @ParameterizedTest
    @EnumSource(Mutation.class)
    void should_break_a_promise_when_a_rule_is_broken(Mutation mutation) {
        // WHEN
        boolean caught =
                LongStream.range(0, MOST_FLEETS).anyMatch(seed -> fails(seed, mutation.mRules));
        // THEN
        assertThat(caught).as("%s is caught", mutation).isTrue();
    }

    private static boolean fails(long seed, ClaimRules rules) {
        ClaimFleet fleet = new ClaimFleet(seed, rules);
        fleet.run(STEPS);
        return !fleet.naive().failures().isEmpty();
    }

    private enum Mutation {
        CLAIM_AFTER_DISPATCH(
                new ClaimRules() {
                    @Override
                    boolean claimsBeforeDispatch() {
                        return false;
                    }
                }),
        LAST_CLAIM_WINS(
                new ClaimRules() {
                    @Override
                    boolean wins(KeyEntry standing) {
                        return true;
                    }
                }),
        DISPATCH_AFTER_REFUSAL(
                new ClaimRules() {
                    @Override
                    boolean mayDispatch(
                            boolean callWaits, long nowMilliseconds, long validUntilMilliseconds) {
                        return true;
                    }
                }),
        BLIND_APPEND_AGAIN(
                new ClaimRules() {
                    @Override
                    boolean appendsLostClaimsAgain() {
                        return true;
                    }
                });

        private final ClaimRules mRules;

        Mutation(ClaimRules rules) {
            mRules = rules;
        }
    }
}
