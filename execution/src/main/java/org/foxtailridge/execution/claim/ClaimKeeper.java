package org.foxtailridge.execution.claim;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.foxtailridge.core.error.FoxtailridgeException;

/**
 * Decides for each call with an idempotency key whether it is dispatched, answered with the answer
 * of an earlier call, or refused.
 *
 * <p>A call is dispatched only after its claim was read back from the log as the first one of its
 * key. Once a call was refused as not run, a claim of it that appears later is released and never
 * dispatched. Non-idempotent calls without a key need no claim; the node dispatches them once.
 *
 * <p>The node drives it from one duty thread, and carries out the decisions in order:
 *
 * <pre>{@code
 * ClaimKeeper keeper = ClaimKeeper.create(settings, clock);
 * carryOut(keeper.callArrived(new ClaimCall(callId, account, key, fingerprint)));
 * // one reader follows the stream "claims" from keeper.nextOffset()
 * carryOut(keeper.recordsRead(records, next));
 * // after a decision Append(append, payloads)
 * carryOut(keeper.appendEnded(append, AppendResult.STORED));
 * // after a decision Dispatch(callId); the caller of this call is answered by the node itself
 * carryOut(keeper.dispatchEnded(callId, new CallOutcome.Answered(status, headers, body)));
 * // every few milliseconds
 * carryOut(keeper.tick());
 * }</pre>
 */
public final class ClaimKeeper {
    private static final char CALL_END = '/';

    private final ClaimSettings mSettings;
    private final ClaimRules mRules;
    private final Clock mClock;
    private final ClaimTable mTable;
    private final ClaimAppender mAppender;
    private final WaitingCalls mWaiting = new WaitingCalls();
    private final Map<String, OwnClaim> mOwn = new HashMap<>();
    private final Map<Long, OwnClaim> mOwnByCall = new HashMap<>();
    private final String mClaimPrefix;
    private List<ClaimDecision> mDecisions = new ArrayList<>();
    private long mClaims;
    private long mNextOffset;
    private FoxtailridgeException mStopped;

    ClaimKeeper(ClaimSettings settings, ClaimRules rules, Clock clock) {
        mSettings = Objects.requireNonNull(settings, "settings");
        mRules = Objects.requireNonNull(rules, "rules");
        mClock = Objects.requireNonNull(clock, "clock");
        mTable = new ClaimTable(settings, rules);
        mAppender = new ClaimAppender(settings, rules);
        mClaimPrefix = settings.node() + "/" + settings.incarnation() + "/";
    }

    /**
     * Creates a keeper that has read nothing yet.
     *
     * @param settings settings of this node
     * @param clock clock of this node
     */
    public static ClaimKeeper create(ClaimSettings settings, Clock clock) {
        return new ClaimKeeper(settings, new ClaimRules(), clock);
    }

    /** Returns the offset from which the stream is to be read on. */
    public long nextOffset() {
        return mNextOffset;
    }

    /** Returns the calls that are claimed or wait. */
    public int openCalls() {
        return mOwn.size() + mWaiting.size();
    }

    /** Returns the failure to read a record, after which all calls are refused as not run. */
    public Optional<FoxtailridgeException> stoppedBy() {
        return Optional.ofNullable(mStopped);
    }

    /** Takes a call. */
    public List<ClaimDecision> callArrived(ClaimCall call) {
        decide(call, call.keyDigest());
        return decisions();
    }

    /** Notes that the caller of a call has gone; a call that was not dispatched will not be. */
    public List<ClaimDecision> callerLeft(long call) {
        OwnClaim own = mOwnByCall.get(call);
        if (!mWaiting.remove(call) && own != null) {
            own.callerLeft();
        }
        return decisions();
    }

    /**
     * Takes records that were read, in order; those below {@link #nextOffset} have no effect.
     *
     * @param records records of the stream
     * @param next offset at which the stream goes on, as the log told
     */
    public List<ClaimDecision> recordsRead(List<LogRecord> records, long next) {
        for (LogRecord record : records) {
            if (record.offset() >= mNextOffset && mStopped == null) {
                read(record);
            }
        }
        if (mStopped == null) {
            mNextOffset = Math.max(mNextOffset, next);
            mAppender.readToEnd(now());
        }
        return decisions();
    }

    /** Notes how an append ended. */
    public List<ClaimDecision> appendEnded(long append, AppendResult result) {
        mAppender.ended(append, result, now());
        return decisions();
    }

    /** Notes how the dispatch of a call ended. */
    public List<ClaimDecision> dispatchEnded(long call, CallOutcome outcome) {
        OwnClaim own = mOwnByCall.get(call);
        if (own == null || own.state() != OwnClaim.State.DISPATCHED) {
            return decisions();
        }
        if (outcome instanceof CallOutcome.NotStarted) {
            mAppender.add(ClaimRecord.release(own.id(), own.key()));
            forget(own);
            return decisions();
        }
        own.ended(outcome);
        mAppender.add(outcomeRecord(own, outcome));
        mWaiting.removeAll(own.key()).forEach(waiting -> decide(waiting, own.key()));
        return decisions();
    }

    /** Does what is due by time; to be called at least as often as appends may be made. */
    public List<ClaimDecision> tick() {
        long now = now();
        List<OwnClaim> late =
                mOwn.values().stream()
                        .filter(own -> own.state() == OwnClaim.State.PENDING)
                        .filter(own -> now >= own.validUntilMilliseconds())
                        .toList();
        late.forEach(this::abandon);
        for (ClaimCall call : mWaiting.removeLate(now)) {
            refuse(call, new CallInProgressException(mSettings.waitMilliseconds()));
        }
        mAppender.tick(now);
        return decisions();
    }

    /** Returns the state of all keys, for comparison in tests. */
    ClaimTable table() {
        return mTable;
    }

    private void decide(ClaimCall call, String key) {
        OwnClaim own = mOwn.get(key);
        KeyEntry entry = mTable.entryOf(key).orElse(null);
        if (mStopped != null) {
            refuse(call, new ClaimUnavailableException("records can't be read by this version"));
        } else if (own != null) {
            decideByOwn(call, own);
        } else if (entry == null || entry.state() == KeyEntry.State.RELEASED) {
            decideNew(call, key);
        } else {
            decideByEntry(call, key, entry);
        }
    }

    private void decideByOwn(ClaimCall call, OwnClaim own) {
        String expected = own.call().fingerprint();
        if (!expected.equals(call.fingerprint())) {
            refuse(call, new KeyReusedException(expected, call.fingerprint()));
        } else if (own.outcome() instanceof CallOutcome.Answered answer) {
            mDecisions.add(new ClaimDecision.AnswerWith(call.id(), answer));
        } else if (own.outcome() != null) {
            refuse(call, new OutcomeUnknownException("its endpoint gave no answer"));
        } else {
            await(call, own.key());
        }
    }

    private void decideByEntry(ClaimCall call, String key, KeyEntry entry) {
        if (entry.state() == KeyEntry.State.EXPIRED) {
            refuse(call, new KeyExpiredException(mSettings.windowMilliseconds()));
        } else if (!entry.fingerprint().equals(call.fingerprint())) {
            refuse(call, new KeyReusedException(entry.fingerprint(), call.fingerprint()));
        } else if (entry.state() == KeyEntry.State.ANSWERED) {
            answer(call, entry.answer());
        } else if (entry.state() == KeyEntry.State.UNKNOWN) {
            refuse(call, new OutcomeUnknownException("its endpoint gave no answer"));
        } else if (now() - entry.readAtMilliseconds() >= mSettings.settleMilliseconds()) {
            refuse(call, new OutcomeUnknownException("its node recorded no outcome"));
        } else {
            await(call, key);
        }
    }

    private void decideNew(ClaimCall call, String key) {
        if (isTooOld(call.idempotencyKey())) {
            refuse(call, new KeyExpiredException(mSettings.windowMilliseconds()));
            return;
        }
        if (openCalls() >= mSettings.maximumCalls() || !mTable.hasRoom()) {
            refuse(call, new ClaimUnavailableException("too many calls are claimed"));
            return;
        }
        String id = mClaimPrefix + call.id() + CALL_END + ++mClaims;
        OwnClaim own = new OwnClaim(id, key, call, now() + mSettings.validityMilliseconds());
        mOwn.put(key, own);
        mOwnByCall.put(call.id(), own);
        mAppender.add(ClaimRecord.claim(id, key, call.fingerprint()));
        if (!mRules.claimsBeforeDispatch()) {
            own.dispatched();
            mDecisions.add(new ClaimDecision.Dispatch(call.id()));
        }
    }

    private boolean isTooOld(String idempotencyKey) {
        Optional<Long> created = KeyAge.createdMilliseconds(idempotencyKey);
        Optional<Long> logTime = mTable.logMilliseconds();
        return created.isPresent()
                && logTime.isPresent()
                && created.get() < logTime.get() - mSettings.windowMilliseconds();
    }

    private void await(ClaimCall call, String key) {
        if (openCalls() >= mSettings.maximumCalls()) {
            refuse(call, new CallInProgressException(0));
            return;
        }
        mWaiting.add(call, key, now() + mSettings.waitMilliseconds());
    }

    private void read(LogRecord position) {
        ClaimRecord record;
        try {
            record = ClaimRecords.read(position);
        } catch (IncompatibleClaimException failure) {
            stop(failure);
            return;
        }
        mNextOffset = position.offset() + 1;
        mAppender.read(record.id());
        mTable.apply(record, position, now());
        switch (record.type()) {
            case CLAIM -> claimRead(record);
            case RELEASE -> mWaiting.removeFirst(record.key()).ifPresent(call -> again(call));
            default -> outcomeRead(record);
        }
    }

    private void claimRead(ClaimRecord record) {
        if (!record.id().startsWith(mClaimPrefix)) {
            return;
        }
        OwnClaim own = mOwn.get(record.key());
        boolean live = own != null && own.id().equals(record.id());
        boolean won =
                mTable.entryOf(record.key())
                        .filter(entry -> entry.claim().equals(record.id()))
                        .filter(entry -> entry.state() == KeyEntry.State.CLAIMED)
                        .isPresent();
        if (won && (!live || own.state() == OwnClaim.State.PENDING)) {
            wonRead(record, live ? own : null);
        } else if (!won && live && own.state() == OwnClaim.State.PENDING) {
            forget(own);
            decide(own.call(), own.key());
            mWaiting.removeAll(own.key()).forEach(call -> decide(call, own.key()));
        }
    }

    private void wonRead(ClaimRecord record, OwnClaim own) {
        boolean callWaits = own != null && own.callWaits();
        long validUntil = own == null ? now() : own.validUntilMilliseconds();
        if (mRules.mayDispatch(callWaits, now(), validUntil)) {
            if (own != null) {
                own.dispatched();
            }
            mDecisions.add(new ClaimDecision.Dispatch(callOf(record.id())));
            return;
        }
        if (own != null) {
            forget(own);
            refuseLate(own.call());
        }
        mAppender.add(ClaimRecord.release(record.id(), record.key()));
    }

    private long callOf(String claim) {
        int end = claim.indexOf(CALL_END, mClaimPrefix.length());
        return Long.parseLong(claim.substring(mClaimPrefix.length(), end));
    }

    private void outcomeRead(ClaimRecord record) {
        OwnClaim own = mOwn.get(record.key());
        if (own != null && own.id().equals(record.claim())) {
            forget(own);
        }
        mWaiting.removeAll(record.key()).forEach(call -> decide(call, record.key()));
    }

    private void again(ClaimCall call) {
        decide(call, call.keyDigest());
    }

    /** Ends the wait for a claim that was not read back in time. */
    private void abandon(OwnClaim own) {
        mAppender.withdraw(own.id());
        forget(own);
        boolean another =
                mTable.entryOf(own.key())
                        .filter(entry -> entry.state() != KeyEntry.State.RELEASED)
                        .isPresent();
        if (another) {
            decide(own.call(), own.key());
            return;
        }
        refuseLate(own.call());
        mWaiting.removeAll(own.key()).forEach(this::refuseLate);
    }

    private void refuseLate(ClaimCall call) {
        refuse(call, new ClaimUnavailableException("the log did not show the claim in time"));
    }

    private void forget(OwnClaim own) {
        mOwn.remove(own.key());
        mOwnByCall.remove(own.call().id());
    }

    private void answer(ClaimCall call, ClaimRecord record) {
        if (!record.hasAnswer()) {
            refuse(call, new OutcomeUnknownException("its answer is not kept"));
            return;
        }
        CallOutcome.Answered answer =
                new CallOutcome.Answered(record.status(), record.headers(), record.body());
        mDecisions.add(new ClaimDecision.AnswerWith(call.id(), answer));
    }

    private ClaimRecord outcomeRecord(OwnClaim own, CallOutcome outcome) {
        if (outcome instanceof CallOutcome.Answered answer) {
            int maximum = mSettings.maximumAnswerBytes();
            return ClaimRecord.answered(own.id(), own.key(), answer, maximum);
        }
        return ClaimRecord.unknown(own.id(), own.key());
    }

    private void refuse(ClaimCall call, FoxtailridgeException reason) {
        mDecisions.add(new ClaimDecision.Refuse(call.id(), reason));
    }

    private void stop(IncompatibleClaimException failure) {
        mStopped = failure;
    }

    private List<ClaimDecision> decisions() {
        mAppender.next(now()).ifPresent(mDecisions::add);
        List<ClaimDecision> decided = mDecisions;
        mDecisions = new ArrayList<>();
        return decided;
    }

    private long now() {
        return mClock.millis();
    }
}
