package org.foxtailridge.node.duty;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.foxtailridge.clients.log.LogPage;
import org.foxtailridge.clients.log.LogService;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.thread.DutyThread;
import org.foxtailridge.membership.duty.Rendezvous;
import org.foxtailridge.membership.lease.Candidacy;
import org.foxtailridge.membership.lease.HeldLease;
import org.foxtailridge.membership.lease.Lease;
import org.foxtailridge.membership.lease.LeaseLogAnswer;
import org.foxtailridge.membership.lease.LeaseLogRecord;
import org.foxtailridge.membership.lease.LeaseManager;
import org.foxtailridge.membership.lease.LeaseOutbox;
import org.foxtailridge.membership.lease.LeaseSettings;
import org.foxtailridge.membership.probe.MembershipView;
import org.foxtailridge.node.peer.PeerIdentity;

/** Stands for duties by rendezvous rank and keeps their leases through the log. */
@Singleton
public final class LeasesDuty implements AutoCloseable {
    private static final String STREAM = "leases";
    private static final int RING_TASKS = 4096;
    private static final int CANDIDATES_FOR_EACH_DUTY = 3;
    private static final Duration TICK = Duration.ofMillis(50);

    private final DutyThread mThread;
    private final LogService mLog;
    private final DutyTimer mTimer;
    private final NodeName mSelf;
    private final LeaseManager mLeases;
    private final List<Consumer<DutyHolding>> mListeners = new CopyOnWriteArrayList<>();
    private Configuration mConfiguration = Configuration.empty();
    private List<NodeName> mNodes = List.of();
    private List<String> mDuties = List.of();
    private final CompletableFuture<Void> mReleasedAll = new CompletableFuture<>();
    private boolean mReleased;
    private volatile DutyHolding mHolding = new DutyHolding(Map.of(), Map.of());

    /** Creates the duty and starts its thread. */
    @Inject
    public LeasesDuty(
            PeerIdentity identity,
            Clock clock,
            LogService log,
            ConfigurationView configuration,
            MembershipDuty membership,
            DutyTimer timer) {
        mLog = log;
        mTimer = timer;
        mSelf = identity.name();
        mLeases =
                LeaseManager.create(
                        mSelf,
                        identity.incarnation(),
                        LeaseSettings.defaults(),
                        clock,
                        new Outbox());
        mThread = DutyThread.start("leases", RING_TASKS);
        configuration.listen((former, current) -> mThread.offer(() -> onConfiguration(current)));
        membership.listen(view -> mThread.offer(() -> onMembership(view)));
        timer.every(TICK, mThread, () -> step(mLeases::tick));
    }

    /** Returns who holds which duty. */
    public DutyHolding holding() {
        return mHolding;
    }

    /** Adds a listener of changes; it is called on this duty's thread. */
    public void listen(Consumer<DutyHolding> listener) {
        mListeners.add(listener);
    }

    /** Gives all duties back; completes once the log shows none of them as this node's. */
    public CompletableFuture<Void> releaseAll() {
        mTimer.offerSurely(
                mThread,
                () -> {
                    mReleased = true;
                    step(mLeases::releaseAll);
                    completeIfReleased();
                });
        return mReleasedAll;
    }

    @Override
    public void close() {
        mThread.close();
    }

    private void onConfiguration(Configuration current) {
        mConfiguration = current;
        standForDuties();
    }

    private void onMembership(MembershipView view) {
        mNodes = view.dutyNodes();
        standForDuties();
    }

    private void standForDuties() {
        if (mReleased) {
            return;
        }
        mDuties = DutyNames.of(mConfiguration);
        List<Candidacy> candidacies = new ArrayList<>();
        for (String duty : mDuties) {
            int rank = Rendezvous.rank(duty, mNodes).indexOf(mSelf);
            if (rank >= 0 && rank < CANDIDATES_FOR_EACH_DUTY) {
                candidacies.add(new Candidacy(duty, rank));
            }
        }
        step(() -> mLeases.setCandidacies(candidacies));
    }

    /** Runs an event and tells listeners what it changed. */
    private void step(Runnable event) {
        event.run();
        Map<String, HeldLease> held = new HashMap<>();
        Map<String, Lease> shown = new HashMap<>();
        for (String duty : mDuties) {
            mLeases.held(duty).ifPresent(lease -> held.put(duty, lease));
            mLeases.recorded(duty).ifPresent(lease -> shown.put(duty, lease));
        }
        DutyHolding holding = new DutyHolding(held, shown);
        if (!holding.equals(mHolding)) {
            mHolding = holding;
            mListeners.forEach(listener -> listener.accept(holding));
            completeIfReleased();
        }
    }

    private void completeIfReleased() {
        boolean holdsNone =
                mHolding.shown().values().stream().noneMatch(lease -> lease.node().equals(mSelf));
        if (mReleased && holdsNone) {
            mReleasedAll.complete(null);
        }
    }

    private static LeaseLogAnswer answerOf(LogPage page) {
        List<LeaseLogRecord> records =
                page.records().stream()
                        .map(
                                record ->
                                        new LeaseLogRecord(
                                                record.offset(), record.timeMs(), record.payload()))
                        .toList();
        return new LeaseLogAnswer(page.firstRetained(), page.next(), records);
    }

    /** Carries out what the leases ask of the log. */
    private final class Outbox implements LeaseOutbox {
        @Override
        public void append(long request, String payload) {
            mLog.append(STREAM, List.of(payload))
                    .whenComplete(
                            (offset, failure) ->
                                    mThread.offer(() -> onAppend(request, offset, failure)));
        }

        @Override
        public void read(long request, long from, int limit, Duration waitTime) {
            mLog.read(STREAM, from, limit, waitTime)
                    .whenComplete(
                            (page, failure) -> mThread.offer(() -> onPage(request, page, failure)));
        }

        private void onAppend(long request, Long offset, Throwable failure) {
            if (failure == null) {
                step(() -> mLeases.onAppended(request, offset));
            } else {
                step(() -> mLeases.onAppendFailed(request));
            }
        }

        private void onPage(long request, LogPage page, Throwable failure) {
            if (failure == null) {
                step(() -> mLeases.onRead(request, answerOf(page)));
            } else {
                step(() -> mLeases.onReadFailed(request));
            }
        }
    }
}
