package org.foxtailridge.node.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.foxtailridge.configuration.model.Plan;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.node.duty.ConfigurationView;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Bounds the requests of each client account that run on one VM at a time. */
class RunningRequestsTest {
    private static final Plan PLAN = new Plan("two", 1, 1, List.of(), List.of(), List.of(), 60, 2);
    private static final Caller CALLER = new Caller("key", "auctions", PLAN);
    private static final Caller OTHER = new Caller("other-key", "studio", PLAN);

    private final RunningRequests mRunning =
            new RunningRequests(new ConfigurationView(ManualClock.atEpoch()));
    private final RunningRequest mFirst = new Request();

    @BeforeEach
    void fill() {
        mRunning.add(mFirst);
        mRunning.add(new Request());
    }

    @Test
    void should_refuse_one_more_than_the_plan_allows() {
        assertThatThrownBy(() -> mRunning.requireRoom(CALLER))
                .isInstanceOfSatisfying(
                        FoxtailridgeException.class,
                        refused ->
                                assertThat(refused.kind())
                                        .isEqualTo(ErrorKind.TOO_MANY_CONNECTIONS));
    }

    @Test
    void should_let_other_accounts_in() {
        assertThatCode(() -> mRunning.requireRoom(OTHER)).doesNotThrowAnyException();
    }

    @Test
    void should_let_the_next_in_when_one_has_ended_however_often_it_is_removed() {
        // WHEN
        mRunning.remove(mFirst);
        mRunning.remove(mFirst);
        // THEN
        assertThatCode(() -> mRunning.requireRoom(CALLER)).doesNotThrowAnyException();
        mRunning.add(new Request());
        assertThatThrownBy(() -> mRunning.requireRoom(CALLER)).isInstanceOf(RefusedException.class);
    }

    private static final class Request implements RunningRequest {
        @Override
        public String key() {
            return CALLER.key();
        }

        @Override
        public String clientAccount() {
            return CALLER.clientAccount();
        }

        @Override
        public void keyWithdrawn() {}
    }
}
