package org.foxtailridge.execution.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.protocol.crashes.CrashesMessage;

/**
 * Fleet of nodes with ledgers, endpoints that crash, and requests whose prompts share parts.
 *
 * <p>Each request has a part that all requests of its kind share and a document that some share.
 * Deadly requests have the deadly part in addition, behind a document that sound requests have too.
 * Messages between nodes are late and lost at random.
 */
final class PromptFleet {
    static final String DEADLY = "deadly";

    private static final Duration STEP = Duration.ofMillis(5);
    private static final long TICK_MILLISECONDS = 100;
    private static final long HOLDS_MILLISECONDS = 500;
    private static final long RESTART_MILLISECONDS = 3_500;
    private static final int KINDS = 4;
    private static final int DOCUMENTS = 60;

    private final SplittableRandom mRandom;
    private final ManualClock mClock = ManualClock.atEpoch();
    private final List<PromptCrashLedger> mLedgers = new ArrayList<>();
    private final List<Endpoint> mEndpoints = new ArrayList<>();
    private final PriorityQueue<Delivery> mNetwork = new PriorityQueue<>();
    private final List<Request> mRequests = new ArrayList<>();
    private final List<Long> mCrashes = new ArrayList<>();
    private final List<Long> mDeadlySends = new ArrayList<>();
    private final Set<String> mRefusedParts = new HashSet<>();
    private double mRequestsPerSecond = 60;
    private double mDeadlyShare;
    private double mLossRate;
    private boolean mMended;
    private int mStarts;
    private int mBegun;
    private int mRefused;

    PromptFleet(int nodes, int endpoints, long seed) {
        mRandom = new SplittableRandom(seed);
        for (int node = 0; node < nodes; node++) {
            mLedgers.add(ledger(node));
        }
        for (int endpoint = 0; endpoint < endpoints; endpoint++) {
            mEndpoints.add(new Endpoint(mStarts++));
        }
    }

    PromptFleet lossRate(double share) {
        mLossRate = share;
        return this;
    }

    PromptFleet requestsPerSecond(double requests) {
        mRequestsPerSecond = requests;
        return this;
    }

    void deadlyShare(double share) {
        mDeadlyShare = share;
    }

    /** Starts a node anew; it knows nothing of what it knew before. */
    void restartNode(int node) {
        mLedgers.set(node, ledger(node));
    }

    /** Returns the number of requests with the deadly part that were sent since the start. */
    int deadlySent() {
        return mDeadlySends.size();
    }

    /** Lets endpoints survive the deadly part from now on. */
    void mend() {
        mMended = true;
    }

    /** Crashes some endpoints at once for a reason that has nothing to do with requests. */
    void crash(int count) {
        mEndpoints.stream().filter(each -> each.mUp).limit(count).toList().forEach(this::crash);
    }

    void run(Duration duration) {
        long end = mClock.millis() + duration.toMillis();
        while (mClock.millis() < end) {
            mClock.advance(STEP);
            deliver();
            arrive();
            List.copyOf(mRequests).forEach(this::advance);
            mEndpoints.forEach(this::restart);
            for (int node = 0; node < mLedgers.size(); node++) {
                long phase = mClock.millis() + 10L * node;
                if (phase % TICK_MILLISECONDS == 0) {
                    mLedgers.get(node).tick();
                }
                if (phase % HOLDS_MILLISECONDS == 0) {
                    tellHolds(node);
                }
            }
        }
    }

    long now() {
        return mClock.millis();
    }

    /** Returns the times of all crashes in milliseconds. */
    List<Long> crashes() {
        return mCrashes;
    }

    /** Returns the number of requests with the deadly part that were sent after an instant. */
    long deadlySentAfter(long milliseconds) {
        return mDeadlySends.stream().filter(time -> time > milliseconds).count();
    }

    /** Returns the parts of sound requests that were refused. */
    Set<String> refusedParts() {
        return mRefusedParts;
    }

    /** Returns the share of sound requests that began to be answered since the last call. */
    double takeBegunShare() {
        double share = (double) mBegun / Math.max(1, mBegun + mRefused);
        mBegun = 0;
        mRefused = 0;
        return share;
    }

    private PromptCrashLedger ledger(int node) {
        return new PromptCrashLedger(
                mClock, message -> broadcast(node, message), part -> node == 0);
    }

    /** Sends what starting nodes have to know to two random nodes, as each node does. */
    private void tellHolds(int sender) {
        Optional<CrashesMessage> holds = mLedgers.get(sender).holds();
        for (int times = 0; times < 2 && holds.isPresent(); times++) {
            send(mRandom.nextInt(mLedgers.size()), holds.get());
        }
    }

    private void send(int receiver, CrashesMessage message) {
        if (mRandom.nextDouble() >= mLossRate) {
            long at = mClock.millis() + 1 + mRandom.nextInt(50);
            mNetwork.add(new Delivery(at, () -> mLedgers.get(receiver).received(message)));
        }
    }

    private void broadcast(int sender, CrashesMessage message) {
        for (int node = 0; node < mLedgers.size(); node++) {
            if (node != sender) {
                send(node, message);
            }
        }
    }

    private void deliver() {
        while (!mNetwork.isEmpty() && mNetwork.peek().mAt <= mClock.millis()) {
            mNetwork.poll().mAction.run();
        }
    }

    private void arrive() {
        if (mRandom.nextDouble() >= mRequestsPerSecond * STEP.toMillis() / 1_000) {
            return;
        }
        int kind = mRandom.nextInt(KINDS);
        // The smaller numbers are asked for more often.
        int document = (int) (DOCUMENTS * Math.pow(mRandom.nextDouble(), 3));
        List<String> parts = new ArrayList<>(List.of("kind-" + kind, kind + "-" + document));
        if (mRandom.nextDouble() < mDeadlyShare) {
            parts = new ArrayList<>(List.of("kind-0", "0-2", DEADLY));
        }
        PromptCrashLedger ledger = mLedgers.get(mRandom.nextInt(mLedgers.size()));
        List<Endpoint> up = mEndpoints.stream().filter(each -> each.mUp).toList();
        boolean isDeadly = parts.contains(DEADLY);
        boolean heldBack = ledger.heldBackMilliseconds(parts) > 0;
        if (heldBack || up.isEmpty()) {
            mRefused += isDeadly ? 0 : 1;
            if (heldBack && !isDeadly) {
                mRefusedParts.addAll(parts);
            }
            return;
        }
        if (isDeadly) {
            mDeadlySends.add(mClock.millis());
        }
        ledger.sent(parts);
        Request request = new Request(ledger, parts, up.get(mRandom.nextInt(up.size())));
        request.mBeginsAt = mClock.millis() + 30 + mRandom.nextInt(400);
        request.mEndsAt = request.mBeginsAt + 200 + mRandom.nextInt(2_000);
        mRequests.add(request);
    }

    private void advance(Request request) {
        long now = mClock.millis();
        if (!mRequests.contains(request)) {
            return;
        }
        if (!mMended && now >= request.mBeginsAt && request.mParts.contains(DEADLY)) {
            crash(request.mEndpoint);
        } else if (now >= request.mBeginsAt + 100 && !request.mBegun) {
            request.mBegun = true;
            mBegun++;
            request.mLedger.answered(request.mParts);
        } else if (now >= request.mEndsAt) {
            mRequests.remove(request);
            request.mLedger.alive(request.mEndpoint.mName);
        }
    }

    private void crash(Endpoint endpoint) {
        endpoint.mUp = false;
        endpoint.mRestartsAt = mClock.millis() + RESTART_MILLISECONDS;
        mCrashes.add(mClock.millis());
        for (Request request : List.copyOf(mRequests)) {
            if (request.mEndpoint == endpoint) {
                mRequests.remove(request);
                if (!request.mBegun) {
                    mRefused += request.mParts.contains(DEADLY) ? 0 : 1;
                    request.mLedger.broken(endpoint.mName, request.mParts);
                }
            }
        }
    }

    private void restart(Endpoint endpoint) {
        if (!endpoint.mUp && mClock.millis() >= endpoint.mRestartsAt) {
            endpoint.mUp = true;
            endpoint.mName = EndpointName.of("e-" + mStarts++);
        }
    }

    private static final class Endpoint {
        private EndpointName mName;
        private boolean mUp = true;
        private long mRestartsAt;

        private Endpoint(int start) {
            mName = EndpointName.of("e-" + start);
        }
    }

    private static final class Request {
        private final PromptCrashLedger mLedger;
        private final List<String> mParts;
        private final Endpoint mEndpoint;
        private long mBeginsAt;
        private long mEndsAt;
        private boolean mBegun;

        private Request(PromptCrashLedger ledger, List<String> parts, Endpoint endpoint) {
            mLedger = ledger;
            mParts = parts;
            mEndpoint = endpoint;
        }
    }

    private static final class Delivery implements Comparable<Delivery> {
        private final long mAt;
        private final Runnable mAction;

        private Delivery(long at, Runnable action) {
            mAt = at;
            mAction = action;
        }

        @Override
        public int compareTo(Delivery other) {
            return Long.compare(mAt, other.mAt);
        }
    }
}
