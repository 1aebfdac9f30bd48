package org.foxtailridge.node;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.nio.file.Path;
import java.time.Clock;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.core.time.MonotonicClock;
import org.foxtailridge.forwarding.endpoint.EndpointAddress;
import org.foxtailridge.forwarding.http.ConnectionSettings;
import org.foxtailridge.forwarding.http.EndpointConnections;
import org.foxtailridge.forwarding.http.HttpCalls;
import org.foxtailridge.forwarding.node.ForwardingNode;
import org.foxtailridge.forwarding.node.ForwardingSettings;
import org.foxtailridge.node.settings.ForwardingSettingsFile;
import org.foxtailridge.platform.PlatformAdapter;
import sun.misc.Signal;

/** Runs a node on the platform until the process is told to stop. */
public final class PlatformNodeMain {
    private static final String SETTINGS_VARIABLE = "FOXTAILRIDGE_NODE_FILE";
    private static final int USAGE_ERROR = 2;
    private static final int START_FAILED = 1;
    private static final int CONNECTIONS_PER_ADDRESS = 6;
    // Changes come with a signal mostly, and none of them is urgent.
    private static final long SETTINGS_CHECK_MILLISECONDS = 10_000;

    private PlatformNodeMain() {}

    /** Starts the process; exits with 2 when the settings are refused. */
    public static void main(String[] arguments) throws InterruptedException {
        PlatformLogging.start();
        try {
            run(Path.of(settingsFile(arguments)));
        } catch (FoxtailridgeException refused) {
            System.err.println(refused.getMessage());
            System.exit(USAGE_ERROR);
        }
    }

    private static String settingsFile(String[] arguments) {
        String file = arguments.length > 0 ? arguments[0] : System.getenv(SETTINGS_VARIABLE);
        if (file == null) {
            System.err.println("expected a settings file in " + SETTINGS_VARIABLE);
            System.exit(USAGE_ERROR);
        }
        return file;
    }

    private static void run(Path path) throws InterruptedException {
        ForwardingSettingsFile file = ForwardingSettingsFile.read(path);
        ForwardingSettings settings = file.settings();
        EndpointAddress store = file.storeAddress();
        Clock clock = MonotonicClock.start();
        EventLoop loop =
                new MultiThreadIoEventLoopGroup(
                                1, new DefaultThreadFactory("node"), NioIoHandler.newFactory())
                        .next();
        CountDownLatch stopped = new CountDownLatch(1);
        // The node is created on its event loop, so that one thread alone loads classes and reads
        // files and sockets: starts with reads on two threads have crashed in native code.
        loop.submit(() -> startNode(path, settings, store, loop, clock, stopped))
                .addListener(
                        submitted -> {
                            if (!submitted.isSuccess()) {
                                endAfterFailedStart(submitted.cause());
                            }
                        });
        stopped.await();
        LogManager.shutdown();
        Runtime.getRuntime().halt(0);
    }

    private static void startNode(
            Path path,
            ForwardingSettings settings,
            EndpointAddress store,
            EventLoop loop,
            Clock clock,
            CountDownLatch stopped) {
        EndpointConnections connections =
                new EndpointConnections(loop, ConnectionSettings.defaults(), clock);
        HttpCalls calls = new HttpCalls(loop, connections, CONNECTIONS_PER_ADDRESS);
        ForwardingNode node =
                new ForwardingNode(settings, loop, clock, new PlatformAdapter(calls, store));
        Signal.handle(
                new Signal("TERM"),
                signal -> loop.execute(() -> node.stop().thenRun(stopped::countDown)));
        SettingsWatch watch = SettingsWatch.start(path, node::reload);
        Signal.handle(new Signal("HUP"), signal -> loop.execute(watch::check));
        // The file may change without a signal.
        loop.scheduleWithFixedDelay(
                watch::check,
                SETTINGS_CHECK_MILLISECONDS,
                SETTINGS_CHECK_MILLISECONDS,
                TimeUnit.MILLISECONDS);
        node.start()
                .exceptionally(
                        failure -> {
                            endAfterFailedStart(failure);
                            return null;
                        });
    }

    private static void endAfterFailedStart(Throwable failure) {
        // Not a static logger, as the log is set up after this class is initialized.
        LogManager.getLogger(PlatformNodeMain.class).error("the node could not start", failure);
        LogManager.shutdown();
        Runtime.getRuntime().halt(START_FAILED);
    }
}
