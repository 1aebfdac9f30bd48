package org.foxtailridge.endtoend;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.endtoend.harness.CallerAnswer;
import org.foxtailridge.endtoend.harness.CompletionBody;
import org.foxtailridge.endtoend.harness.Fleet;
import org.foxtailridge.endtoend.harness.LiveStream;
import org.foxtailridge.endtoend.harness.NodeProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A planned stop of each node in turn cuts no request. */
class GracefulStopTest {
    private static final int STREAMS = 8;
    private static final int TOKENS = 100;
    private Fleet mFleet;

    @BeforeEach
    void start() {
        mFleet =
                Fleet.builder()
                        .nodes(3)
                        .engines(2)
                        .engineSettings(engine -> engine.betweenTokens(Duration.ofMillis(20)))
                        .start();
    }

    @AfterEach
    void stop() throws Exception {
        mFleet.close();
    }

    @Test
    void should_finish_running_streams_and_refuse_new_ones_as_not_run() {
        for (int index = 0; index < 3; index++) {
            // GIVEN
            NodeProcess node = mFleet.node(index);
            List<LiveStream> streams = openStreams(node, index);
            // WHEN
            node.terminate();
            // THEN
            for (LiveStream stream : streams) {
                assertThat(stream.rest().events()).last().isEqualTo("[DONE]");
            }
            node.waitForExit();
            CallerAnswer other =
                    mFleet.client()
                            .complete(
                                    mFleet.node((index + 1) % 3),
                                    Fleet.LARGE_KEY,
                                    CompletionBody.whole("elsewhere " + index, 3))
                            .join();
            assertThat(other.status()).isEqualTo(200);
            mFleet.replace(index);
        }
    }

    private List<LiveStream> openStreams(NodeProcess node, int index) {
        List<LiveStream> streams = new ArrayList<>();
        for (int stream = 0; stream < STREAMS; stream++) {
            String prompt = "stream " + stream + " through node " + index;
            streams.add(
                    mFleet.client()
                            .open(node, Fleet.LARGE_KEY, CompletionBody.streamed(prompt, TOKENS))
                            .join());
        }
        return streams;
    }
}
