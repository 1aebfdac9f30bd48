package org.foxtailridge.cli.quickstart;

import com.google.common.collect.Lists;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.configuration.model.Adapter;
import org.foxtailridge.configuration.model.Model;
import org.foxtailridge.standins.engine.EngineStandin;
import org.foxtailridge.standins.engine.Preloaded;
import org.foxtailridge.standins.log.LogStandin;
import org.foxtailridge.standins.service.ServiceStandin;
import org.foxtailridge.standins.vms.VmListStandin;
import org.foxtailridge.standins.weights.WeightStoreStandin;

/** The stand-ins of a quickstart. */
final class OutsideSystems implements AutoCloseable {
    private static final Duration LOAD_REPORT_LAG = Duration.ofMillis(200);

    private final List<AutoCloseable> mRunning = new ArrayList<>();
    private final LogStandin mLog;
    private final VmListStandin mVmList;
    private final List<URI> mEngines = new ArrayList<>();
    private final List<URI> mWorkers = new ArrayList<>();

    OutsideSystems(QuickstartSettings settings, QuickstartLists lists) {
        mLog = keep(LogStandin.builder().port(settings.logPort()).start());
        mVmList = keep(VmListStandin.builder().start());
        WeightStoreStandin store = keep(WeightStoreStandin.builder().start());
        for (int engine = 0; engine < settings.endpoints(); engine++) {
            mEngines.add(startEngine(engine, settings, lists, store));
        }
        for (int worker = 0; worker < lists.servicePools().size(); worker++) {
            mWorkers.add(keep(ServiceStandin.builder().start()).address());
        }
    }

    String logAddress() {
        return mLog.address().toString();
    }

    VmListStandin vmList() {
        return mVmList;
    }

    List<URI> engines() {
        return mEngines;
    }

    List<URI> workers() {
        return mWorkers;
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable running : Lists.reverse(mRunning)) {
            running.close();
        }
    }

    private URI startEngine(
            int number,
            QuickstartSettings settings,
            QuickstartLists lists,
            WeightStoreStandin store) {
        EngineStandin.Builder builder =
                EngineStandin.builder("engine-" + number)
                        .seed(number)
                        .memoryBytes(QuickstartLists.ENGINE_MEMORY_BYTES)
                        .weightStore(store.address())
                        .loadReportLag(LOAD_REPORT_LAG)
                        .cacheEventLag(LOAD_REPORT_LAG)
                        .firstToken(Duration.ofMillis(settings.firstTokenMilliseconds()))
                        .betweenTokens(Duration.ofMillis(settings.betweenTokensMilliseconds()));
        for (Model model : lists.modelsOf(number)) {
            builder.preload(
                    Preloaded.model(
                            model.name(),
                            model.version(),
                            model.weightsBytes(),
                            model.workingBytes()));
            for (Adapter adapter : lists.adaptersOf(model)) {
                builder.preload(
                        Preloaded.adapter(
                                adapter.name(),
                                adapter.model(),
                                adapter.version(),
                                adapter.bytes()));
            }
        }
        return keep(builder.start()).address();
    }

    private <T extends AutoCloseable> T keep(T running) {
        mRunning.add(running);
        return running;
    }
}
