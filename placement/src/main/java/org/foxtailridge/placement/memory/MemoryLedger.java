package org.foxtailridge.placement.memory;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.foxtailridge.placement.engine.Artifact;
import org.foxtailridge.placement.engine.LoadReport;
import org.foxtailridge.placement.engine.Resident;

/**
 * Accelerator memory of one endpoint: what is held and what orders may still take.
 *
 * <p>An artifact is charged once, with the largest of what an order confirmed, what the engine
 * reported and what an order in flight may take. A confirmed artifact stays charged until its
 * unload is confirmed or the engine restarts, also when a report does not show it: reports lag. A
 * report adds what it shows, and memory in use that it does not explain. A restart clears what was
 * confirmed and reported, but not what orders in flight may take.
 *
 * <pre>{@code
 * MemoryLedger ledger = new MemoryLedger(80_000_000_000L);
 * if (ledger.fits(artifact, bytes)) {
 *     ledger.charge("order-1", artifact, bytes);
 * }
 * ledger.confirmLoad("order-1", incarnation);
 * }</pre>
 */
public class MemoryLedger {
    private final Map<String, Charge> mInFlight = new HashMap<>();
    private final Map<String, LateCharge> mLate = new HashMap<>();
    private final Map<Artifact, Long> mConfirmed = new HashMap<>();
    private final Map<Artifact, Long> mReported = new HashMap<>();
    private long mMemoryBytes;
    private long mIncarnation;
    private long mReportedAsOf = Long.MIN_VALUE;
    private long mUnexplainedBytes;
    private ToLongFunction<Artifact> mWorkingBytes = artifact -> 0;

    /** Creates a ledger with nothing charged. */
    public MemoryLedger(long memoryBytes) {
        memoryBytes(memoryBytes);
    }

    /** Sets the memory of the accelerator. */
    public void memoryBytes(long memoryBytes) {
        if (memoryBytes < 0) {
            throw new IllegalArgumentException(
                    "memoryBytes must not be negative but was " + memoryBytes);
        }
        mMemoryBytes = memoryBytes;
    }

    /** Sets how much working memory a reported artifact takes beside its weights. */
    public void workingBytes(ToLongFunction<Artifact> workingBytes) {
        mWorkingBytes = workingBytes;
    }

    /** Charges what an order may take. The same order again replaces its charge. */
    public void charge(String orderId, Artifact artifact, long bytes) {
        mInFlight.put(orderId, new Charge(artifact, bytes));
        mLate.remove(orderId);
    }

    /** Removes the charge of an order that takes no memory any more. */
    public void discharge(String orderId) {
        mInFlight.remove(orderId);
    }

    /** Turns the charge of an order into a held artifact; in an older incarnation drops it. */
    public void confirmLoad(String orderId, long incarnation) {
        Charge charge = mInFlight.remove(orderId);
        enter(incarnation);
        if (charge != null && incarnation == mIncarnation) {
            mConfirmed.merge(charge.artifact(), charge.bytes(), Math::max);
        }
    }

    /**
     * Frees an artifact whose unload the engine confirmed; in an older incarnation does nothing.
     */
    public void confirmUnload(Artifact artifact, long incarnation) {
        enter(incarnation);
        if (incarnation == mIncarnation) {
            mConfirmed.remove(artifact);
            mReported.remove(artifact);
        }
    }

    /**
     * Notes that a transmission of an ended order may still arrive. It can't be executed in the
     * incarnation in which the order ended, but is charged in every later one.
     */
    public void mayArriveLate(String orderId, Artifact artifact, long bytes, long incarnation) {
        mLate.put(orderId, new LateCharge(new Charge(artifact, bytes), incarnation));
    }

    /** Drops the note of an order that can't arrive any more. */
    public void forgetLate(String orderId) {
        mLate.remove(orderId);
    }

    /** Enters an incarnation of the engine; what older ones held is gone. */
    public void enter(long incarnation) {
        if (incarnation <= mIncarnation) {
            return;
        }
        mIncarnation = incarnation;
        mConfirmed.clear();
        mReported.clear();
        mReportedAsOf = Long.MIN_VALUE;
        mUnexplainedBytes = 0;
    }

    /** Applies a load report; one that is older than another already applied is ignored. */
    public void report(LoadReport report) {
        enter(report.incarnation());
        if (report.incarnation() < mIncarnation || report.asOfMilliseconds() < mReportedAsOf) {
            return;
        }
        mReportedAsOf = report.asOfMilliseconds();
        mReported.clear();
        long explained = 0;
        for (Resident resident : report.residents()) {
            long bytes = resident.bytes() + mWorkingBytes.applyAsLong(resident.artifact());
            mReported.put(resident.artifact(), bytes);
            explained += Math.max(bytes, chargeOf(resident.artifact()));
        }
        mUnexplainedBytes = Math.max(0, report.usedBytes() - explained);
    }

    /** Returns the bytes that are held or may be taken. */
    public long chargedBytes() {
        Set<Artifact> artifacts = new HashSet<>(mConfirmed.keySet());
        artifacts.addAll(mReported.keySet());
        mInFlight.values().forEach(charge -> artifacts.add(charge.artifact()));
        mLate.values().stream()
                .filter(this::isDue)
                .forEach(late -> artifacts.add(late.charge().artifact()));
        long bytes = mUnexplainedBytes;
        for (Artifact artifact : artifacts) {
            bytes += chargeOf(artifact);
        }
        return bytes;
    }

    /** Returns the bytes that nothing is charged for; negative when the engine holds too much. */
    public long freeBytes() {
        return mMemoryBytes - chargedBytes();
    }

    /** Returns whether an artifact can be loaded without overcommitment. */
    public boolean fits(Artifact artifact, long bytes) {
        return Math.max(0, bytes - chargeOf(artifact)) <= freeBytes();
    }

    /** Returns the bytes charged for one artifact. */
    public long chargeOf(Artifact artifact) {
        long bytes =
                Math.max(
                        mConfirmed.getOrDefault(artifact, 0L),
                        mReported.getOrDefault(artifact, 0L));
        for (Charge charge : mInFlight.values()) {
            bytes = Math.max(bytes, charge.artifact().equals(artifact) ? charge.bytes() : 0);
        }
        for (LateCharge late : mLate.values()) {
            boolean counts = isDue(late) && late.charge().artifact().equals(artifact);
            bytes = Math.max(bytes, counts ? late.charge().bytes() : 0);
        }
        return bytes;
    }

    /** Returns the memory of the accelerator. */
    public long memoryBytes() {
        return mMemoryBytes;
    }

    /** Returns the incarnation that the ledger describes. */
    public long incarnation() {
        return mIncarnation;
    }

    private boolean isDue(LateCharge late) {
        return late.endedIn() < mIncarnation;
    }

    private record Charge(Artifact artifact, long bytes) {}

    private record LateCharge(Charge charge, long endedIn) {}
}
