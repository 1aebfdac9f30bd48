package org.foxtailridge.node.duty;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.clients.log.LogPage;
import org.foxtailridge.clients.log.LogService;
import org.foxtailridge.configuration.fold.ConfigurationState;
import org.foxtailridge.configuration.follow.ConfigurationFollower;
import org.foxtailridge.configuration.follow.FollowerOutbox;
import org.foxtailridge.configuration.follow.FollowerSettings;
import org.foxtailridge.configuration.follow.LogAnswer;
import org.foxtailridge.configuration.follow.LogRead;
import org.foxtailridge.configuration.follow.LogRecord;
import org.foxtailridge.configuration.follow.Peers;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.thread.DutyThread;
import org.foxtailridge.membership.duty.Rendezvous;
import org.foxtailridge.membership.probe.Member;
import org.foxtailridge.membership.probe.MembershipView;
import org.foxtailridge.node.peer.PeerIdentity;
import org.foxtailridge.node.peer.PeerNetwork;
import org.foxtailridge.node.settings.NodeSettings;
import org.foxtailridge.protocol.configuration.ConfigurationMessage;
import org.foxtailridge.protocol.envelope.Subject;

/** Follows the configuration from the log and from peers and puts what it says in force. */
@Singleton
public final class ConfigurationDuty implements AutoCloseable {
    private static final Logger LOGGER = LogManager.getLogger(ConfigurationDuty.class);
    private static final String STREAM = "configuration";
    private static final String READER_DUTY = "configuration-reader";
    private static final int READERS_FOR_EACH_DATA_CENTRE = 3;
    private static final int RING_TASKS = 4096;
    private static final Duration SNAPSHOT_STALENESS = Duration.ofSeconds(10);
    private static final Duration TICK = Duration.ofMillis(100);

    private final DutyThread mThread;
    private final PeerIdentity mIdentity;
    private final PeerNetwork mPeers;
    private final LogService mLog;
    private final ConfigurationView mView;
    private final ConfigurationFollower mFollower;
    private final SnapshotPublisher mSnapshots;

    /** Creates the duty and starts its thread. */
    @Inject
    public ConfigurationDuty(
            NodeSettings settings,
            PeerIdentity identity,
            Clock clock,
            LogService log,
            PeerNetwork peers,
            PeerMessages messages,
            MembershipDuty membership,
            LeasesDuty leases,
            ConfigurationView view,
            DutyTimer timer) {
        mIdentity = identity;
        mPeers = peers;
        mLog = log;
        mView = view;
        mFollower =
                ConfigurationFollower.create(
                        FollowerSettings.defaults(),
                        clock,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(identity.seed()),
                        new Outbox());
        mSnapshots = new SnapshotPublisher(log, leases, clock, settings.logRetention());
        mThread = DutyThread.start("configuration", RING_TASKS);
        messages.receive(Subject.CONFIGURATION, this::onMessage);
        membership.listen(known -> mThread.offer(() -> onMembership(known)));
        timer.every(TICK, mThread, () -> step(this::tick));
    }

    @Override
    public void close() {
        mThread.close();
    }

    private void tick() {
        mFollower.tick();
        boolean current =
                mFollower
                        .status()
                        .staleness()
                        .filter(age -> age.compareTo(SNAPSHOT_STALENESS) < 0)
                        .isPresent();
        if (current) {
            mSnapshots.tick(mFollower.state());
        }
    }

    private void onMembership(MembershipView known) {
        List<NodeName> near = others(known, this::isNear).toList();
        List<NodeName> far = others(known, member -> !isNear(member)).toList();
        List<NodeName> candidates =
                Stream.concat(near.stream(), Stream.of(mIdentity.name())).toList();
        boolean readsLog =
                Rendezvous.isAmongFirst(
                        mIdentity.name(), READERS_FOR_EACH_DATA_CENTRE, READER_DUTY, candidates);
        step(() -> mFollower.onPeers(new Peers(near, far, readsLog)));
    }

    private Stream<NodeName> others(MembershipView known, Predicate<Member> which) {
        return known.members().stream()
                .filter(Member::isDutyCandidate)
                .filter(member -> !member.node().equals(mIdentity.name()))
                .filter(which)
                .map(Member::node);
    }

    private boolean isNear(Member member) {
        return member.dataCentre().equals(mIdentity.dataCentre());
    }

    private void onMessage(NodeName sender, ByteString payload) {
        try {
            ConfigurationMessage message = ConfigurationMessage.parseFrom(payload);
            mThread.offer(() -> step(() -> mFollower.onMessage(sender, message)));
        } catch (InvalidProtocolBufferException unreadable) {
            LOGGER.warn("node {} sent a message of configuration that can't be read", sender);
        }
    }

    /** Runs an event and shows its effect to the rest of the node. */
    private void step(Runnable event) {
        event.run();
        mView.follow(mFollower.status());
    }

    /** Carries out what the follower asks for. */
    private final class Outbox implements FollowerOutbox {
        @Override
        public void read(LogRead read) {
            mLog.read(STREAM, read.from(), read.limit(), read.waitTime())
                    .whenComplete(
                            (page, failure) ->
                                    mThread.offer(() -> step(() -> onPage(read, page, failure))));
        }

        @Override
        public void send(NodeName node, ConfigurationMessage message) {
            mPeers.send(node, Subject.CONFIGURATION, message);
        }

        @Override
        public void inForce(ConfigurationState before, ConfigurationState after) {
            LOGGER.info("configuration of offset {} is in force", after.offset());
            mView.advance(after);
        }

        private void onPage(LogRead read, LogPage page, Throwable failure) {
            if (failure != null) {
                mFollower.onLogFailure(read.request());
                return;
            }
            List<LogRecord> records =
                    page.records().stream()
                            .map(record -> new LogRecord(record.offset(), record.payload()))
                            .toList();
            mFollower.onLogAnswer(
                    read.request(), new LogAnswer(page.firstRetained(), page.next(), records));
        }
    }
}
