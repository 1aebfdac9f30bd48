package org.foxtailridge.execution.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.execution.quarantine.Fingerprint;
import org.foxtailridge.protocol.crashes.CrashesMessage;
import org.junit.jupiter.api.Test;

class CrashLedgerTest {
    private static final Fingerprint POISON = fingerprint(17);
    private static final Fingerprint OTHER = fingerprint(18);

    private final ManualClock mClock = ManualClock.atEpoch();
    private final List<CrashesMessage> mTold = new ArrayList<>();
    private final CrashLedger mHere = new CrashLedger(mClock, mTold::add);
    private final CrashLedger mThere = new CrashLedger(mClock, message -> {});

    @Test
    void should_hold_a_request_back_after_its_third_crash() {
        // GIVEN two crashes
        crash(POISON, "a");
        crash(POISON, "b");
        assertThat(mHere.heldBackMilliseconds(POISON)).isZero();

        // WHEN
        crash(POISON, "c");

        // THEN
        assertThat(mHere.heldBackMilliseconds(POISON))
                .isPositive()
                .isLessThanOrEqualTo(SuspectRequests.HOLD_MILLISECONDS);
        assertThat(mHere.heldBackMilliseconds(OTHER)).isZero();
    }

    @Test
    void should_stop_a_request_on_nodes_that_never_saw_it() {
        // GIVEN
        crash(POISON, "a");
        crash(POISON, "b");
        crash(POISON, "c");

        // WHEN the node is told, some of it twice
        mTold.forEach(mThere::received);
        mTold.forEach(mThere::received);

        // THEN
        assertThat(mThere.heldBackMilliseconds(POISON)).isPositive();
    }

    @Test
    void should_add_up_crashes_that_different_nodes_saw() {
        // GIVEN two crashes here
        crash(POISON, "a");
        crash(POISON, "b");
        mTold.forEach(mThere::received);

        // WHEN the third one is there
        mThere.broken(POISON, EndpointName.of("c"));
        passDoubt(mThere);

        // THEN
        assertThat(mThere.heldBackMilliseconds(POISON)).isPositive();
    }

    @Test
    void should_count_a_message_that_comes_twice_once() {
        // GIVEN two crashes
        crash(POISON, "a");
        crash(POISON, "b");

        // WHEN
        for (int time = 0; time < 5; time++) {
            mTold.forEach(mThere::received);
        }

        // THEN
        assertThat(mThere.heldBackMilliseconds(POISON)).isZero();
    }

    @Test
    void should_not_count_a_break_of_an_endpoint_that_lives() {
        for (String endpoint : List.of("a", "b", "c", "d")) {
            // GIVEN a connection that broke
            mHere.broken(POISON, EndpointName.of(endpoint));

            // WHEN the endpoint answers another request
            mHere.answered(OTHER, EndpointName.of(endpoint));
            passDoubt(mHere);
        }

        // THEN
        assertThat(mHere.heldBackMilliseconds(POISON)).isZero();
    }

    @Test
    void should_clear_a_request_that_is_answered_in_whole_on_all_nodes() {
        // GIVEN
        crash(POISON, "a");
        crash(POISON, "b");
        crash(POISON, "c");
        mTold.forEach(mThere::received);
        mTold.clear();

        // WHEN an attempt that was under way is answered
        mHere.answered(POISON, EndpointName.of("d"));
        passDoubt(mHere);
        mTold.forEach(mThere::received);

        // THEN
        assertThat(mHere.heldBackMilliseconds(POISON)).isZero();
        assertThat(mThere.heldBackMilliseconds(POISON)).isZero();
    }

    @Test
    void should_let_few_runs_through_however_long_a_request_comes_again() {
        // GIVEN a request that crashes whatever runs it and comes every second for ten minutes
        int runs = 0;
        for (int second = 0; second < 600; second++) {
            // WHEN
            if (mHere.heldBackMilliseconds(POISON) == 0) {
                runs++;
                crash(POISON, "endpoint-" + second);
            }
            mClock.advance(Duration.ofSeconds(1));
        }

        // THEN three crashes and at most three tries more
        assertThat(runs).isBetween(3, 6);
    }

    @Test
    void should_forget_crashes_that_are_long_past() {
        // GIVEN
        crash(POISON, "a");
        crash(POISON, "b");

        // WHEN a day passes
        mClock.advance(Duration.ofDays(1));
        mHere.tick();
        crash(POISON, "c");

        // THEN
        assertThat(mHere.heldBackMilliseconds(POISON)).isZero();
    }

    @Test
    void should_tell_of_an_endpoint_with_many_requests_in_small_messages() {
        // GIVEN
        for (int request = 0; request < 100; request++) {
            mHere.broken(fingerprint(request), EndpointName.of("a"));
        }

        // WHEN
        passDoubt(mHere);
        for (int tick = 0; tick < 20; tick++) {
            mHere.tick();
        }

        // THEN
        assertThat(mTold).allMatch(message -> message.getSerializedSize() <= 1_400);
        assertThat(mTold.stream().flatMap(told -> told.getCrashesList().stream()).distinct())
                .hasSize(100);
    }

    private void crash(Fingerprint fingerprint, String endpoint) {
        mHere.broken(fingerprint, EndpointName.of(endpoint));
        passDoubt(mHere);
    }

    private static Fingerprint fingerprint(int request) {
        return Fingerprint.of("account", "/path", new byte[] {(byte) request});
    }

    private void passDoubt(CrashLedger ledger) {
        mClock.advance(Duration.ofMillis(CrashLedger.DOUBT_MILLISECONDS));
        ledger.tick();
    }
}
