package org.foxtailridge.execution.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.protocol.crashes.CrashesMessage;
import org.foxtailridge.protocol.crashes.PromptCrash;
import org.junit.jupiter.api.Test;

/**
 * Guards against messages that exceed a datagram, and against reports that come so late that other
 * nodes take them for further crashes, when many connections break at once.
 */
class PromptCrashMessagesTest {
    private static final int DATAGRAM_BYTES = 1_400;

    /** Time after which a report of an endpoint counts as another crash, in milliseconds. */
    private static final long SAME_CRASH_MILLISECONDS = 1_500;

    private static final long TICK_MILLISECONDS = 100;

    private final ManualClock mClock = ManualClock.atEpoch();
    private final List<CrashesMessage> mTold = new ArrayList<>();
    private final PromptCrashLedger mLedger =
            new PromptCrashLedger(mClock, mTold::add, part -> false);

    @Test
    void should_tell_of_many_broken_requests_in_a_few_small_messages() {
        // GIVEN parts that were answered, so that answers are told, too
        for (int request = 0; request < 1_000; request++) {
            mLedger.answered(partsOf(request));
        }

        // WHEN
        breakRequests();
        long lastTold = 0;
        for (long passed = 0; passed < 20_000; passed += TICK_MILLISECONDS) {
            int before = mTold.size();
            tick();
            lastTold = mTold.size() > before ? passed : lastTold;
        }

        // THEN
        assertThat(mTold).allMatch(message -> message.getSerializedSize() <= DATAGRAM_BYTES);
        assertThat(lastTold).isLessThan(SAME_CRASH_MILLISECONDS);
    }

    @Test
    void should_report_the_requests_of_one_endpoint_together() {
        // WHEN ten requests wait at an endpoint that crashes
        for (int request = 0; request < 10; request++) {
            mLedger.broken(EndpointName.of("e"), List.of("kind", "document-" + request));
        }
        mClock.advance(Duration.ofMillis(CrashLedger.DOUBT_MILLISECONDS));
        tick();

        // THEN the part that they share is told once
        List<PromptCrash> crashes = mTold.get(0).getPromptCrashesList();
        assertThat(crashes).hasSize(1);
        assertThat(crashes.get(0).getPartsList()).hasSize(11).doesNotHaveDuplicates();
    }

    private void breakRequests() {
        for (int request = 0; request < 1_000; request++) {
            EndpointName endpoint = EndpointName.of("endpoint-" + request % 50);
            mLedger.broken(endpoint, partsOf(request));
        }
    }

    private static List<String> partsOf(int request) {
        return List.of("kind-" + request % 5, "document-" + request);
    }

    private void tick() {
        mClock.advance(Duration.ofMillis(TICK_MILLISECONDS));
        mLedger.tick();
    }
}
