package org.foxtailridge.node.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.envelope.Hello;
import org.foxtailridge.protocol.envelope.Subject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Exchanges messages only between nodes that know the cluster secret. */
class PeerNetworkTest {
    private static final String SECRET = "a secret of all nodes";
    private static final NodeName RECEIVER = NodeName.of("receiver");
    private static final Hello PAYLOAD = Hello.newBuilder().setNode("payload").build();

    private final List<ByteString> mReceived = new CopyOnWriteArrayList<>();
    private PeerNetwork mReceiver;
    private PeerNetwork mSender;

    @BeforeEach
    void startReceiver() {
        mReceiver = listen(RECEIVER.value(), SECRET, (from, subject, body) -> mReceived.add(body));
    }

    @AfterEach
    void close() {
        mSender.close();
        mReceiver.close();
    }

    @Test
    void should_deliver_a_message_to_a_node_with_the_same_secret() {
        // GIVEN
        connectWith(SECRET);
        // WHEN
        sendUntilHandedOver();
        // THEN
        await().until(() -> !mReceived.isEmpty());
        assertThat(mReceived.get(0)).isEqualTo(PAYLOAD.toByteString());
    }

    @Test
    void should_not_hand_over_to_a_node_with_another_secret() {
        // GIVEN
        connectWith("quite another secret");
        // WHEN
        mSender.send(RECEIVER, Subject.LIMITS, PAYLOAD);
        // THEN
        await().during(Duration.ofMillis(300))
                .until(() -> !mSender.send(RECEIVER, Subject.LIMITS, PAYLOAD));
        assertThat(mReceived).isEmpty();
    }

    @Test
    void should_drop_messages_of_a_node_that_is_cut() {
        // GIVEN
        connectWith(SECRET);
        sendUntilHandedOver();
        await().until(() -> !mReceived.isEmpty());
        int before = mReceived.size();
        // WHEN
        mSender.cut(RECEIVER::equals);
        // THEN
        assertThat(mSender.send(RECEIVER, Subject.LIMITS, PAYLOAD)).isFalse();
        assertThat(mReceived).hasSize(before);
    }

    private void connectWith(String secret) {
        mSender = listen("sender", secret, (from, subject, body) -> {});
        mSender.updateAddresses(
                Map.of(RECEIVER, new InetSocketAddress("127.0.0.1", mReceiver.port())));
    }

    private void sendUntilHandedOver() {
        await().until(() -> mSender.send(RECEIVER, Subject.LIMITS, PAYLOAD));
    }

    private static PeerNetwork listen(String name, String secret, PeerListener listener) {
        PeerIdentity identity =
                new PeerIdentity(NodeName.of(name), DataCentreName.of("lautoka-a"), 1);
        return PeerNetwork.listen(
                identity, secret, new InetSocketAddress("127.0.0.1", 0), listener);
    }
}
