import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.foxtailridge.standins.platform.OperatorConfiguration;
import org.foxtailridge.standins.platform.WorkerStandin;

/**
 * The nodes of a zone are stopped in turn while callers ask for streams of a sound, steady worker.
 * The platform takes nodes that are not ready out of rotation, and uses all nodes of the zone while
 * fewer than half of them are in rotation.
 */
public final class StopUnderLoad {
    // Nodes of the callers' zone; two more are in the nearest other zone.
    private static final int NODES = 3;
    private static final int GAP_MILLISECONDS = 2_000;
    private static final int GRACE_MILLISECONDS = 8_000;
    private static final int EXCUSED_UNTIL_MILLISECONDS = 3_000;
    private static final int TIMEOUT_MILLISECONDS = 12_000;
    private static final int EVENTS = 20;
    private static final int TOKENS_OF_EVENT = 6;
    private static final int PAUSE_MILLISECONDS = 200;
    private static final String KEY = "key-1";

    private final Fleet mFleet;
    private final List<WorkerStandin> mEngines = new ArrayList<>();
    private final boolean[] mInRotation = {true, true, true};
    private final long[] mStoppedAt = {-1, -1, -1, -1, -1};
    private final ConcurrentLinkedQueue<Cut> mCuts = new ConcurrentLinkedQueue<>();
    private volatile boolean mPlaying = true;
    private int mAsked;
    private final ConcurrentLinkedQueue<String> mWhole = new ConcurrentLinkedQueue<>();

    private record Cut(String id, int node, long sentAt, long endedAt) {}

    private StopUnderLoad(Fleet fleet) {
        mFleet = fleet;
    }

    public static void main(String[] arguments) throws Exception {
        Fleet fleet = null;
        try {
            fleet = new Fleet(Path.of(arguments[0]));
            new StopUnderLoad(fleet).play();
        } catch (Exception failed) {
            failed.printStackTrace();
            Fleet.end(fleet, 2, "could not run: " + failed);
        }
    }

    private void play() throws Exception {
        for (int number = 1; number <= 3; number++) {
            mEngines.add(
                    WorkerStandin.builder("i-engine-" + number, "scribe", "zone-a", mFleet.store)
                            .model("m1")
                            .slots(64)
                            .streams(EVENTS, Duration.ofMillis(PAUSE_MILLISECONDS))
                            .start());
        }
        mFleet.store.publish(
                OperatorConfiguration.builder(1)
                        .engines("scribe", 64, List.of("m1"))
                        .route("lots.example", "/stream/", "scribe", "streaming",
                                Duration.ofMillis(TIMEOUT_MILLISECONDS), 2)
                        .account("yard", 0, KEY)
                        .toJson());
        mFleet.startNodes("zone-a", "zone-a", "zone-a", "zone-b", "zone-b");
        mFleet.awaitReady(40_000);
        Thread.sleep(4_000);
        daemon(this::probe);
        Thread callers = daemon(this::call);
        Thread.sleep(4_000);
        if (Fleet.TROUBLE) {
            for (int node = 0; node < NODES; node++) {
                int number = node;
                mStoppedAt[number] = mFleet.now();
                mFleet.nodes.get(number).signal("TERM");
                daemon(() -> restart(number));
                Thread.sleep(GAP_MILLISECONDS);
            }
        }
        Thread.sleep(GRACE_MILLISECONDS);
        mPlaying = false;
        callers.join();
        Thread.sleep(TIMEOUT_MILLISECONDS + 1_000);
        judge();
    }

    private void judge() {
        Set<String> run = new HashSet<>();
        mEngines.forEach(engine -> engine.executions().forEach(one -> run.add(one.requestId())));
        int lost = 0;
        for (Cut cut : mCuts) {
            long sentAfter = cut.sentAt - mStoppedAt[cut.node];
            long endedAfter = cut.endedAt - mStoppedAt[cut.node];
            boolean planned = mStoppedAt[cut.node] >= 0 && endedAfter <= GRACE_MILLISECONDS + 1_000;
            boolean excused = sentAfter <= EXCUSED_UNTIL_MILLISECONDS;
            boolean counts = planned && !excused && run.contains(cut.id);
            lost += counts ? 1 : 0;
            mFleet.record(
                    cut.id + (counts ? " LOST" : " not counted") + ": sent " + sentAfter
                            + " ms after the SIGTERM of its node, ended without a complete answer "
                            + endedAfter + " ms after it, run by a worker: " + run.contains(cut.id));
        }
        String words =
                (lost > 0 ? "BROKEN" : "held") + ": LOST: of " + mAsked + " streams " + mWhole.size()
                        + " were whole, " + mCuts.size() + " ended without a complete answer, "
                        + lost + " of these count";
        Fleet.end(mFleet, lost > 0 ? 1 : 0, words);
    }

    /** The platform: two misses in a row take a node out, a 200 brings it back. */
    private void probe() {
        int[] misses = new int[NODES];
        while (mPlaying) {
            for (int node = 0; node < NODES; node++) {
                misses[node] = mFleet.nodes.get(node).isReady() ? 0 : misses[node] + 1;
                boolean in = misses[node] < 2;
                if (in != mInRotation[node]) {
                    mFleet.record("the platform takes node " + node + (in ? " in" : " out"));
                    mInRotation[node] = in;
                }
            }
            sleep(1_000);
        }
    }

    /**
     * The platform: all nodes of the zone while fewer than half of them are in rotation, those of
     * the nearest zone while none is.
     */
    private List<Integer> choice() {
        List<Integer> in = new ArrayList<>();
        List<Integer> all = new ArrayList<>();
        for (int node = 0; node < NODES; node++) {
            all.add(node);
            if (mInRotation[node]) {
                in.add(node);
            }
        }
        if (in.isEmpty()) {
            return List.of(NODES, NODES + 1);
        }
        return 2 * in.size() < NODES ? all : in;
    }

    private void call() {
        Random random = new Random(7);
        while (mPlaying) {
            List<Integer> nodes = choice();
            int node = nodes.get(random.nextInt(nodes.size()));
            String id = "stream-" + mAsked++;
            daemon(() -> stream(id, node));
            sleep(50);
        }
    }

    private void stream(String id, int node) {
        long sentAt = mFleet.now();
        try {
            Caller.Answer answer =
                    Caller.send(
                            mFleet.nodes.get(node).front,
                            "POST",
                            "/stream/lot",
                            Map.of(
                                    "X-Request-Id", id,
                                    "X-Deadline-Ms", "" + TIMEOUT_MILLISECONDS,
                                    "Authorization", "Bearer " + KEY,
                                    "X-Model", "m1",
                                    "X-Token-Usage", "40," + EVENTS * TOKENS_OF_EVENT,
                                    "X-Prompt-Prefix", "5c:20,91:20"),
                            id,
                            TIMEOUT_MILLISECONDS + 500);
            mFleet.record(
                    id + " by node " + node + " sent at " + sentAt + ": " + answer.status + " after "
                            + answer.milliseconds + " ms, complete " + answer.complete);
            if (!answer.complete) {
                mCuts.add(new Cut(id, node, sentAt, mFleet.now()));
            } else if (answer.status == 200) {
                boolean right =
                        answer.text().equals(WorkerStandin.eventsOf(id, 0, EVENTS));
                mWhole.add(id);
                if (!right) {
                    mFleet.record(id + " has a wrong body");
                }
            }
        } catch (java.net.ConnectException away) {
            mFleet.record(id + " by node " + node + ": no connection");
        } catch (IOException cut) {
            mFleet.record(id + " by node " + node + " sent at " + sentAt + ": no answer: " + cut);
            mCuts.add(new Cut(id, node, sentAt, mFleet.now()));
        }
    }

    /** The platform starts a process again a short while after it has ended. */
    private void restart(int node) {
        try {
            mFleet.nodes.get(node).awaitExit(GRACE_MILLISECONDS);
            if (mFleet.nodes.get(node).isRunning()) {
                mFleet.nodes.get(node).kill();
                mFleet.record("SIGKILL to node " + node + " after its grace");
            }
            Thread.sleep(500);
            mFleet.nodes.get(node).start(false);
        } catch (Exception failed) {
            mFleet.record("node " + node + " did not start again: " + failed);
        }
    }

    private static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
