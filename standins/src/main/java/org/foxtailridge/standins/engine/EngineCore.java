package org.foxtailridge.standins.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.foxtailridge.standins.time.EventLoop;

/** State of an engine from one start to the next crash. Used by the engine's loop only. */
final class EngineCore {
    /** What a request was answered. */
    enum Admission {
        /** The attempt has been taken on. */
        ACCEPTED,
        /** The model, version or adapter can't serve. */
        NOT_RESIDENT,
        /** Too many attempts wait. */
        FULL,
        /** The attempt needs more KV memory than its model has. */
        TOO_LONG
    }

    private final EngineSettings mSettings;
    private final EventLoop mLoop;
    private final long mIncarnation;
    private final Residents mResidents;
    private final PrefixCache mPrefixCache;
    private final ContinuousBatch mBatch;
    private final Orders mOrders;
    private final Runnable mCrash;
    private Instant mNextStepAt = Instant.MAX;
    private LoadReport mReport;
    private boolean mLeaving;
    private boolean mDead;

    EngineCore(
            EngineSettings settings,
            EventLoop loop,
            WeightLoader loader,
            long incarnation,
            Runnable crash) {
        mSettings = settings;
        mLoop = loop;
        mIncarnation = incarnation;
        mCrash = crash;
        mResidents = new Residents(settings.memoryBytes());
        mPrefixCache = new PrefixCache(settings);
        mBatch = new ContinuousBatch(settings, mResidents, mPrefixCache);
        mOrders = new Orders(settings, mResidents, loader, loop, mBatch::uses);
        settings.preloaded().forEach(this::preload);
        mReport = takeReport();
        renewReportLater();
    }

    long incarnation() {
        return mIncarnation;
    }

    Orders orders() {
        return mOrders;
    }

    PrefixCache prefixCache() {
        return mPrefixCache;
    }

    long peakUsedBytes() {
        return mResidents.peakUsedBytes();
    }

    void setLeaving(boolean leaving) {
        mLeaving = leaving;
    }

    /** Returns the load report, as old as the lag of the settings at most. */
    LoadReport report() {
        return mSettings.loadReportLag().isZero() ? takeReport() : mReport;
    }

    /** Returns the version that would serve a request; empty when none can. */
    Optional<String> servingVersion(CompletionRequest request) {
        return mResidents.servingVersion(request);
    }

    /** Returns whether an attempt could be taken on. */
    Admission admission(Attempt attempt) {
        if (servingVersion(attempt.request()).isEmpty()) {
            return Admission.NOT_RESIDENT;
        }
        long needed = mBatch.kvBytesOf(attempt);
        if (needed > mResidents.workingBytes(attempt.request().model())) {
            return Admission.TOO_LONG;
        }
        return mBatch.isFull() ? Admission.FULL : Admission.ACCEPTED;
    }

    void add(Attempt attempt) {
        mBatch.add(attempt);
        wake();
    }

    void cancel(Attempt attempt) {
        if (!attempt.state().isActive()) {
            return;
        }
        mBatch.remove(attempt);
        attempt.end(Attempt.State.CANCELLED);
        attempt.notifyListener();
        mOrders.finishUnloads();
        wake();
    }

    /** Ends every attempt as failed; the core is not used afterwards. */
    void die() {
        mDead = true;
        for (Attempt attempt : mBatch.all()) {
            attempt.end(Attempt.State.FAILED);
            attempt.notifyListener();
        }
    }

    /** Goes on with the batch now. */
    void wake() {
        if (!mNextStepAt.equals(Instant.MIN)) {
            mNextStepAt = Instant.MIN;
            mLoop.execute(this::step);
        }
    }

    private void step() {
        if (mDead) {
            return;
        }
        mNextStepAt = Instant.MAX;
        List<Attempt> grown = mBatch.step(mLoop.clock().instant());
        if (grown.stream().anyMatch(EngineCore::isMarked)) {
            mCrash.run();
            return;
        }
        grown.forEach(Attempt::notifyListener);
        mOrders.finishUnloads();
        mBatch.nextTokenAt().ifPresent(this::stepAt);
    }

    private void stepAt(Instant due) {
        if (!due.isBefore(mNextStepAt)) {
            return;
        }
        Duration delay = Duration.between(mLoop.clock().instant(), due);
        if (delay.isNegative() || delay.isZero()) {
            wake();
            return;
        }
        mNextStepAt = due;
        mLoop.after(delay, () -> stepIfDue(due));
    }

    private void stepIfDue(Instant due) {
        if (mNextStepAt.equals(due)) {
            step();
        }
    }

    private static boolean isMarked(Attempt attempt) {
        String marker = attempt.faults().crashMarker();
        return marker != null && attempt.request().promptText().contains(marker);
    }

    private void preload(Preloaded entry) {
        String kind = entry.model() == null ? Resident.MODEL : Resident.ADAPTER;
        Resident resident =
                new Resident(
                        kind,
                        entry.name(),
                        entry.model(),
                        entry.version(),
                        entry.bytes(),
                        Resident.RESIDENT);
        if (!mResidents.charge(resident, entry.workingBytes())) {
            throw new PreloadTooLargeException(mSettings.memoryBytes(), entry);
        }
    }

    private LoadReport takeReport() {
        return new LoadReport(
                mIncarnation,
                mLoop.clock().millis(),
                mBatch.running(),
                mBatch.waiting(),
                mResidents.memoryBytes(),
                mResidents.usedBytes(),
                mResidents.kvUsedBytes(),
                mOrders.role(),
                mLeaving,
                mOrders.highestFencing(),
                mResidents.entries());
    }

    private void renewReportLater() {
        if (mSettings.loadReportLag().isZero()) {
            return;
        }
        mLoop.after(
                mSettings.loadReportLag(),
                () -> {
                    if (!mDead) {
                        mReport = takeReport();
                        renewReportLater();
                    }
                });
    }
}
