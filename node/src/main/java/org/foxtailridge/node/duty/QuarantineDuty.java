package org.foxtailridge.node.duty;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.clients.log.LogPage;
import org.foxtailridge.clients.log.LogRecord;
import org.foxtailridge.clients.log.LogService;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.thread.DutyThread;
import org.foxtailridge.execution.quarantine.EndpointStart;
import org.foxtailridge.execution.quarantine.Fingerprint;
import org.foxtailridge.execution.quarantine.Quarantine;
import org.foxtailridge.execution.quarantine.QuarantineOutbox;
import org.foxtailridge.execution.quarantine.QuarantineRecord;
import org.foxtailridge.execution.quarantine.QuarantineSettings;
import org.foxtailridge.node.caller.RefusedException;
import org.foxtailridge.node.peer.PeerIdentity;
import org.foxtailridge.node.peer.PeerNetwork;
import org.foxtailridge.node.settings.NodeSettings;
import org.foxtailridge.protocol.envelope.Subject;
import org.foxtailridge.protocol.quarantine.QuarantineMessage;

/** Runs the quarantine on a thread of its own. */
@Singleton
public final class QuarantineDuty implements AutoCloseable {
    private static final Logger LOGGER = LogManager.getLogger(QuarantineDuty.class);
    private static final String STREAM = "quarantine";
    private static final Duration TICK = Duration.ofMillis(50);

    private final DutyThread mThread;
    private final Quarantine mQuarantine;
    private final PeerNetwork mPeers;
    private final LogService mLog;
    private final DutyTimer mTimer;
    private final String mNode;
    private final Map<String, CompletableFuture<Boolean>> mAsked = new HashMap<>();
    private List<String> mNodes;
    private long mNextOffset;

    /** Creates the duty and starts its thread. */
    @Inject
    public QuarantineDuty(
            NodeSettings settings,
            PeerIdentity identity,
            Clock clock,
            PeerNetwork peers,
            PeerMessages messages,
            MembershipDuty membership,
            LogService log,
            DutyTimer timer) {
        mPeers = peers;
        mLog = log;
        mTimer = timer;
        mNode = identity.name().value();
        mNodes = List.of(mNode);
        mQuarantine =
                Quarantine.create(clock, mNode, QuarantineSettings.builder().build(), new Outbox());
        mThread = DutyThread.start("quarantine", settings.ringTasks());
        messages.receive(Subject.QUARANTINE, this::onMessage);
        membership.listen(view -> mThread.offer(() -> changeNodes(view.dutyNodes())));
        timer.every(TICK, mThread, mQuarantine::tick);
    }

    /**
     * Asks whether an attempt may run.
     *
     * @param runId identifier of the attempt, unique over all nodes
     * @param fingerprint fingerprint of its request
     * @return whether it must run isolated; fails with {@link RefusedException}
     */
    public CompletableFuture<Boolean> admit(String runId, Fingerprint fingerprint) {
        CompletableFuture<Boolean> isolated = new CompletableFuture<>();
        boolean offered =
                mThread.offer(
                        () -> {
                            mAsked.put(runId, isolated);
                            mQuarantine.admit(runId, fingerprint);
                        });
        if (!offered) {
            isolated.completeExceptionally(RefusedException.overloaded("the ring of quarantine"));
        }
        return isolated;
    }

    /** Notes which endpoint an attempt was sent to. */
    public void began(String runId, EndpointStart endpoint) {
        mTimer.offerSurely(mThread, () -> mQuarantine.began(runId, endpoint));
    }

    /** Notes that the whole answer of an attempt arrived. */
    public void finished(String runId) {
        mTimer.offerSurely(mThread, () -> mQuarantine.finished(runId));
    }

    /** Notes that an attempt was cancelled or provably has not begun. */
    public void released(String runId) {
        mTimer.offerSurely(
                mThread,
                () -> {
                    mAsked.remove(runId);
                    mQuarantine.released(runId);
                });
    }

    /** Notes that an attempt broke off for a reason not yet known. */
    public void failed(String runId) {
        mTimer.offerSurely(mThread, () -> mQuarantine.failed(runId));
    }

    /** Notes that an endpoint died. */
    public void endpointLost(EndpointStart endpoint) {
        LOGGER.warn(
                "endpoint {} of incarnation {} was lost",
                endpoint.endpoint(),
                endpoint.incarnation());
        mTimer.offerSurely(mThread, () -> mQuarantine.endpointLost(endpoint));
    }

    /** Begins to read the losses that the log holds, which outlive VMs. */
    public void start() {
        LogTail.of(STREAM, mLog, mThread, mTimer).from(() -> mNextOffset).to(this::onPage).start();
    }

    @Override
    public void close() {
        mThread.close();
    }

    private void onPage(LogPage page) {
        for (LogRecord record : page.records()) {
            mQuarantine.recorded(QuarantineRecord.parse(record.payload()));
            mNextOffset = record.offset() + 1;
        }
    }

    private void changeNodes(List<NodeName> nodes) {
        mNodes = nodes.stream().map(NodeName::value).sorted().toList();
        mQuarantine.nodesChanged(mNodes);
    }

    private void onMessage(NodeName sender, ByteString payload) {
        try {
            QuarantineMessage message = QuarantineMessage.parseFrom(payload);
            mThread.offer(() -> mQuarantine.received(message));
        } catch (InvalidProtocolBufferException unreadable) {
            LOGGER.warn("node {} sent a message of quarantine that can't be read", sender);
        }
    }

    /** Carries out what the quarantine wants done. */
    private final class Outbox implements QuarantineOutbox {
        @Override
        public void permit(String runId, boolean isolated) {
            CompletableFuture<Boolean> asked = mAsked.remove(runId);
            if (asked != null) {
                asked.complete(isolated);
            }
        }

        @Override
        public void refuse(String runId) {
            CompletableFuture<Boolean> asked = mAsked.remove(runId);
            if (asked != null) {
                asked.completeExceptionally(
                        RefusedException.of(
                                ErrorKind.QUARANTINED,
                                "two endpoints were lost while this request ran on them"));
            }
        }

        @Override
        public void send(String node, QuarantineMessage message) {
            if (node.equals(mNode)) {
                mThread.offer(() -> mQuarantine.received(message));
            } else {
                mPeers.send(NodeName.of(node), Subject.QUARANTINE, message);
            }
        }

        @Override
        public void broadcast(QuarantineMessage message) {
            for (String node : mNodes) {
                if (!node.equals(mNode)) {
                    mPeers.send(NodeName.of(node), Subject.QUARANTINE, message);
                }
            }
        }

        @Override
        public void append(QuarantineRecord record) {
            mLog.append(STREAM, List.of(record.toPayload()))
                    .whenComplete(
                            (offset, failure) -> {
                                if (failure != null) {
                                    LOGGER.warn("a loss could not be recorded in the log");
                                }
                            });
        }
    }
}
