package org.foxtailridge.node.duty;

import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.foxtailridge.clients.log.AppendRefusedException;
import org.foxtailridge.clients.log.LogPage;
import org.foxtailridge.clients.log.LogService;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.thread.DutyThread;
import org.foxtailridge.execution.claim.AppendResult;
import org.foxtailridge.execution.claim.CallOutcome;
import org.foxtailridge.execution.claim.ClaimCall;
import org.foxtailridge.execution.claim.ClaimDecision;
import org.foxtailridge.execution.claim.ClaimKeeper;
import org.foxtailridge.execution.claim.ClaimSettings;
import org.foxtailridge.execution.claim.LogRecord;
import org.foxtailridge.node.caller.RefusedException;
import org.foxtailridge.node.peer.PeerIdentity;
import org.foxtailridge.node.settings.NodeSettings;

/** Claims non-idempotent calls in the stream {@code claims} of the log. */
@Singleton
public final class ClaimsDuty implements AutoCloseable {
    private static final String STREAM = "claims";
    private static final Duration TICK = Duration.ofMillis(10);

    private final DutyThread mThread;
    private final ClaimKeeper mKeeper;
    private final LogService mLog;
    private final DutyTimer mTimer;
    private final AtomicLong mNextCall = new AtomicLong();
    private final Map<Long, CompletableFuture<ClaimVerdict>> mCalls = new HashMap<>();

    /** Creates the duty and starts its thread; {@link #start} begins to read. */
    @Inject
    public ClaimsDuty(
            NodeSettings settings,
            PeerIdentity identity,
            Clock clock,
            LogService log,
            DutyTimer timer) {
        mLog = log;
        mTimer = timer;
        mKeeper =
                ClaimKeeper.create(
                        ClaimSettings.builder(identity.name(), identity.incarnation()).build(),
                        clock);
        mThread = DutyThread.start("claims", settings.ringTasks());
        timer.every(TICK, mThread, () -> decide(mKeeper::tick));
    }

    /** Begins to read the stream. */
    public void start() {
        LogTail.of(STREAM, mLog, mThread, mTimer)
                .from(mKeeper::nextOffset)
                .to(this::onPage)
                .start();
    }

    /**
     * Claims a call.
     *
     * @param account client account of the caller
     * @param idempotencyKey value of {@code Idempotency-Key}
     * @param fingerprint digest of the request; see {@link ClaimCall#fingerprintOf}
     * @return what to do with the call; fails with what to refuse it with
     */
    public CompletableFuture<ClaimVerdict> claim(
            ClientAccountName account, String idempotencyKey, String fingerprint) {
        CompletableFuture<ClaimVerdict> verdict = new CompletableFuture<>();
        long call = mNextCall.getAndIncrement();
        ClaimCall claim = new ClaimCall(call, account, idempotencyKey, fingerprint);
        boolean offered =
                mThread.offer(
                        () -> {
                            mCalls.put(call, verdict);
                            decide(() -> mKeeper.callArrived(claim));
                        });
        if (!offered) {
            verdict.completeExceptionally(RefusedException.overloaded("the ring of claims"));
        }
        return verdict;
    }

    /**
     * Notes how the dispatch of a claimed call ended.
     *
     * @param call number of the call, from the verdict
     * @param outcome how it ended
     */
    public void ended(long call, CallOutcome outcome) {
        mTimer.offerSurely(mThread, () -> decide(() -> mKeeper.dispatchEnded(call, outcome)));
    }

    @Override
    public void close() {
        mThread.close();
    }

    private void decide(Supplier<List<ClaimDecision>> event) {
        for (ClaimDecision decision : event.get()) {
            carryOut(decision);
        }
    }

    private void carryOut(ClaimDecision decision) {
        if (decision instanceof ClaimDecision.Append append) {
            append(append);
        } else if (decision instanceof ClaimDecision.Dispatch dispatch) {
            tell(dispatch.call(), new ClaimVerdict.Dispatch(dispatch.call()));
        } else if (decision instanceof ClaimDecision.AnswerWith answer) {
            tell(answer.call(), new ClaimVerdict.AnswerWith(answer.answer()));
        } else if (decision instanceof ClaimDecision.Refuse refuse) {
            CompletableFuture<ClaimVerdict> verdict = mCalls.remove(refuse.call());
            if (verdict != null) {
                verdict.completeExceptionally(refuse.reason());
            }
        }
    }

    private void tell(long call, ClaimVerdict verdict) {
        CompletableFuture<ClaimVerdict> waiting = mCalls.remove(call);
        if (waiting != null) {
            waiting.complete(verdict);
        }
    }

    private void append(ClaimDecision.Append append) {
        mLog.append(STREAM, append.payloads())
                .whenComplete(
                        (offset, failure) -> {
                            AppendResult result = resultOf(failure);
                            mThread.offer(
                                    () ->
                                            decide(
                                                    () ->
                                                            mKeeper.appendEnded(
                                                                    append.append(), result)));
                        });
    }

    private static AppendResult resultOf(Throwable failure) {
        if (failure == null) {
            return AppendResult.STORED;
        }
        boolean refused = FoxtailridgeException.from(failure) instanceof AppendRefusedException;
        return refused ? AppendResult.REFUSED : AppendResult.LOST;
    }

    private void onPage(LogPage page) {
        List<LogRecord> records =
                page.records().stream()
                        .map(
                                record ->
                                        new LogRecord(
                                                record.offset(), record.timeMs(), record.payload()))
                        .toList();
        long next = records.isEmpty() ? page.next() : records.get(records.size() - 1).offset() + 1;
        decide(() -> mKeeper.recordsRead(records, next));
    }
}
