package org.foxtailridge.node.duty;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.clients.log.LogService;
import org.foxtailridge.configuration.fold.ConfigurationState;
import org.foxtailridge.configuration.publish.SnapshotSchedule;
import org.foxtailridge.configuration.record.RecordCodec;

/** Appends snapshots of the configuration while this node holds the duty. */
final class SnapshotPublisher {
    private static final Logger LOGGER = LogManager.getLogger(SnapshotPublisher.class);
    private static final String STREAM = "configuration";
    private static final long MAXIMUM_RECORDS = 10_000;

    private final LogService mLog;
    private final LeasesDuty mLeases;
    private final Clock mClock;
    private final SnapshotSchedule mSchedule;
    private final AtomicBoolean mAppending = new AtomicBoolean();

    /**
     * Creates a publisher.
     *
     * @param retention time for which the log keeps records
     */
    SnapshotPublisher(LogService log, LeasesDuty leases, Clock clock, Duration retention) {
        mLog = log;
        mLeases = leases;
        mClock = clock;
        mSchedule = new SnapshotSchedule(retention, MAXIMUM_RECORDS);
    }

    /** Appends a snapshot of the state in force when one is due. */
    void tick(ConfigurationState state) {
        Instant now = mClock.instant();
        boolean holdsDuty =
                mLeases.holding()
                        .heldOf(DutyNames.SNAPSHOT)
                        .filter(lease -> now.isBefore(lease.validUntil()))
                        .isPresent();
        if (!holdsDuty || !mSchedule.isDue(state, now)) {
            return;
        }
        if (mAppending.compareAndSet(false, true)) {
            append(state, now);
        }
    }

    private void append(ConfigurationState state, Instant now) {
        String payload = RecordCodec.write(state.toSnapshot(UUID.randomUUID().toString()));
        mSchedule.onAppended(state, now);
        mLog.append(STREAM, List.of(payload))
                .whenComplete(
                        (offset, failure) -> {
                            mAppending.set(false);
                            if (failure != null) {
                                LOGGER.warn("a snapshot of the configuration was not appended");
                            }
                        });
    }
}
