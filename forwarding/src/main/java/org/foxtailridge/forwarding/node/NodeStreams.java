package org.foxtailridge.forwarding.node;

import java.time.Clock;
import java.util.Collection;
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
import org.foxtailridge.forwarding.stream.KeyedBatch;
import org.foxtailridge.forwarding.stream.KeyedLog;
import org.foxtailridge.forwarding.stream.KeyedRecord;
import org.foxtailridge.forwarding.stream.KeyedStream;
import org.foxtailridge.forwarding.stream.StreamFollower;
import org.foxtailridge.forwarding.stream.StreamListener;
import org.foxtailridge.forwarding.stream.StreamSource;
import org.foxtailridge.protocol.envelope.Subject;
import org.foxtailridge.protocol.relay.RelayMessage;
import org.foxtailridge.protocol.relay.StreamPosition;

/**
 * Followers of the platform's keyed streams (configuration, endpoints, nodes), the relay of the
 * first two to other nodes, and the configuration in force. Confined to the event loop.
 */
final class NodeStreams implements RelayOutbox {
    private static final Logger LOGGER = LogManager.getLogger(NodeStreams.class);

    private final NodeMembership mMembers;
    private final DatagramNetwork mNetwork;
    private final ConfigurationDecoder mDecoder;
    private final Listener mListener;
    private final StreamFollower mConfigurations;
    private final StreamFollower mEndpoints;
    private final StreamFollower mNodeRecords;
    private final StreamRelay mRelay;
    private Optional<ForwardingConfiguration> mInForce = Optional.empty();
    private Optional<NodeDigests> mDigests = Optional.empty();
    private ReadTimings mTimings = ReadTimings.DIRECT;
    private List<NodeName> mSlotPeers = List.of();
    private boolean mLogAvailable = true;

    NodeStreams(
            Clock clock,
            RandomGenerator random,
            KeyedLog log,
            ConfigurationDecoder decoder,
            NodeMembership members,
            DatagramNetwork network,
            Listener listener) {
        mMembers = members;
        mNetwork = network;
        mDecoder = decoder;
        mListener = listener;
        mConfigurations =
                new StreamFollower(
                        KeyedStream.CONFIGURATION,
                        log,
                        StaggeredReads.of(mTimings.configuration(), members.self(), mSlotPeers),
                        clock,
                        new FollowerListener(this::applyConfigurations));
        mEndpoints =
                new StreamFollower(
                        KeyedStream.ENDPOINTS,
                        log,
                        mTimings.endpoints(),
                        clock,
                        new FollowerListener((records, source) -> listener.endpointsRead(records)) {
                            @Override
                            public void appended(long fromOffset, KeyedBatch batch) {
                                sendToReporters(fromOffset, batch);
                            }
                        });
        mNodeRecords =
                new StreamFollower(
                        KeyedStream.NODES,
                        log,
                        mTimings.nodes(),
                        clock,
                        new FollowerListener(
                                (records, source) -> mMembers.applyNodeRecords(records)));
        mRelay =
                new StreamRelay(
                        RelaySettings.defaults(),
                        clock,
                        random,
                        this,
                        List.of(mConfigurations, mEndpoints));
        network.receive(Subject.RELAY, RelayMessage.parser(), mRelay::receive);
    }

    /** Sets the digests, which are created later; called once, before any event. */
    void attach(NodeDigests digests) {
        mDigests = Optional.of(digests);
    }

    void tick() {
        updateTimings();
        mConfigurations.tick();
        mEndpoints.tick();
        mNodeRecords.tick();
        mRelay.tick();
    }

    Optional<ForwardingConfiguration> configuration() {
        return mInForce;
    }

    /** Returns how far this node has read the relayed streams. */
    List<StreamPosition> positions() {
        return mRelay.positions();
    }

    /** Handles the positions of the node that reads the log for this one. */
    void onReaderPositions(NodeName reader, List<StreamPosition> positions) {
        mRelay.onReaderPositions(reader, positions);
    }

    /**
     * Returns the time since the known configuration was confirmed as current, in milliseconds; -1
     * when it never was.
     */
    long configurationAge() {
        return mConfigurations.confirmedAgeMilliseconds();
    }

    /**
     * Returns the time since the known endpoints were confirmed as current, in milliseconds; -1
     * when they never were.
     */
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

    private void applyConfigurations(List<KeyedRecord> records, StreamSource source) {
        for (KeyedRecord entry : records) {
            entry.value().ifPresent(value -> decode(entry.key(), value, source));
        }
        mRelay.announce();
        mRelay.announceTo(otherReporters());
    }

    /** Chooses between reading the log and being informed, by the role of this node. */
    private void updateTimings() {
        ReadTimings timings = ReadTimings.DIRECT;
        if (!NodeDigests.isDirect(mMembers)) {
            boolean collector = mDigests.filter(NodeDigests::isCollector).isPresent();
            timings = collector ? ReadTimings.READER : ReadTimings.RELAYED;
        }
        updateSlot(timings);
        if (timings != mTimings) {
            mTimings = timings;
            mEndpoints.use(timings.endpoints());
            mNodeRecords.use(timings.nodes());
            LogEvent.named("log_reading_changed").text("role", timings).writeTo(LOGGER);
        }
    }

    /** Updates when reads of the configuration end, after a change of the role or of the peers. */
    private void updateSlot(ReadTimings timings) {
        List<NodeName> peers = mMembers.peers();
        if (timings == mTimings && peers.equals(mSlotPeers)) {
            return;
        }
        mSlotPeers = peers;
        mConfigurations.use(
                timings == ReadTimings.DIRECT
                        ? StaggeredReads.of(timings.configuration(), mMembers.self(), peers)
                        : timings.configuration());
    }

    private void sendToReporters(long fromOffset, KeyedBatch batch) {
        mRelay.sendDelta(KeyedStream.ENDPOINTS, fromOffset, batch, otherReporters());
    }

    private Collection<NodeName> otherReporters() {
        return mDigests.map(NodeDigests::otherReporters).orElse(List.of());
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

    private void updateLogAvailability(boolean available, String reason) {
        if (available != mLogAvailable) {
            mLogAvailable = available;
            LogEvent.named(available ? "log_regained" : "log_lost")
                    .text("reason", reason)
                    .number("configuration_age_ms", configurationAge())
                    .number("endpoints_age_ms", endpointsAge())
                    .writeTo(LOGGER);
        }
    }

    /** Listener for what the followers read. */
    interface Listener {
        /** A configuration with a higher version came into force. */
        void configurationChanged(
                Optional<ForwardingConfiguration> former, ForwardingConfiguration current);

        /** Records of the endpoint stream were read, from the log or from another node. */
        void endpointsRead(List<KeyedRecord> records);

        /** A read of any stream failed or timed out. */
        void logUnavailable();
    }

    private class FollowerListener implements StreamListener {
        private final BiConsumer<List<KeyedRecord>, StreamSource> mChanged;

        private FollowerListener(BiConsumer<List<KeyedRecord>, StreamSource> changed) {
            mChanged = changed;
        }

        @Override
        public void changed(List<KeyedRecord> records, StreamSource source) {
            mChanged.accept(records, source);
        }

        @Override
        public void confirmed(long asOfMilliseconds) {
            updateLogAvailability(true, "");
        }

        @Override
        public void failed(Throwable failure) {
            updateLogAvailability(false, failure.getMessage());
            mConfigurations.logFailed();
            mListener.logUnavailable();
        }
    }
}
