package org.foxtailridge.node.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.execution.retry.FleetRetrySettings;
import org.foxtailridge.forwarding.endpoint.EndpointAddress;
import org.foxtailridge.forwarding.node.ForwardingSettings;
import org.foxtailridge.limits.LimitTolerance;

/**
 * Settings file of a node that forwards requests.
 *
 * <pre>{@code
 * ForwardingSettingsFile file = ForwardingSettingsFile.read(Path.of("node.toml"));
 * new ForwardingNode(file.settings(), loop, clock, outside);
 * }</pre>
 */
public final class ForwardingSettingsFile {
    private static final long DAY_MILLISECONDS = 86_400_000;
    private static final long MOST_RETRIES = 1_000_000;
    private static final long MOST_TOKENS = 1_000_000_000;

    private static final Setting LABEL =
            Setting.requiredText("node.name", "Name of the VM, for the log.");
    private static final Setting DATA_CENTRE =
            Setting.requiredText("node.data_centre", "Name of the data centre.");
    private static final Setting FIRST_START =
            Setting.flag(
                    "node.first_start",
                    false,
                    "Whether the whole fleet starts for the first time.");
    private static final Setting STOP =
            Setting.number(
                    "node.stop_milliseconds",
                    "milliseconds",
                    8_000,
                    500,
                    DAY_MILLISECONDS,
                    "Time from the word to stop until the process is killed.");
    private static final Setting CALLERS =
            Setting.requiredText("callers.address", "Where callers connect.");
    private static final Setting READINESS =
            Setting.requiredText(
                    "operators.address", "Where the platform asks for readiness and metrics.");
    private static final Setting INNER =
            Setting.requiredText(
                    "inner.address", "Where other nodes send datagrams; also this node's name.");
    private static final Setting SEEDS =
            Setting.text(
                    "inner.seeds", "", "Inner addresses of some other nodes, separated by commas.");
    private static final Setting STORE =
            Setting.requiredText("platform.store_address", "Where the platform's store listens.");
    private static final Setting RETRY_SHARE =
            Setting.decimal(
                    "retries.share",
                    "-",
                    0.2,
                    0,
                    1,
                    "Retries that the fleet may send to a service for each request.");
    private static final Setting RETRY_ALLOWANCE =
            Setting.decimal(
                    "retries.allowance",
                    "requests",
                    10,
                    0,
                    MOST_RETRIES,
                    "Retries that the fleet may send to a service beyond the share.");
    private static final Setting RETRY_WINDOW =
            Setting.number(
                    "retries.window_milliseconds",
                    "milliseconds",
                    10_000,
                    100,
                    DAY_MILLISECONDS,
                    "Time over which retries are counted.");
    private static final Setting TOLERANCE_WINDOW =
            Setting.number(
                    "limits.tolerance_window_milliseconds",
                    "milliseconds",
                    8_000,
                    100,
                    DAY_MILLISECONDS,
                    "Time over which the use of a client account is held against its limit.");
    private static final Setting TOLERANCE_SHARE =
            Setting.decimal(
                    "limits.tolerance_share",
                    "-",
                    0,
                    0,
                    1,
                    "Part of a limit by which it may be passed within the window.");
    private static final Setting TOLERANCE_TOKENS =
            Setting.number(
                    "limits.tolerance_tokens",
                    "tokens",
                    0,
                    0,
                    MOST_TOKENS,
                    "Tokens by which a limit may be passed within the window beyond that part.");
    private static final Setting CUT_WITHDRAWN =
            Setting.flag(
                    "keys.cut_withdrawn",
                    true,
                    "Whether requests under way end when their key is withdrawn.");
    private static final Setting ORDER_PAUSE =
            Setting.number(
                    "orders.pause_milliseconds",
                    "milliseconds",
                    3_000,
                    0,
                    DAY_MILLISECONDS,
                    "Time between the last order of one node and the first of another.");
    private static final Setting LOGGED_REQUESTS =
            Setting.number(
                    "log.requests_per_second",
                    "requests a second",
                    50,
                    0,
                    MOST_RETRIES,
                    "Requests a second whose lines are written.");

    /** All settings of the file. */
    public static final List<Setting> ALL =
            List.of(
                    LABEL,
                    DATA_CENTRE,
                    FIRST_START,
                    STOP,
                    CALLERS,
                    READINESS,
                    INNER,
                    SEEDS,
                    STORE,
                    RETRY_SHARE,
                    RETRY_ALLOWANCE,
                    RETRY_WINDOW,
                    TOLERANCE_WINDOW,
                    TOLERANCE_SHARE,
                    TOLERANCE_TOKENS,
                    CUT_WITHDRAWN,
                    ORDER_PAUSE,
                    LOGGED_REQUESTS);

    // Messages take up to a lifetime of the group's membership to be surely past.
    private static final Duration ORDER_MARGIN = Duration.ofMillis(400);

    private final SettingsFile mFile;

    private ForwardingSettingsFile(SettingsFile file) {
        mFile = file;
    }

    /**
     * Reads a file.
     *
     * @throws SettingsException if a key or value is refused
     */
    public static ForwardingSettingsFile read(Path path) {
        return new ForwardingSettingsFile(SettingsFile.read(path, ALL));
    }

    /** Returns the settings of the node. */
    public ForwardingSettings settings() {
        return new ForwardingSettings(
                NodeName.of(mFile.text(INNER)),
                mFile.text(LABEL),
                DataCentreName.of(mFile.text(DATA_CENTRE)),
                mFile.flag(FIRST_START),
                address(CALLERS),
                address(READINESS),
                address(INNER),
                seeds(),
                new FleetRetrySettings(
                        Duration.ofMillis(mFile.number(RETRY_WINDOW)),
                        mFile.decimal(RETRY_SHARE),
                        mFile.decimal(RETRY_ALLOWANCE)),
                new LimitTolerance(
                        Duration.ofMillis(mFile.number(TOLERANCE_WINDOW)),
                        mFile.decimal(TOLERANCE_SHARE),
                        mFile.number(TOLERANCE_TOKENS)),
                mFile.flag(CUT_WITHDRAWN),
                Duration.ofMillis(mFile.number(ORDER_PAUSE)).plus(ORDER_MARGIN),
                Duration.ofMillis(mFile.number(STOP)),
                (int) mFile.number(LOGGED_REQUESTS));
    }

    /** Returns where the platform's store listens. */
    public EndpointAddress storeAddress() {
        return EndpointAddress.parse(mFile.text(STORE));
    }

    private InetSocketAddress address(Setting setting) {
        return EndpointAddress.parse(mFile.text(setting)).toSocketAddress();
    }

    private List<NodeName> seeds() {
        return Arrays.stream(mFile.text(SEEDS).split(","))
                .map(String::strip)
                .filter(seed -> !seed.isEmpty())
                .map(NodeName::of)
                .toList();
    }
}
