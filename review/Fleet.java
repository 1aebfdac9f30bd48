import java.io.IOException;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.foxtailridge.standins.platform.StoreDoor;
import org.foxtailridge.standins.platform.StoreStandin;

/**
 * A small deployment on loopback addresses: the project's stand-in of the store, and nodes as
 * processes that are started with the command of deploy/system.toml. Each node has an address of
 * the store to itself. Must run in the root of the repository.
 */
final class Fleet implements AutoCloseable {
    /** Disruptions are left out when the variable TROUBLE is 0. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final Random RANDOM = new Random();
    private static final Set<Integer> PORTS = new HashSet<>();

    static final int CONTACT_MILLISECONDS = 3_000;

    final StoreStandin store = StoreStandin.builder().start();
    final List<Node> nodes = new ArrayList<>();
    private final Path folder;
    private final PrintWriter record;
    private final long began = System.nanoTime();

    Fleet(Path caseFolder) throws IOException {
        folder = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killNodes));
        record("trouble=" + (TROUBLE ? 1 : 0));
    }

    /** Milliseconds since the start of the play. */
    long now() {
        return (System.nanoTime() - began) / 1_000_000;
    }

    synchronized void record(String line) {
        record.printf("%7d %s%n", now(), line);
    }

    /** Adds a node in each of the zones and starts all; the first is the seed of the others. */
    void startNodes(String... zones) throws Exception {
        for (int index = 0; index < zones.length; index++) {
            nodes.add(new Node(index, zones[index]));
        }
        for (Node node : nodes) {
            node.start(true);
        }
    }

    /** Waits until every node answers its readiness probe with 200. */
    void awaitReady(long milliseconds) throws Exception {
        long end = now() + milliseconds;
        for (Node node : nodes) {
            while (!node.isReady()) {
                if (now() > end) {
                    throw new IllegalStateException(node.name + " did not become ready");
                }
                Thread.sleep(100);
            }
        }
        record("all nodes are ready");
    }

    private void killNodes() {
        nodes.forEach(Node::kill);
    }

    @Override
    public void close() {
        killNodes();
        store.close();
        record.close();
    }

    /** Returns a port that is free for TCP and UDP, outside the range of outgoing connections. */
    private static synchronized int freePort() {
        while (true) {
            int port = 12_000 + RANDOM.nextInt(18_000);
            InetAddress loopback = InetAddress.getLoopbackAddress();
            try (ServerSocket stream = new ServerSocket(port, 1, loopback);
                    DatagramSocket datagrams = new DatagramSocket(port, loopback)) {
                if (PORTS.add(port)) {
                    return port;
                }
            } catch (IOException taken) {
                // The next one may be free.
            }
        }
    }

    /** Writes the result and ends the process: 1 broken, 0 held, 2 could not run. */
    static void end(Fleet fleet, int result, String words) {
        if (fleet != null) {
            fleet.record(words);
            fleet.close();
        }
        System.out.println(words);
        System.out.flush();
        Runtime.getRuntime().exit(result);
    }

    /** A node of the system. */
    final class Node {
        final String name;
        final String zone;
        final int front = freePort();
        final int ready = freePort();
        final int control = freePort();
        final StoreDoor door = store.openDoor();
        private Process process;
        private volatile long disturbedAt;

        private Node(int index, String zone) {
            this.name = "edge-" + zone + "-" + index;
            this.zone = zone;
        }

        void start(boolean firstStart) throws IOException {
            String seed = "127.0.0.1:" + nodes.get(0).control;
            String text =
                    "[node]\nname = \"" + name + "\"\ndata_centre = \"" + zone + "\"\n"
                            + "first_start = " + firstStart + "\nstop_milliseconds = 8000\n"
                            + "[callers]\naddress = \"127.0.0.1:" + front + "\"\n"
                            + "[operators]\naddress = \"127.0.0.1:" + ready + "\"\n"
                            + "[inner]\naddress = \"127.0.0.1:" + control + "\"\n"
                            + "seeds = \"" + seed + "\"\n"
                            + "[platform]\nstore_address = \"" + door.address().getAuthority()
                            + "\"\n"
                            + "[retries]\nshare = 0.2\nallowance = 54\nwindow_milliseconds = 10000\n"
                            + "[limits]\ntolerance_window_milliseconds = 8000\n"
                            + "tolerance_share = 0.1\ntolerance_tokens = 17000\n"
                            + "[keys]\ncut_withdrawn = false\n"
                            + "[orders]\npause_milliseconds = 3000\n";
            Path settings = folder.resolve(name + ".toml");
            Files.writeString(settings, text);
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.environment().put("FOXTAILRIDGE_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true);
            Path log = folder.resolve(name + ".log");
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            disturbedAt = now();
            record("started " + name + " pid " + process.pid() + ", log " + log);
        }

        Path log() {
            return folder.resolve(name + ".log");
        }

        boolean isRunning() {
            return process != null && process.isAlive();
        }

        boolean isReady() {
            try {
                return Caller.get(ready, "/ready", 1_000).status == 200;
            } catch (IOException notYet) {
                return false;
            }
        }

        /** Sends a signal, such as TERM, STOP or CONT. */
        void signal(String signal) throws Exception {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor(5, TimeUnit.SECONDS);
            disturbedAt = now();
            record("SIG" + signal + " to " + name);
        }

        void awaitExit(long milliseconds) throws InterruptedException {
            process.waitFor(milliseconds, TimeUnit.MILLISECONDS);
            record(name + (process.isAlive() ? " still runs" : " has ended"));
        }

        /** Returns whether the node ran without a signal or a start for contactMs. */
        boolean isInTouch() {
            return isRunning() && now() - disturbedAt > CONTACT_MILLISECONDS;
        }

        void kill() {
            if (process != null) {
                process.destroyForcibly();
                disturbedAt = now();
            }
        }
    }

    /** Reads the command of the node from the deploy file. */
    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                String words = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return List.of(words.split(" "));
            }
        }
        throw new IOException("no run command in deploy/system.toml");
    }

    static long epochMilliseconds() {
        return Instant.now().toEpochMilli();
    }
}
