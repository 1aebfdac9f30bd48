package org.foxtailridge.node;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.core.json.Json;
import org.foxtailridge.node.settings.NodeSettings;

/** Runs a node until the process is told to stop. */
@Command(name = "foxtailridge-node", description = "Runs the node of an entry VM")
public final class NodeMain {
    private static final int USAGE_ERROR = 2;

    @AirlineModule private HelpOption<NodeMain> mHelp;

    @Required
    @Option(
            name = {"--settings"},
            title = "FILE",
            description = "Settings of the node, in TOML")
    private String mSettings;

    /** Starts the process; exits with 2 when arguments or settings are refused. */
    public static void main(String[] arguments) throws InterruptedException {
        try {
            NodeMain main = SingleCommand.singleCommand(NodeMain.class).parse(arguments);
            if (!main.mHelp.showHelpIfRequested()) {
                main.run();
            }
        } catch (ParseException | FoxtailridgeException refused) {
            System.err.println(refused.getMessage());
            System.exit(USAGE_ERROR);
        }
    }

    private void run() throws InterruptedException {
        Node node = Node.start(NodeSettings.read(Path.of(mSettings)));
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    node.stop();
                                    stopped.countDown();
                                    LogManager.shutdown();
                                },
                                "stop"));
        Listening listening =
                new Listening(
                        "listening",
                        node.callerAddress(),
                        node.operatorAddress(),
                        node.innerAddress());
        System.out.println(Json.write(listening));
        stopped.await();
    }

    private record Listening(String event, String callers, String operators, String inner) {}
}
