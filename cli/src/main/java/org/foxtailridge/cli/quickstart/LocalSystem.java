package org.foxtailridge.cli.quickstart;

import java.net.URI;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.foxtailridge.cli.configuration.EditPublisher;
import org.foxtailridge.cli.configuration.PublishedState;
import org.foxtailridge.cli.platform.Connection;
import org.foxtailridge.cli.quickstart.ReadySystem.AccountKey;
import org.foxtailridge.cli.terminal.Terminal;
import org.foxtailridge.clients.log.LogService;
import org.foxtailridge.configuration.key.GivenKey;
import org.foxtailridge.configuration.key.KeyGenerator;
import org.foxtailridge.configuration.list.ListDifference;
import org.foxtailridge.configuration.model.ClientAccount;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.record.Change;
import org.foxtailridge.configuration.record.Edit;
import org.foxtailridge.node.Node;
import org.foxtailridge.node.settings.NodeSettings;
import org.foxtailridge.standins.vms.VmEntry;

/** Nodes and stand-ins in this process. */
final class LocalSystem implements AutoCloseable {
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration PAUSE = Duration.ofMillis(50);
    private static final String AUTHOR = "quickstart";

    private final Terminal mTerminal;
    private final QuickstartLists mLists;
    private final OutsideSystems mOutside;
    private final List<Node> mNodes = new ArrayList<>();
    private final List<AccountKey> mKeys = new ArrayList<>();

    private LocalSystem(QuickstartSettings settings, Configuration listed, Terminal terminal) {
        mTerminal = terminal;
        mLists = new QuickstartLists(listed);
        mOutside = new OutsideSystems(settings, mLists);
        publish();
        for (int node = 0; node < settings.nodes(); node++) {
            mNodes.add(startNode(node, settings));
        }
    }

    /**
     * Starts a system and waits until it takes requests.
     *
     * @throws SystemNotReadyException when it does not in 30 seconds
     */
    static LocalSystem start(QuickstartSettings settings, Configuration listed, Terminal terminal) {
        LocalSystem system = new LocalSystem(settings, listed, terminal);
        system.awaitReady();
        return system;
    }

    ReadySystem ready() {
        return new ReadySystem(
                "ready",
                mNodes.stream().map(Node::callerAddress).toList(),
                mNodes.stream().map(Node::operatorAddress).toList(),
                mOutside.logAddress(),
                mOutside.vmList().address().toString(),
                mKeys.isEmpty() ? null : mKeys.get(0).key(),
                mKeys);
    }

    @Override
    public void close() throws Exception {
        List<CompletableFuture<Void>> stops =
                mNodes.stream()
                        .map(node -> CompletableFuture.runAsync(node::stop, LocalSystem::inThread))
                        .toList();
        stops.forEach(CompletableFuture::join);
        mOutside.close();
    }

    private static void inThread(Runnable task) {
        new Thread(task, "stop of a node").start();
    }

    private void publish() {
        KeyGenerator keys = new KeyGenerator(new SecureRandom());
        Configuration listed = mLists.withEndpoints(mOutside.engines(), mOutside.workers());
        try (Connection connection = Connection.open(CALL_TIMEOUT)) {
            LogService log = connection.log(mOutside.logAddress());
            EditPublisher publisher = new EditPublisher(log, mTerminal);
            ListDifference.between(new PublishedState(log).read(), listed)
                    .toEdit("quickstart-lists", AUTHOR)
                    .ifPresent(publisher::publish);
            List<Change> changes = new ArrayList<>();
            for (ClientAccount account : mLists.accounts()) {
                GivenKey given = keys.give(account.name());
                mKeys.add(new AccountKey(account.name(), given.key()));
                changes.add(Change.set(given.entry(), Change.NO_VERSION));
            }
            if (!changes.isEmpty()) {
                publisher.publish(new Edit("quickstart-keys", AUTHOR, changes));
            }
        }
    }

    private Node startNode(int number, QuickstartSettings settings) {
        String name = "node-" + number;
        String dataCentre = QuickstartLists.dataCentre(number);
        String text =
                """
                [node]
                name = "%s"
                data_centre = "%s"
                [callers]
                port = %d
                [operators]
                port = %d
                [peers]
                port = 0
                secret = "secret of the quickstart on loopback"
                [platform]
                log = "%s"
                vm_list = "%s"
                """
                        .formatted(
                                name,
                                dataCentre,
                                settings.callerPort(number),
                                settings.operatorPort(number),
                                mOutside.logAddress(),
                                mOutside.vmList().address());
        Node node = Node.start(NodeSettings.parse(name, text));
        mOutside.vmList()
                .put(
                        new VmEntry(
                                name,
                                dataCentre,
                                node.innerAddress(),
                                authority(node.operatorAddress()),
                                authority(node.callerAddress()),
                                "live"));
        return node;
    }

    private void awaitReady() {
        Instant end = mTerminal.clock().instant().plus(READY_TIMEOUT);
        try (ProbeClient probe = new ProbeClient()) {
            for (Node node : mNodes) {
                while (!node.isReady() || !answers(node, probe)) {
                    if (mTerminal.clock().instant().isAfter(end)) {
                        throw new SystemNotReadyException(node.callerAddress(), READY_TIMEOUT);
                    }
                    mTerminal.pause(PAUSE);
                }
            }
        }
    }

    private boolean answers(Node node, ProbeClient probe) {
        List<ClientAccount> accounts = mLists.accounts();
        String model = accounts.isEmpty() ? null : mLists.modelFor(accounts.get(0));
        return model == null || probe.completes(node.callerAddress(), mKeys.get(0).key(), model);
    }

    private static String authority(String address) {
        return URI.create(address).getAuthority();
    }
}
