package org.foxtailridge.execution.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.protocol.quarantine.QuarantineMessage;

/** Nodes, endpoints and callers, with messages that are lost, late and doubled. */
final class QuarantineFleet {
    static final Fingerprint CRASHING = fingerprint("crashing");
    private static final int ENDPOINTS = 8;
    private static final int INNOCENTS = 4;
    private static final int STEP_MILLISECONDS = 20;
    private static final int STEPS = 300;
    private static final int LARGEST_DELAY_MILLISECONDS = 150;

    private final ManualClock mClock = ManualClock.at(Instant.ofEpochSecond(1000));
    private final UniformRandomProvider mRandom;
    private final int mLossPercent;
    private final int mCrashCallers;
    private final List<String> mNames = new ArrayList<>();
    private final Map<String, Quarantine> mNodes = new LinkedHashMap<>();
    private final Map<String, Long> mPausedUntil = new HashMap<>();
    private final List<Mail> mMail = new ArrayList<>();
    private final Map<String, Run> mRuns = new LinkedHashMap<>();
    private final long[] mIncarnations = new long[ENDPOINTS];
    private final long[] mUpFrom = new long[ENDPOINTS];
    private final List<Death> mDeaths = new ArrayList<>();
    private final Map<Fingerprint, Set<EndpointStart>> mExposed = new HashMap<>();
    private int mCrashes;
    private int mNextRun;
    private int mFinishedInnocents;
    private int mRefusedCrashes;

    QuarantineFleet(
            long seed,
            QuarantineSettings settings,
            PermissionRule rule,
            int lossPercent,
            int crashCallers) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mLossPercent = lossPercent;
        mCrashCallers = crashCallers;
        int nodes = 2 + mRandom.nextInt(3);
        for (int index = 0; index < nodes; index++) {
            mNames.add("vm-" + index);
        }
        for (String name : mNames) {
            Quarantine node = new Quarantine(mClock, name, settings, new Outbox(name), rule);
            node.nodesChanged(mNames);
            mNodes.put(name, node);
        }
        mClock.advance(Duration.ofSeconds(10));
    }

    static Fingerprint fingerprint(String body) {
        return Fingerprint.of("account", "lots", body.getBytes(StandardCharsets.UTF_8));
    }

    /** Runs the callers, then lets everything end. Returns the crashes. */
    int run() {
        for (int step = 0; step < STEPS; step++) {
            if (step < STEPS / 2) {
                call();
            }
            advance();
            assertThat(mCrashes).as("endpoints lost to one request").isLessThanOrEqualTo(2);
        }
        for (int step = 0; step < STEPS && !mRuns.isEmpty(); step++) {
            advance();
        }
        assertThat(mRuns).as("nothing waits for ever").isEmpty();
        checkQuarantine();
        return mCrashes;
    }

    int finishedInnocents() {
        return mFinishedInnocents;
    }

    private void checkQuarantine() {
        if (mCrashes < 2 || mLossPercent > 0) {
            return;
        }
        for (Quarantine node : mNodes.values()) {
            assertThat(node.isQuarantined(CRASHING)).as("known to all nodes").isTrue();
        }
        assertThat(mRefusedCrashes).isPositive();
    }

    private void call() {
        long crashing = mRuns.values().stream().filter(Run::isCrashing).count();
        if (crashing < mCrashCallers && mRandom.nextInt(3) == 0) {
            admit(CRASHING);
        }
        if (mRandom.nextInt(4) == 0) {
            admit(fingerprint("innocent-" + mRandom.nextInt(INNOCENTS)));
        }
        if (mRandom.nextInt(60) == 0) {
            long until = mClock.millis() + mRandom.nextInt(800);
            mPausedUntil.put(mNames.get(mRandom.nextInt(mNames.size())), until);
        }
    }

    private void admit(Fingerprint fingerprint) {
        String name = mNames.get(mRandom.nextInt(mNames.size()));
        if (isPaused(name)) {
            return;
        }
        String runId = "run-" + mNextRun++;
        mRuns.put(runId, new Run(runId, name, fingerprint));
        mNodes.get(name).admit(runId, fingerprint);
    }

    private void advance() {
        mClock.advance(Duration.ofMillis(STEP_MILLISECONDS));
        deliverMail();
        for (String name : mNames) {
            if (!isPaused(name)) {
                mNodes.get(name).tick();
            }
        }
        tellDeaths();
        for (Run run : List.copyOf(mRuns.values())) {
            if (!isPaused(run.mNode)) {
                progress(run);
            }
        }
    }

    private void progress(Run run) {
        if (run.mPermitted && run.mEndpoint < 0) {
            place(run);
        } else if (run.mEndpoint >= 0
                && mClock.millis() >= run.mEndsAt
                && mRuns.containsKey(run.mId)) {
            if (run.isCrashing()) {
                crash(run.mEndpoint);
            } else {
                mRuns.remove(run.mId);
                mFinishedInnocents++;
                mNodes.get(run.mNode).finished(run.mId);
            }
        }
    }

    private void place(Run run) {
        int endpoint = mRandom.nextInt(ENDPOINTS);
        boolean busy = mRuns.values().stream().anyMatch(other -> other.mEndpoint == endpoint);
        boolean trial =
                mRuns.values().stream()
                        .anyMatch(other -> other.mEndpoint == endpoint && other.mIsolated);
        if (mClock.millis() < mUpFrom[endpoint] || trial || (run.mIsolated && busy)) {
            return;
        }
        run.mEndpoint = endpoint;
        run.mEndsAt = mClock.millis() + 1 + mRandom.nextInt(300);
        EndpointStart start = start(endpoint);
        mNodes.get(run.mNode).began(run.mId, start);
        mExposed.computeIfAbsent(run.mFingerprint, unused -> new HashSet<>()).add(start);
    }

    private EndpointStart start(int endpoint) {
        return new EndpointStart("engine-" + endpoint, mIncarnations[endpoint]);
    }

    private void crash(int endpoint) {
        mCrashes++;
        EndpointStart lost = start(endpoint);
        mIncarnations[endpoint]++;
        mUpFrom[endpoint] = mClock.millis() + 300;
        for (Run run : List.copyOf(mRuns.values())) {
            if (run.mEndpoint == endpoint) {
                mRuns.remove(run.mId);
                mNodes.get(run.mNode).failed(run.mId);
                if (!run.isCrashing() || mRandom.nextBoolean()) {
                    admit(run.mFingerprint);
                }
            }
        }
        for (String name : mNames) {
            mDeaths.add(new Death(name, lost, mClock.millis() + mRandom.nextInt(1500)));
        }
    }

    private void tellDeaths() {
        for (Death death : List.copyOf(mDeaths)) {
            if (mClock.millis() >= death.toldAt() && !isPaused(death.node())) {
                mDeaths.remove(death);
                mNodes.get(death.node()).endpointLost(death.lost());
            }
        }
    }

    private void deliverMail() {
        for (Mail mail : List.copyOf(mMail)) {
            if (mClock.millis() >= mail.arrivesAt() && !isPaused(mail.node())) {
                mMail.remove(mail);
                mNodes.get(mail.node()).received(mail.message());
            }
        }
    }

    private boolean isPaused(String node) {
        return mClock.millis() < mPausedUntil.getOrDefault(node, 0L);
    }

    private void post(String node, QuarantineMessage message) {
        int copies = mRandom.nextInt(10) == 0 ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (mRandom.nextInt(100) >= mLossPercent) {
                long arrives = mClock.millis() + mRandom.nextInt(LARGEST_DELAY_MILLISECONDS);
                mMail.add(new Mail(node, reencoded(message), arrives));
            }
        }
    }

    private static QuarantineMessage reencoded(QuarantineMessage message) {
        try {
            return QuarantineMessage.parseFrom(message.toByteArray());
        } catch (InvalidProtocolBufferException impossible) {
            throw new AssertionError(impossible);
        }
    }

    private record Mail(String node, QuarantineMessage message, long arrivesAt) {}

    private record Death(String node, EndpointStart lost, long toldAt) {}

    private static final class Run {
        private final String mId;
        private final String mNode;
        private final Fingerprint mFingerprint;
        private boolean mPermitted;
        private boolean mIsolated;
        private int mEndpoint = -1;
        private long mEndsAt;

        private Run(String id, String node, Fingerprint fingerprint) {
            mId = id;
            mNode = node;
            mFingerprint = fingerprint;
        }

        private boolean isCrashing() {
            return mFingerprint.equals(CRASHING);
        }
    }

    private final class Outbox implements QuarantineOutbox {
        private final String mName;

        private Outbox(String name) {
            mName = name;
        }

        @Override
        public void permit(String runId, boolean isolated) {
            Run run = mRuns.get(runId);
            assertThat(run.mPermitted).isFalse();
            run.mPermitted = true;
            run.mIsolated = isolated;
        }

        @Override
        public void refuse(String runId) {
            Run run = mRuns.remove(runId);
            assertThat(run.mPermitted).isFalse();
            if (run.isCrashing()) {
                mRefusedCrashes++;
                return;
            }
            assertThat(mExposed.get(run.mFingerprint).size())
                    .as("an innocent request is refused only after two losses")
                    .isGreaterThanOrEqualTo(2);
        }

        @Override
        public void send(String node, QuarantineMessage message) {
            post(node, message);
        }

        @Override
        public void broadcast(QuarantineMessage message) {
            mNames.stream()
                    .filter(name -> !name.equals(mName))
                    .forEach(name -> post(name, message));
        }

        @Override
        public void append(QuarantineRecord record) {
            assertThat(QuarantineRecord.parse(record.toPayload())).isEqualTo(record);
        }
    }
}
