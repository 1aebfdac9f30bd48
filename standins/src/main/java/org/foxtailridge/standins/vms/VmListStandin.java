package org.foxtailridge.standins.vms;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.foxtailridge.standins.server.Exchange;
import org.foxtailridge.standins.server.Refusal;
import org.foxtailridge.standins.server.StandinServer;
import org.foxtailridge.standins.time.EventLoop;
import org.foxtailridge.standins.time.ThreadEventLoop;

/**
 * Stand-in of the platform's VM list; answers with the list as it was one lag ago.
 *
 * <pre>{@code
 * try (VmListStandin vms = VmListStandin.builder().lag(Duration.ofSeconds(5)).start()) {
 *     vms.put(entry); // seen by readers five seconds later
 * }
 * }</pre>
 */
public final class VmListStandin implements AutoCloseable {
    private static final Pattern VM_PATH = Pattern.compile("/vms/([A-Za-z0-9._:-]{1,128})");
    private static final int MAXIMUM_VERSIONS = 10_000;

    private final EventLoop mLoop;
    private final StandinServer mServer;
    private final Deque<Version> mVersions = new ArrayDeque<>();
    private Duration mLag;
    private boolean mOutage;

    private VmListStandin(Builder settings) {
        mLoop = settings.mLoop == null ? ThreadEventLoop.start("vm-list-standin") : settings.mLoop;
        mLag = settings.mLag;
        mVersions.add(new Version(Instant.MIN, new TreeMap<>()));
        mServer = StandinServer.start("vm-list-standin-http", settings.mPort, mLoop, this::route);
    }

    /** Returns a builder of a list without lag. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the base address. */
    public URI address() {
        return mServer.address();
    }

    /** Adds a VM or replaces the one of the same name. */
    public void put(VmEntry entry) {
        mLoop.execute(() -> putNow(entry));
    }

    /** Removes a VM; does nothing when there is none of this name. */
    public void remove(String name) {
        mLoop.execute(() -> removeNow(name));
    }

    /** Sets all fault switches. */
    public void setFaults(VmListFaults faults) {
        mLoop.execute(() -> applyFaults(faults));
    }

    @Override
    public void close() {
        mServer.close();
        mLoop.close();
    }

    private void route(Exchange exchange) {
        Matcher vm = VM_PATH.matcher(exchange.path());
        String call = exchange.method() + " " + (vm.matches() ? "/vms/" : exchange.path());
        switch (call) {
            case "GET /vms" -> mLoop.execute(() -> answerList(exchange));
            case "PUT /vms/" -> {
                VmEntry entry = exchange.body(VmEntry.class).named(vm.group(1));
                then(exchange, () -> putNow(entry));
            }
            case "DELETE /vms/" -> {
                String name = vm.group(1);
                then(exchange, () -> removeNow(name));
            }
            case "POST /faults" -> {
                VmListFaults faults = exchange.body(VmListFaults.class);
                then(exchange, () -> applyFaults(faults));
            }
            default -> exchange.answer(404, Refusal.notStarted("unknown_path"));
        }
    }

    private void then(Exchange exchange, Runnable change) {
        mLoop.execute(
                () -> {
                    change.run();
                    exchange.answer(204);
                });
    }

    private void answerList(Exchange exchange) {
        if (mOutage) {
            exchange.answer(503, Refusal.notStarted("outage"));
            return;
        }
        Instant asOf = mLoop.clock().instant().minus(mLag);
        Version seen = mVersions.peekFirst();
        for (Version version : mVersions) {
            if (version.since().isAfter(asOf)) {
                break;
            }
            seen = version;
        }
        List<VmEntry> entries = List.copyOf(seen.vms().values());
        exchange.answer(200, new VmList(asOf.toEpochMilli(), entries));
    }

    private void putNow(VmEntry entry) {
        SortedMap<String, VmEntry> next = new TreeMap<>(mVersions.peekLast().vms());
        next.put(entry.name(), entry);
        addVersion(next);
    }

    private void removeNow(String name) {
        SortedMap<String, VmEntry> next = new TreeMap<>(mVersions.peekLast().vms());
        next.remove(name);
        addVersion(next);
    }

    private void addVersion(SortedMap<String, VmEntry> vms) {
        mVersions.addLast(new Version(mLoop.clock().instant(), vms));
        if (mVersions.size() > MAXIMUM_VERSIONS) {
            mVersions.removeFirst();
        }
    }

    private void applyFaults(VmListFaults faults) {
        mOutage = faults.outage();
        if (faults.lagMs() != null) {
            mLag = Duration.ofMillis(faults.lagMs());
        }
        mServer.disturb(faults.refuseMs(), faults.holdMs());
    }

    private record Version(Instant since, SortedMap<String, VmEntry> vms) {}

    private record VmList(long asOfMs, List<VmEntry> vms) {}

    /** Builds and starts a {@link VmListStandin}. */
    public static final class Builder {
        private EventLoop mLoop;
        private int mPort;
        private Duration mLag = Duration.ZERO;

        private Builder() {}

        /** Sets the loop that gives time and delays; by default a thread in real time. */
        public Builder loop(EventLoop loop) {
            mLoop = loop;
            return this;
        }

        /** Sets the port; 0 picks a free one. */
        public Builder port(int port) {
            mPort = port;
            return this;
        }

        /** Sets how far the list lags behind. */
        public Builder lag(Duration lag) {
            mLag = lag;
            return this;
        }

        /** Starts the stand-in. */
        public VmListStandin start() {
            return new VmListStandin(this);
        }
    }
}
