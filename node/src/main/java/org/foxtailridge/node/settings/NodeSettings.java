package org.foxtailridge.node.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.NodeName;

/**
 * Settings of a node.
 *
 * <pre>{@code
 * NodeSettings settings = NodeSettings.read(Path.of("node.toml"));
 * settings.callerPort();
 * }</pre>
 */
public final class NodeSettings {
    private static final long MAXIMUM_PORT = 65_535;
    private static final long KIBIBYTE = 1024;
    private static final long MEBIBYTE = 1024 * KIBIBYTE;

    private static final Setting NAME =
            Setting.requiredText("node.name", "Name of the VM and of its node.");
    private static final Setting DATA_CENTRE =
            Setting.requiredText("node.data_centre", "Name of the data centre.");
    private static final Setting STOP_SECONDS =
            Setting.number(
                    "node.stop_seconds",
                    "seconds",
                    30,
                    1,
                    3600,
                    "Time that a graceful shutdown gives to running requests.");
    private static final Setting CALLER_HOST =
            Setting.text("callers.host", "127.0.0.1", "Address on which callers connect.");
    private static final Setting CALLER_PORT =
            Setting.number(
                    "callers.port",
                    "port",
                    8080,
                    0,
                    MAXIMUM_PORT,
                    "Port on which callers connect; 0 picks a free one.");
    private static final Setting CERTIFICATE_FILE =
            Setting.text(
                    "callers.certificate_file",
                    "",
                    "Certificate chain in PEM; with key_file turns on TLS; read anew on change.");
    private static final Setting KEY_FILE =
            Setting.text("callers.key_file", "", "Private key in PEM (PKCS 8, not encrypted).");
    private static final Setting HEAD_BYTES =
            Setting.number(
                    "callers.maximum_head_bytes",
                    "bytes",
                    16 * KIBIBYTE,
                    KIBIBYTE,
                    MEBIBYTE,
                    "Largest request head.");
    private static final Setting BODY_BYTES =
            Setting.number(
                    "callers.maximum_body_bytes",
                    "bytes",
                    4 * MEBIBYTE,
                    KIBIBYTE,
                    64 * MEBIBYTE,
                    "Largest request body.");
    private static final Setting CALLER_IDLE =
            Setting.number(
                    "callers.idle_timeout_milliseconds",
                    "milliseconds",
                    60_000,
                    100,
                    3_600_000,
                    "Time without a byte after which a caller's connection is closed.");
    private static final Setting CONNECTIONS =
            Setting.number(
                    "callers.maximum_connections",
                    "connections",
                    4096,
                    1,
                    1_000_000,
                    "Largest number of callers' connections.");
    private static final Setting CALLER_THREADS =
            Setting.number(
                    "callers.threads", "threads", 64, 8, 1024, "Threads that serve callers.");
    private static final Setting OPERATOR_HOST =
            Setting.text("operators.host", "127.0.0.1", "Address on which operators connect.");
    private static final Setting OPERATOR_PORT =
            Setting.number(
                    "operators.port",
                    "port",
                    9100,
                    0,
                    MAXIMUM_PORT,
                    "Port on which operators connect; 0 picks a free one.");
    private static final Setting FAULT_SWITCHES =
            Setting.flag(
                    "operators.fault_switches",
                    false,
                    "Serves POST /faults, by which tests cut this node off. Never on in service.");
    private static final Setting PEER_HOST =
            Setting.text("peers.host", "127.0.0.1", "Address on which other nodes connect.");
    private static final Setting PEER_PORT =
            Setting.number(
                    "peers.port",
                    "port",
                    9000,
                    0,
                    MAXIMUM_PORT,
                    "Port on which other nodes connect; 0 picks a free one.");
    private static final Setting PEER_SECRET =
            Setting.requiredText(
                    "peers.secret", "Secret that all nodes share; at least 16 characters.");
    private static final Setting LOG_ADDRESS =
            Setting.requiredText("platform.log", "Base address of the log service.");
    private static final Setting VM_LIST_ADDRESS =
            Setting.requiredText("platform.vm_list", "Base address of the VM list.");
    private static final Setting PLATFORM_TIMEOUT =
            Setting.number(
                    "platform.timeout_milliseconds",
                    "milliseconds",
                    2000,
                    50,
                    60_000,
                    "Time after which a call of the platform is given up.");
    private static final Setting LOG_RETENTION =
            Setting.number(
                    "platform.log_retention_seconds",
                    "seconds",
                    604_800,
                    60,
                    31_536_000,
                    "Time for which the log keeps records.");
    private static final Setting REPORT_INTERVAL =
            Setting.number(
                    "endpoints.report_interval_milliseconds",
                    "milliseconds",
                    500,
                    20,
                    60_000,
                    "Time between two reads of an engine's load report.");
    private static final Setting STREAM_IDLE =
            Setting.number(
                    "endpoints.stream_idle_timeout_milliseconds",
                    "milliseconds",
                    10_000,
                    100,
                    600_000,
                    "Time without a byte after which an engine's stream is broken off.");
    private static final Setting ENDPOINT_CONNECTIONS =
            Setting.number(
                    "endpoints.maximum_connections",
                    "connections",
                    512,
                    1,
                    65_536,
                    "Largest number of connections to one endpoint.");
    private static final Setting MAXIMUM_NODES =
            Setting.number(
                    "limits.maximum_nodes",
                    "nodes",
                    9,
                    1,
                    10_000,
                    "Most nodes that run at once over all data centres; equal on all nodes.");
    private static final Setting FLOOR_DELAY =
            Setting.number(
                    "limits.floor_delay_seconds",
                    "seconds",
                    60,
                    0,
                    86_400,
                    "Age of a process from which it uses its floor of each rate; at least the time"
                            + " by which a replaced process may outlive its replacement's start.");
    private static final Setting RING_TASKS =
            Setting.number(
                    "duties.ring_tasks",
                    "tasks",
                    16_384,
                    64,
                    1_048_576,
                    "Tasks that the ring of each duty holds; a power of two.");

    /** All settings, in the order of the settings reference. */
    public static final List<Setting> ALL =
            List.of(
                    NAME,
                    DATA_CENTRE,
                    STOP_SECONDS,
                    CALLER_HOST,
                    CALLER_PORT,
                    CERTIFICATE_FILE,
                    KEY_FILE,
                    HEAD_BYTES,
                    BODY_BYTES,
                    CALLER_IDLE,
                    CONNECTIONS,
                    CALLER_THREADS,
                    OPERATOR_HOST,
                    OPERATOR_PORT,
                    FAULT_SWITCHES,
                    PEER_HOST,
                    PEER_PORT,
                    PEER_SECRET,
                    LOG_ADDRESS,
                    VM_LIST_ADDRESS,
                    PLATFORM_TIMEOUT,
                    LOG_RETENTION,
                    REPORT_INTERVAL,
                    STREAM_IDLE,
                    ENDPOINT_CONNECTIONS,
                    MAXIMUM_NODES,
                    FLOOR_DELAY,
                    RING_TASKS);

    private final SettingsFile mFile;

    private NodeSettings(SettingsFile file) {
        mFile = file;
    }

    /**
     * Reads a settings file.
     *
     * @throws SettingsException if the file can't be read or holds something that is not allowed
     */
    public static NodeSettings read(Path path) {
        return new NodeSettings(SettingsFile.read(path, ALL));
    }

    /**
     * Reads settings from a text.
     *
     * @param name name shown in errors
     * @param text TOML
     * @throws SettingsException if the text holds something that is not allowed
     */
    public static NodeSettings parse(String name, String text) {
        return new NodeSettings(SettingsFile.parse(name, text, ALL));
    }

    /** Returns the name of the node. */
    public NodeName name() {
        return NodeName.of(mFile.text(NAME));
    }

    /** Returns the name of the data centre. */
    public DataCentreName dataCentre() {
        return DataCentreName.of(mFile.text(DATA_CENTRE));
    }

    /** Returns the time that a graceful shutdown gives to running requests. */
    public Duration stopTimeout() {
        return Duration.ofSeconds(mFile.number(STOP_SECONDS));
    }

    /** Returns the address on which callers connect. */
    public String callerHost() {
        return mFile.text(CALLER_HOST);
    }

    /** Returns the port on which callers connect; 0 picks a free one. */
    public int callerPort() {
        return (int) mFile.number(CALLER_PORT);
    }

    /** Returns the certificate and key for TLS towards callers, empty for plain HTTP. */
    public Optional<TlsFiles> callerTls() {
        String certificate = mFile.text(CERTIFICATE_FILE);
        String key = mFile.text(KEY_FILE);
        if (certificate.isEmpty() || key.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new TlsFiles(Path.of(certificate), Path.of(key)));
    }

    /** Returns the size of the largest request head, in bytes. */
    public int maximumHeadBytes() {
        return (int) mFile.number(HEAD_BYTES);
    }

    /** Returns the size of the largest request body, in bytes. */
    public int maximumBodyBytes() {
        return (int) mFile.number(BODY_BYTES);
    }

    /** Returns the time without a byte after which a caller's connection is closed. */
    public Duration callerIdleTimeout() {
        return Duration.ofMillis(mFile.number(CALLER_IDLE));
    }

    /** Returns the largest number of callers' connections. */
    public int maximumConnections() {
        return (int) mFile.number(CONNECTIONS);
    }

    /** Returns the number of threads that serve callers. */
    public int callerThreads() {
        return (int) mFile.number(CALLER_THREADS);
    }

    /** Returns the address on which operators connect. */
    public String operatorHost() {
        return mFile.text(OPERATOR_HOST);
    }

    /** Returns the port on which operators connect; 0 picks a free one. */
    public int operatorPort() {
        return (int) mFile.number(OPERATOR_PORT);
    }

    /** Returns whether tests may cut this node off through its operators' port. */
    public boolean faultSwitches() {
        return mFile.flag(FAULT_SWITCHES);
    }

    /** Returns the address on which other nodes connect. */
    public String peerHost() {
        return mFile.text(PEER_HOST);
    }

    /** Returns the port on which other nodes connect; 0 picks a free one. */
    public int peerPort() {
        return (int) mFile.number(PEER_PORT);
    }

    /** Returns the secret that all nodes share. */
    public String peerSecret() {
        return mFile.text(PEER_SECRET);
    }

    /** Returns the base address of the log service. */
    public String logAddress() {
        return mFile.text(LOG_ADDRESS);
    }

    /** Returns the base address of the VM list. */
    public String vmListAddress() {
        return mFile.text(VM_LIST_ADDRESS);
    }

    /** Returns the time after which a call of the platform is given up. */
    public Duration platformTimeout() {
        return Duration.ofMillis(mFile.number(PLATFORM_TIMEOUT));
    }

    /** Returns the time for which the log keeps records. */
    public Duration logRetention() {
        return Duration.ofSeconds(mFile.number(LOG_RETENTION));
    }

    /** Returns the time between two reads of an engine's load report. */
    public Duration reportInterval() {
        return Duration.ofMillis(mFile.number(REPORT_INTERVAL));
    }

    /** Returns the time without a byte after which an engine's stream is broken off. */
    public Duration streamIdleTimeout() {
        return Duration.ofMillis(mFile.number(STREAM_IDLE));
    }

    /** Returns the largest number of connections to one endpoint. */
    public int endpointConnections() {
        return (int) mFile.number(ENDPOINT_CONNECTIONS);
    }

    /** Returns the number of tasks that the ring of each duty holds. */
    public int ringTasks() {
        return (int) mFile.number(RING_TASKS);
    }

    /** Returns the most nodes that run at once over all data centres. */
    public int maximumNodes() {
        return (int) mFile.number(MAXIMUM_NODES);
    }

    /** Returns the age of a process from which it uses its floor of each rate. */
    public Duration floorDelay() {
        return Duration.ofSeconds(mFile.number(FLOOR_DELAY));
    }
}
