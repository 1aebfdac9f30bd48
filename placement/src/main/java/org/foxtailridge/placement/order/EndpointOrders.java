package org.foxtailridge.placement.order;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.foxtailridge.placement.engine.Artifact;
import org.foxtailridge.placement.engine.LoadReport;
import org.foxtailridge.placement.engine.Resident;
import org.foxtailridge.placement.engine.ResidentState;

/**
 * The orders of one endpoint while this node holds the duty.
 *
 * <p>An order is charged to the ledger, appended to the log, sent once its record has been read
 * back and admitted, and stays charged until the engine says how it ended. A new holder first
 * appends a record that makes later intents of former holders void, and inherits every order
 * without an end; it asks the engine about them and sends an order again, under the same
 * identifier, when the engine has not seen it and might still receive it. Nothing is sent unless
 * the lease is good at that instant.
 *
 * <pre>{@code
 * orders.tick(); // takes the endpoint over, later sends and asks
 * Admission admission = history.apply(record, milliseconds);
 * orders.recorded(record, admission);
 * orders.request(request);
 * orders.answered(orderId, OrderAnswer.RUNNING);
 * orders.reported(); // after the history has applied a load report
 * }</pre>
 */
public class EndpointOrders {
    private static final int REPORTS_TO_CONFIRM = 2;
    private static final int MOST_DOUBLINGS = 5;

    private final String mEndpoint;
    private final EndpointHistory mHistory;
    private final DutyLeases mLeases;
    private final OrderOutbox mOutbox;
    private final UnloadGuard mGuard;
    private final OrderJournal mJournal;
    private final OrderSettings mSettings;
    private final Clock mClock;
    private final Map<String, TrackedOrder> mTracked = new LinkedHashMap<>();
    private long mFencing;
    private boolean mHeld;
    private long mTakenIncarnation;
    private Instant mTakenAt = Instant.MIN;

    /** Creates the state machine of one endpoint; it holds nothing until a lease is good. */
    public EndpointOrders(
            EndpointHistory history,
            DutyLeases leases,
            OrderOutbox outbox,
            UnloadGuard guard,
            Supplier<WeightStoreLimits> limits,
            OrderSettings settings,
            Clock clock) {
        mHistory = Objects.requireNonNull(history, "history");
        mEndpoint = history.endpoint();
        mLeases = Objects.requireNonNull(leases, "leases");
        mOutbox = Objects.requireNonNull(outbox, "outbox");
        mGuard = Objects.requireNonNull(guard, "guard");
        mJournal = new OrderJournal(mEndpoint, outbox, limits);
        mSettings = Objects.requireNonNull(settings, "settings");
        mClock = Objects.requireNonNull(clock, "clock");
    }

    /** Returns whether this node holds the duty and has read its takeover back. */
    public boolean isHolding() {
        return mHeld && goodLease().isPresent();
    }

    /** Asks for an order; it is sent after its record has been read back and admitted. */
    public OrderRequest.Answer request(OrderRequest request) {
        OrderRequest.Answer answer = answerTo(request);
        if (answer != OrderRequest.Answer.ACCEPTED) {
            return answer;
        }
        Order order =
                new Order(
                        mEndpoint + "-" + mFencing + "-" + mJournal.nextNumber(),
                        mEndpoint,
                        mFencing,
                        request.action(),
                        request.artifact(),
                        request.bytes(),
                        request.workingBytes());
        TrackedOrder tracked =
                new TrackedOrder(
                        order, request.witnesses(), TrackedOrder.Stage.INTENDED, mClock.instant());
        mTracked.put(order.orderId(), tracked);
        chargeBeforeRecord(order);
        mJournal.intended(mFencing, tracked);
        return answer;
    }

    /** Does what is due: takes the endpoint over, sends, asks and repeats. Call every 100 ms. */
    public void tick() {
        Optional<DutyLease> lease = goodLease();
        if (lease.isEmpty() || lease.get().fencing() != mFencing) {
            letGo();
        }
        if (lease.isEmpty() || mHistory.report().isEmpty()) {
            return;
        }
        mFencing = lease.get().fencing();
        if (isTakeoverDue()) {
            appendTaken();
        }
        if (mHeld) {
            new ArrayList<>(mTracked.values()).forEach(tracked -> advance(tracked, lease.get()));
        }
    }

    /** Notes a record of this endpoint after the history has applied it. */
    public void recorded(OrderRecord record, Admission admission) {
        if (record.fencing() != mFencing || !record.endpoint().equals(mEndpoint)) {
            return;
        }
        if (record instanceof OrderRecord.EndpointTaken) {
            mHeld = mHeld || admission.isAdmitted();
            inherit();
        } else if (record instanceof OrderRecord.OrderResolved resolved) {
            if (admission.isAdmitted()) {
                mTracked.remove(resolved.order().orderId());
            }
        } else if (record instanceof OrderRecord.OrderIntended intended) {
            intended(intended, admission);
        }
    }

    /**
     * Notes a load report after the history has applied it. An engine is polled one report after
     * the other, so the second report after an answer was asked for after that answer: if it is of
     * the same incarnation, so was the answer.
     */
    public void reported() {
        for (TrackedOrder tracked : new ArrayList<>(mTracked.values())) {
            if (tracked.isAt(TrackedOrder.Stage.CONFIRMING)) {
                confirm(tracked);
            }
        }
    }

    /** Notes the answer to a transmission of an order. */
    public void answered(String orderId, OrderAnswer answer) {
        TrackedOrder tracked = mTracked.get(orderId);
        if (tracked == null || !tracked.isAwaited()) {
            return;
        }
        if (answer != OrderAnswer.LOST && tracked.mAskedIn != incarnation()) {
            unresolved(tracked);
            return;
        }
        switch (answer) {
            case LOST -> lost(tracked);
            case OLD_FENCING -> {
                tracked.mFenced = true;
                unresolved(tracked);
            }
            case NO_MEMORY -> resolve(tracked, OrderOutcome.FAILED);
            default -> stateKnown(tracked, answer);
        }
    }

    /**
     * Notes the answer to a query of an order's state.
     *
     * @param orderId identifier of the order
     * @param query number of the query; the answer to an older one is ignored
     * @param answer state of the order, or {@link OrderAnswer#LOST}
     */
    public void stateOf(String orderId, long query, OrderAnswer answer) {
        TrackedOrder tracked = mTracked.get(orderId);
        if (tracked == null || !tracked.isAwaited() || tracked.mQuery != query) {
            return;
        }
        if (tracked.mAskedIn != incarnation()) {
            unresolved(tracked);
            return;
        }
        if (answer == OrderAnswer.UNKNOWN) {
            unknown(tracked);
        } else {
            stateKnown(tracked, answer);
        }
    }

    /** Returns whether an order for the artifact has not ended. */
    public boolean isConcerned(Artifact artifact) {
        return mHistory.isConcerned(artifact)
                || mTracked.values().stream()
                        .anyMatch(tracked -> tracked.mOrder.artifact().equals(artifact));
    }

    /** Returns the lease of the duty, if it is good at this instant. */
    Optional<DutyLease> goodLease() {
        return mLeases.ordersOf(mEndpoint).filter(lease -> lease.isGoodAt(mClock.instant()));
    }

    /** Returns how many reports after an answer confirm a load. */
    int reportsToConfirm() {
        return REPORTS_TO_CONFIRM;
    }

    /** Notes that a transmission had no answer. */
    void lost(TrackedOrder tracked) {
        tracked.mMayArriveLate = true;
        unresolved(tracked);
    }

    /** Records the end of an order, again and again until the record is read back. */
    void resolve(TrackedOrder tracked, OrderOutcome outcome) {
        tracked.moveTo(TrackedOrder.Stage.RESOLVING);
        tracked.mOutcome = outcome;
        tracked.mEndedIn = incarnation();
        appendResolution(tracked);
    }

    /** Charges an order before its record is appended. */
    void chargeBeforeRecord(Order order) {
        if (order.isLoad()) {
            mHistory.ledger().charge(order.orderId(), order.artifact(), order.chargeBytes());
        }
    }

    /** Decides about an order that the engine has not seen in this incarnation. */
    void unknown(TrackedOrder tracked) {
        if (tracked.mFenced || mHistory.refuses(tracked.mOrder)) {
            resolve(tracked, OrderOutcome.VOID);
        } else if (!tracked.mMayArriveLate) {
            resolve(tracked, OrderOutcome.FAILED);
        } else if (isRoomFor(tracked.mOrder) && isRepeatDue(tracked)) {
            tracked.moveTo(TrackedOrder.Stage.INTENDED);
            tracked.mAppendedAt = mClock.instant();
            mJournal.intended(mFencing, tracked);
        }
    }

    private OrderRequest.Answer answerTo(OrderRequest request) {
        if (!isHolding()) {
            return OrderRequest.Answer.NOT_HELD;
        }
        if (isConcerned(request.artifact())) {
            return OrderRequest.Answer.CONFLICT;
        }
        if (mTracked.size() >= mSettings.maximumUnresolved()) {
            return OrderRequest.Answer.TOO_MANY;
        }
        long bytes = request.bytes() + request.workingBytes();
        if (request.action().isLoad() && !mHistory.ledger().fits(request.artifact(), bytes)) {
            return OrderRequest.Answer.NO_MEMORY;
        }
        return OrderRequest.Answer.ACCEPTED;
    }

    private void letGo() {
        mHeld = false;
        mTakenAt = Instant.MIN;
        new ArrayList<>(mTracked.values()).forEach(this::forget);
    }

    /** Returns whether everything charged fits, so that the order may be sent. */
    private boolean isRoomFor(Order order) {
        return !order.isLoad() || mHistory.ledger().freeBytes() >= 0;
    }

    /** Returns whether the order may be sent again; the time between repeats doubles. */
    private boolean isRepeatDue(TrackedOrder tracked) {
        Instant now = mClock.instant();
        if (now.isBefore(tracked.mRepeatAt)) {
            return false;
        }
        Duration pause = mSettings.queryInterval().multipliedBy(1L << tracked.mRepeats);
        tracked.mRepeats = Math.min(tracked.mRepeats + 1, MOST_DOUBLINGS);
        tracked.mRepeatAt = now.plus(pause);
        return true;
    }

    private void confirm(TrackedOrder tracked) {
        tracked.mReportsSinceDone++;
        if (tracked.mAskedIn != incarnation()) {
            unresolved(tracked);
        } else if (tracked.mReportsSinceDone >= reportsToConfirm()) {
            resolve(tracked, OrderOutcome.DONE);
        }
    }

    private void unresolved(TrackedOrder tracked) {
        tracked.moveTo(TrackedOrder.Stage.UNRESOLVED);
    }

    private boolean isTakeoverDue() {
        boolean onRecord = mHeld && mHistory.incarnation() >= incarnation();
        Duration interval = onRecord ? mSettings.carryInterval() : mSettings.appendTimeout();
        boolean restarted = incarnation() > mTakenIncarnation;
        return restarted
                || mTakenAt.equals(Instant.MIN)
                || !mClock.instant().isBefore(mTakenAt.plus(interval));
    }

    private void appendTaken() {
        mTakenAt = mClock.instant();
        mTakenIncarnation = incarnation();
        mJournal.taken(mFencing, mTakenIncarnation, servingModels(), mHistory.unresolved());
    }

    private List<Artifact> servingModels() {
        return mHistory.report().orElseThrow().residents().stream()
                .filter(resident -> resident.state() == ResidentState.RESIDENT)
                .map(Resident::artifact)
                .filter(Artifact::isModel)
                .toList();
    }

    private void inherit() {
        for (Order order : mHistory.unresolved()) {
            mTracked.computeIfAbsent(order.orderId(), orderId -> inherited(order));
        }
    }

    private TrackedOrder inherited(Order order) {
        TrackedOrder tracked =
                new TrackedOrder(order, List.of(), TrackedOrder.Stage.UNRESOLVED, mClock.instant());
        tracked.mMayArriveLate = true;
        tracked.mWasSent = true;
        tracked.mAskedAt = Instant.EPOCH;
        return tracked;
    }

    private void intended(OrderRecord.OrderIntended record, Admission admission) {
        TrackedOrder tracked = mTracked.get(record.order().orderId());
        if (tracked == null && admission.isAdmitted()) {
            abandonForgotten(record);
        }
        if (tracked == null || !tracked.isAt(TrackedOrder.Stage.INTENDED)) {
            return;
        }
        if (admission.isAdmitted()) {
            Duration delay = Duration.ofMillis(admission.delayMilliseconds());
            tracked.moveTo(TrackedOrder.Stage.RECORDED);
            tracked.mSendAt = mClock.instant().plus(delay);
            tracked.mSendBefore = tracked.mAppendedAt.plus(delay).plus(mSettings.sendWindow());
        } else if (tracked.mWasSent) {
            unresolved(tracked);
        } else {
            forget(tracked);
        }
    }

    /** Ends an order whose record came after this holder had given it up, never having sent it. */
    private void abandonForgotten(OrderRecord.OrderIntended record) {
        TrackedOrder tracked =
                new TrackedOrder(
                        record.order(),
                        record.witnesses(),
                        TrackedOrder.Stage.RECORDED,
                        mClock.instant());
        mTracked.put(record.order().orderId(), tracked);
        resolve(tracked, OrderOutcome.ABANDONED);
    }

    private void forget(TrackedOrder tracked) {
        mTracked.remove(tracked.mOrder.orderId());
        if (!mHistory.isUnresolved(tracked.mOrder.orderId())) {
            mHistory.ledger().discharge(tracked.mOrder.orderId());
        }
    }

    private void advance(TrackedOrder tracked, DutyLease lease) {
        switch (tracked.mStage) {
            case INTENDED -> expire(tracked);
            case RECORDED -> sendIfDue(tracked, lease);
            case RESOLVING -> repeatResolution(tracked);
            case RUNNING, UNRESOLVED -> queryIfDue(tracked);
            default -> {}
        }
    }

    private void expire(TrackedOrder tracked) {
        if (isBefore(tracked.mAppendedAt, mSettings.appendTimeout())) {
            return;
        }
        if (tracked.mWasSent) {
            unresolved(tracked);
        } else {
            forget(tracked);
        }
    }

    private void sendIfDue(TrackedOrder tracked, DutyLease lease) {
        Instant now = mClock.instant();
        if (now.isBefore(tracked.mSendAt)) {
            return;
        }
        if (now.isAfter(tracked.mSendBefore) || !isSafe(tracked)) {
            giveUpSending(tracked);
        } else {
            tracked.moveTo(TrackedOrder.Stage.SENT);
            tracked.mWasSent = true;
            tracked.mAskedAt = now;
            tracked.mAskedIn = incarnation();
            mOutbox.send(tracked.mOrder, lease.until());
        }
    }

    private boolean isSafe(TrackedOrder tracked) {
        return tracked.mOrder.isLoad()
                ? isRoomFor(tracked.mOrder)
                : mGuard.mayUnload(tracked.mOrder, tracked.mWitnesses);
    }

    private void giveUpSending(TrackedOrder tracked) {
        if (tracked.mWasSent) {
            unresolved(tracked);
        } else {
            resolve(tracked, OrderOutcome.ABANDONED);
        }
    }

    private void queryIfDue(TrackedOrder tracked) {
        if (!isBefore(tracked.mAskedAt, mSettings.queryInterval())) {
            tracked.mAskedAt = mClock.instant();
            tracked.mAskedIn = incarnation();
            tracked.mQuery = mJournal.nextNumber();
            mOutbox.query(mEndpoint, tracked.mOrder.orderId(), tracked.mQuery);
        }
    }

    private void repeatResolution(TrackedOrder tracked) {
        if (!isBefore(tracked.mAppendedAt, mSettings.appendTimeout())) {
            appendResolution(tracked);
        }
    }

    private boolean isBefore(Instant start, Duration interval) {
        return mClock.instant().isBefore(start.plus(interval));
    }

    private void stateKnown(TrackedOrder tracked, OrderAnswer answer) {
        switch (answer) {
            case RUNNING -> tracked.mStage = TrackedOrder.Stage.RUNNING;
            case DONE -> done(tracked);
            case FAILED -> resolve(tracked, OrderOutcome.FAILED);
            default -> tracked.mQuery = 0;
        }
    }

    private void done(TrackedOrder tracked) {
        if (tracked.mOrder.isLoad()) {
            tracked.mReportsSinceDone = 0;
            tracked.moveTo(TrackedOrder.Stage.CONFIRMING);
        } else {
            resolve(tracked, OrderOutcome.DONE);
        }
    }

    private void appendResolution(TrackedOrder tracked) {
        tracked.mAppendedAt = mClock.instant();
        mJournal.resolved(mFencing, tracked);
    }

    private long incarnation() {
        return mHistory.report().map(LoadReport::incarnation).orElse(0L);
    }
}
