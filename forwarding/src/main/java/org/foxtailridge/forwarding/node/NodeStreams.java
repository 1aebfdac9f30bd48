package org.foxtailridge.forwarding.node;

import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.log.LogEvent;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.forwarding.configuration.ConfigurationDecoder;
import org.foxtailridge.forwarding.configuration.ForwardingConfiguration;
import org.foxtailridge.forwarding.relay.RelayOutbox;
import org.foxtailridge.forwarding.relay.RelaySettings;
import org.foxtailridge.forwarding.relay.StreamRelay;
import org.foxtailridge.forwarding.stream.FollowerTimes;
import org.foxtailridge.forwarding.stream.KeyedLog;
import org.foxtailridge.forwarding.stream.KeyedRecord;
import org.foxtailridge.forwarding.stream.KeyedStream;
import org.foxtailridge.forwarding.stream.StreamFollower;
import org.foxtailridge.forwarding.stream.StreamListener;
import org.foxtailridge.forwarding.stream.StreamSource;
import org.foxtailridge.protocol.envelope.Subject;
import org.foxtailridge.protocol.relay.RelayMessage;

/** The streams that this node follows, and the configuration in force. */
final class NodeStreams implements RelayOutbox {
    private static final Logger LOGGER = LogManager.getLogger(NodeStreams.class);
    private static final FollowerTimes CONFIGURATION_TIMES =
            new FollowerTimes(Duration.ofSeconds(4), Duration.ZERO, Duration.ofMillis(250));
    private static final FollowerTimes ENDPOINTS_TIMES =
            new FollowerTimes(Duration.ZERO, Duration.ofMillis(500), Duration.ofMillis(250));
    private static final FollowerTimes NODES_TIMES =
            new FollowerTimes(Duration.ZERO, Duration.ofSeconds(2), Duration.ofSeconds(1));

    private final NodeMembership mMembers;
    private final DatagramNetwork mNetwork;
    private final ConfigurationDecoder mDecoder;
    private final NodeListener mListener;
    private final StreamFollower mConfigurations;
    private final StreamFollower mEndpoints;
    private final StreamFollower mNodes;
    private final StreamRelay mRelay;
    private Optional<ForwardingConfiguration> mInForce = Optional.empty();
    private boolean mLogAnswers = true;

    NodeStreams(
            Clock clock,
            RandomGenerator random,
            KeyedLog log,
            ConfigurationDecoder decoder,
            NodeMembership members,
            DatagramNetwork network,
            NodeListener listener) {
        mMembers = members;
        mNetwork = network;
        mDecoder = decoder;
        mListener = listener;
        mConfigurations =
                new StreamFollower(
                        KeyedStream.CONFIGURATION,
                        log,
                        CONFIGURATION_TIMES,
                        clock,
                        new Listening(this::onConfigurations));
        mEndpoints =
                new StreamFollower(
                        KeyedStream.ENDPOINTS,
                        log,
                        ENDPOINTS_TIMES,
                        clock,
                        new Listening((records, source) -> listener.endpointsRead(records)));
        mNodes =
                new StreamFollower(
                        KeyedStream.NODES,
                        log,
                        NODES_TIMES,
                        clock,
                        new Listening((records, source) -> mMembers.listed(records)));
        mRelay =
                new StreamRelay(
                        RelaySettings.defaults(),
                        clock,
                        random,
                        this,
                        List.of(mConfigurations, mEndpoints));
        network.receive(Subject.RELAY, RelayMessage.parser(), mRelay::receive);
    }

    void tick() {
        mConfigurations.tick();
        mEndpoints.tick();
        mNodes.tick();
        mRelay.tick();
    }

    Optional<ForwardingConfiguration> configuration() {
        return mInForce;
    }

    /** Returns the age of what is known of the configuration, in milliseconds; -1 for never. */
    long configurationAge() {
        return mConfigurations.confirmedAgeMilliseconds();
    }

    /** Returns the age of what is known of the endpoints, in milliseconds; -1 for never. */
    long endpointsAge() {
        return mEndpoints.confirmedAgeMilliseconds();
    }

    @Override
    public void send(NodeName receiver, RelayMessage message) {
        mNetwork.send(receiver, Subject.RELAY, message);
    }

    @Override
    public List<NodeName> peers() {
        return mMembers.peers();
    }

    private void onConfigurations(List<KeyedRecord> records, StreamSource source) {
        for (KeyedRecord entry : records) {
            entry.value().ifPresent(value -> decode(entry.key(), value, source));
        }
        mRelay.announce();
    }

    private void decode(String key, byte[] value, StreamSource source) {
        ForwardingConfiguration read;
        try {
            read = mDecoder.decode(value);
        } catch (ConfigurationDecoder.UnreadableConfigurationException unreadable) {
            LogEvent.named("configuration_unreadable")
                    .text("key", key)
                    .text("reason", unreadable.getMessage())
                    .writeTo(LOGGER);
            return;
        }
        if (mInForce.isPresent() && mInForce.get().version() >= read.version()) {
            return;
        }
        Optional<ForwardingConfiguration> former = mInForce;
        mInForce = Optional.of(read);
        LogEvent.named("configuration_in_force")
                .number("version", read.version())
                .number("former", former.map(ForwardingConfiguration::version).orElse(0L))
                .text("source", source)
                .number("routes", read.routes().size())
                .writeTo(LOGGER);
        mListener.configurationChanged(former, read);
    }

    private void logAnswered(boolean answered, String reason) {
        if (answered != mLogAnswers) {
            mLogAnswers = answered;
            LogEvent.named(answered ? "log_regained" : "log_lost")
                    .text("reason", reason)
                    .number("configuration_age_ms", configurationAge())
                    .number("endpoints_age_ms", endpointsAge())
                    .writeTo(LOGGER);
        }
    }

    /** Is told of what the node learns. */
    interface NodeListener {
        /** A configuration is in force. */
        void configurationChanged(
                Optional<ForwardingConfiguration> former, ForwardingConfiguration current);

        /** Records of endpoints were read. */
        void endpointsRead(List<KeyedRecord> records);

        /** The log did not answer. */
        void logDisturbed();
    }

    private final class Listening implements StreamListener {
        private final BiConsumer<List<KeyedRecord>, StreamSource> mChanged;

        private Listening(BiConsumer<List<KeyedRecord>, StreamSource> changed) {
            mChanged = changed;
        }

        @Override
        public void changed(List<KeyedRecord> records, StreamSource source) {
            mChanged.accept(records, source);
        }

        @Override
        public void confirmed(long asOfMilliseconds) {
            logAnswered(true, "");
        }

        @Override
        public void failed(Throwable failure) {
            logAnswered(false, failure.getMessage());
            mListener.logDisturbed();
        }
    }
}
