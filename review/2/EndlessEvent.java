import java.io.IOException;
import java.io.OutputStream;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.foxtailridge.standins.platform.OperatorConfiguration;
import org.foxtailridge.standins.platform.WorkerStandin;

/**
 * A model worker answers one stream with bytes that never end an event, in small chunks and without
 * end, until the caller closes. Meanwhile callers send plain calls at the same node.
 */
public final class EndlessEvent {
    private static final int TIMEOUT_MILLISECONDS = 1_000;
    private static final int LATE_MILLISECONDS = 500;
    private static final int STREAM_TIMEOUT_MILLISECONDS = 4_000;
    private static final int CHUNK_BYTES = Integer.getInteger("chunk", 8);
    private static final String KEY = "key-1";

    private EndlessEvent() {}

    public static void main(String[] arguments) throws Exception {
        Fleet fleet = null;
        try {
            fleet = new Fleet(Path.of(arguments[0]));
            play(fleet);
        } catch (Exception failed) {
            failed.printStackTrace();
            Fleet.end(fleet, 2, "could not run: " + failed);
        }
    }

    private static void play(Fleet fleet) throws Exception {
        WorkerStandin.builder("i-desk-1", "desk", "zone-a", fleet.store).start();
        WorkerStandin.builder("i-desk-2", "desk", "zone-b", fleet.store).start();
        new Worker(
                fleet,
                "i-engine-1",
                "scribe",
                List.of("m1"),
                (worker, request, out) -> answer(fleet, worker, request, out));
        fleet.store.publish(
                OperatorConfiguration.builder(1)
                        .service("desk", 360)
                        .engines("scribe", 64, List.of("m1"))
                        .route("lots.example", "/bid/", "desk", "unsafe", millis(TIMEOUT_MILLISECONDS), 1)
                        .route("lots.example", "/stream/", "scribe", "streaming",
                                millis(STREAM_TIMEOUT_MILLISECONDS), 1)
                        .account("yard", 0, KEY)
                        .toJson());
        fleet.startNodes("zone-a", "zone-b", "zone-c");
        fleet.awaitReady(40_000);
        Thread.sleep(4_000);

        ConcurrentLinkedQueue<Long> asked = new ConcurrentLinkedQueue<>();
        ConcurrentLinkedQueue<Long> unanswered = new ConcurrentLinkedQueue<>();
        ConcurrentLinkedQueue<Long> atTimeout = new ConcurrentLinkedQueue<>();
        for (int number = 0; number < 60; number++) {
            if (number == 10) {
                for (int more = 1; more <= Integer.getInteger("streams", 3); more++) {
                    String name = "stream-" + more;
                    Thread stream = new Thread(() -> stream(fleet, name));
                    stream.setDaemon(true);
                    stream.start();
                }
            }
            String id = "bid-" + number;
            Thread caller = new Thread(() -> call(fleet, id, asked, atTimeout, unanswered));
            caller.setDaemon(true);
            caller.start();
            Thread.sleep(250);
        }
        Thread.sleep(TIMEOUT_MILLISECONDS + LATE_MILLISECONDS + 500);
        boolean broken = atTimeout.size() > 0 && 2 * unanswered.size() > atTimeout.size();
        String words =
                (broken ? "BROKEN" : "held") + ": CONFIG: of " + asked.size() + " plain calls "
                        + atTimeout.size() + " were unanswered at their route's timeoutMs and "
                        + unanswered.size() + " half a second later; node ready: "
                        + fleet.nodes.get(0).isReady();
        Fleet.end(fleet, broken ? 1 : 0, words);
    }

    /** Answers a stream of events; in trouble, bytes that never end an event. */
    private static void answer(
            Fleet fleet, Worker worker, Worker.Request request, OutputStream out)
            throws IOException {
        Worker.write(out, worker.head(request, "text/event-stream", "Transfer-Encoding: chunked"));
        if (!Fleet.TROUBLE) {
            for (int number = 1; number <= 20; number++) {
                String event = "id: " + number + "\ndata: piece " + number + "\n\n";
                Worker.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            }
            Worker.write(out, "0\r\n\r\n");
            return;
        }
        byte[] chunk =
                (Integer.toHexString(CHUNK_BYTES) + "\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n")
                        .getBytes(StandardCharsets.US_ASCII);
        byte[] many = new byte[chunk.length * 64];
        for (int index = 0; index < 64; index++) {
            System.arraycopy(chunk, 0, many, index * chunk.length, chunk.length);
        }
        long written = 0;
        try {
            while (true) {
                out.write(many);
                written += 64L * CHUNK_BYTES;
            }
        } finally {
            fleet.record("the engine wrote " + written + " bytes of " + request.id());
        }
    }

    private static void stream(Fleet fleet, String id) {
        fleet.record(id + " sent");
        try {
            Caller.Answer answer =
                    Caller.send(
                            fleet.nodes.get(0).front,
                            "POST",
                            "/stream/lot",
                            Map.of(
                                    "X-Request-Id", id,
                                    "X-Deadline-Ms", "" + STREAM_TIMEOUT_MILLISECONDS,
                                    "Authorization", "Bearer " + KEY,
                                    "X-Model", "m1",
                                    "X-Token-Usage", "40,20",
                                    "X-Prompt-Prefix", "5c:20,91:20"),
                            "lot 7",
                            STREAM_TIMEOUT_MILLISECONDS + LATE_MILLISECONDS);
            fleet.record(id + " answered " + answer.status + " after " + answer.milliseconds
                    + " ms, complete " + answer.complete + ", " + answer.body.length + " bytes");
        } catch (IOException none) {
            fleet.record(id + " had no answer: " + none);
        }
    }

    private static void call(
            Fleet fleet,
            String id,
            ConcurrentLinkedQueue<Long> asked,
            ConcurrentLinkedQueue<Long> atTimeout,
            ConcurrentLinkedQueue<Long> unanswered) {
        asked.add(fleet.now());
        try {
            Caller.Answer answer =
                    Caller.send(
                            fleet.nodes.get(0).front,
                            "POST",
                            "/bid/lot",
                            Map.of(
                                    "X-Request-Id", id,
                                    "X-Deadline-Ms", "" + TIMEOUT_MILLISECONDS,
                                    "Authorization", "Bearer " + KEY),
                            id,
                            TIMEOUT_MILLISECONDS + LATE_MILLISECONDS);
            if (answer.milliseconds > TIMEOUT_MILLISECONDS) {
                atTimeout.add(fleet.now());
            }
            fleet.record(id + " answered " + answer.status + " after " + answer.milliseconds + " ms");
        } catch (SocketTimeoutException none) {
            atTimeout.add(fleet.now());
            unanswered.add(fleet.now());
            fleet.record(id + " had no answer half a second after its route's timeoutMs");
        } catch (IOException failed) {
            fleet.record(id + " failed: " + failed);
        }
    }

    private static Duration millis(int milliseconds) {
        return Duration.ofMillis(milliseconds);
    }
}
