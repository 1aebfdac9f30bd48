package org.foxtailridge.forwarding.front;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.forwarding.configuration.RequestKind;
import org.foxtailridge.forwarding.request.ResolvedRequest;
import org.foxtailridge.forwarding.request.TestRequests;
import org.junit.jupiter.api.Test;

/**
 * Guards against measuring a falling demand for an overloaded model because its requests are
 * refused before they run.
 */
class ForwardedDemandTest {
    private static final String MODEL = RequestTargets.modelName("service", "m");

    private final ManualClock mClock = ManualClock.atEpoch();
    private final ForwardedDemand mDemand = new ForwardedDemand(mClock);

    @Test
    void should_count_requests_under_way() {
        // WHEN
        mDemand.recordArrival(request());
        mDemand.recordArrival(request());
        mDemand.recordEnd(request());
        // THEN
        assertThat(collect().underWay()).isEqualTo(1);
    }

    @Test
    void should_keep_counting_requests_refused_for_lack_of_capacity() {
        // GIVEN
        for (int index = 0; index < 10; index++) {
            mDemand.recordArrival(request());
            mDemand.recordUnserved(request());
            mDemand.recordEnd(request());
        }
        // THEN
        assertThat(collect().underWay()).isEqualTo(10);
    }

    @Test
    void should_decay_the_count_of_refused_requests_over_their_expected_run_time() {
        // GIVEN
        mDemand.recordArrival(request());
        mDemand.recordUnserved(request());
        mDemand.recordEnd(request());
        // WHEN
        mClock.advance(Duration.ofSeconds(2));
        collect();
        // THEN
        assertThat(collect().underWay()).isCloseTo(Math.exp(-1), within(0.01));
        mClock.advance(Duration.ofSeconds(10));
        collect();
        assertThat(mDemand.collect()).isEmpty();
    }

    private ForwardedDemand.Demand collect() {
        return mDemand.collect().get(MODEL);
    }

    private static ResolvedRequest request() {
        return TestRequests.of(RequestKind.STREAM).model("m").build();
    }
}
