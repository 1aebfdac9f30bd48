package org.foxtailridge.forwarding.front;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.forwarding.configuration.RequestKind;
import org.foxtailridge.forwarding.request.ResolvedRequest;
import org.foxtailridge.forwarding.request.TestRequests;
import org.junit.jupiter.api.Test;

/** The pattern: more requests come for a model than its copies can serve, and are refused. */
class ForwardedDemandTest {
    private static final String MODEL = RequestTargets.modelName("service", "m");

    private final ManualClock mClock = ManualClock.atEpoch();
    private final ForwardedDemand mDemand = new ForwardedDemand(mClock);

    @Test
    void should_count_requests_that_are_under_way() {
        // WHEN
        mDemand.arrived(terms());
        mDemand.arrived(terms());
        mDemand.ended(terms());
        // THEN
        assertThat(take().underWay()).isEqualTo(1);
    }

    @Test
    void should_count_requests_on_that_were_refused_for_want_of_room() {
        // GIVEN
        for (int request = 0; request < 10; request++) {
            mDemand.arrived(terms());
            mDemand.unserved(terms());
            mDemand.ended(terms());
        }
        // THEN
        assertThat(take().underWay()).isEqualTo(10);
    }

    @Test
    void should_forget_refused_requests_after_the_time_that_they_would_have_run() {
        // GIVEN
        mDemand.arrived(terms());
        mDemand.unserved(terms());
        mDemand.ended(terms());
        // WHEN
        mClock.advance(Duration.ofSeconds(2));
        take();
        // THEN
        assertThat(take().underWay()).isCloseTo(Math.exp(-1), within(0.01));
        mClock.advance(Duration.ofSeconds(10));
        take();
        assertThat(mDemand.collect()).isEmpty();
    }

    private ForwardedDemand.Demand take() {
        return mDemand.collect().get(MODEL);
    }

    private static ResolvedRequest terms() {
        return TestRequests.of(RequestKind.STREAM).model("m").build();
    }
}
