package org.foxtailridge.bench.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.configuration.model.ClientAccount;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.EndpointKind;
import org.foxtailridge.configuration.model.Plan;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.routing.CacheEvent;
import org.foxtailridge.routing.CacheEventBatch;
import org.foxtailridge.routing.EndpointState;
import org.foxtailridge.routing.LoadReport;

/** One run of one policy over one demand. */
final class Simulation {
    private static final long DRAIN_MICROSECONDS = 60_000_000;
    private static final long REPORT_MICROSECONDS = 1_000_000;
    private static final long REPORT_LAG_MICROSECONDS = 500_000;
    private static final long CACHE_MICROSECONDS = 500_000;
    private static final long CACHE_LAG_MICROSECONDS = 300_000;
    private static final int CACHE_LOSS_PERCENT = 3;
    private static final long CRASH_MICROSECONDS = 15_000_000;
    private static final long DOWN_MICROSECONDS = 8_000_000;
    private static final long NEWS_MICROSECONDS = 1_000_000;
    private static final double SLOWNESS = 2.5;
    private static final long PLACEMENT_SEED = 7;

    private final EventQueue mEvents = new EventQueue();
    private final Deployment mDeployment;
    private final UniformRandomProvider mRandom;
    private final List<FakeEngine> mEngines = new ArrayList<>();
    private final List<FakeNode> mNodes = new ArrayList<>();
    private final List<Journey> mJourneys = new ArrayList<>();

    Simulation(
            Deployment deployment, List<Journey> demand, Policy policy, boolean faults, long seed) {
        mDeployment = deployment;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        addEngines();
        addNodes(policy);
        for (Journey journey : demand) {
            Journey fresh = journey.fresh();
            mJourneys.add(fresh);
            FakeNode node = mNodes.get(fresh.number() % mNodes.size());
            mEvents.at(fresh.arrival() + 1, () -> node.submit(fresh));
        }
        if (faults) {
            scheduleFaults();
        }
    }

    /** Returns the requests with what became of them, after {@link #run}. */
    List<Journey> journeys() {
        return mJourneys;
    }

    Outcome run() {
        mEvents.runUntil(Demand.LENGTH_MICROSECONDS + DRAIN_MICROSECONDS);
        int retried = mNodes.stream().mapToInt(FakeNode::retried).sum();
        int preempted = mNodes.stream().mapToInt(FakeNode::preempted).sum();
        return Outcome.of(mDeployment, mJourneys, retried, preempted);
    }

    private void addEngines() {
        List<Set<String>> models = placement();
        for (int index = 0; index < mDeployment.engines(); index++) {
            FakeEngine engine =
                    new FakeEngine(
                            mEvents,
                            EndpointName.of("engine-" + index),
                            mDeployment.dataCentreOf(index),
                            models.get(index));
            mEngines.add(engine);
            long stagger = REPORT_MICROSECONDS * index / mDeployment.engines();
            mEvents.at(1 + stagger, () -> report(engine));
            mEvents.at(1 + stagger, () -> publishCacheEvents(engine));
        }
    }

    private List<Set<String>> placement() {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(PLACEMENT_SEED);
        List<Set<String>> placement = new ArrayList<>();
        for (int index = 0; index < mDeployment.engines(); index++) {
            placement.add(new HashSet<>());
        }
        for (int model = 0; model < mDeployment.models(); model++) {
            int placed = 0;
            while (placed < mDeployment.replicas()) {
                Set<String> engine = placement.get(random.nextInt(mDeployment.engines()));
                placed += engine.add("model-" + model) ? 1 : 0;
            }
        }
        return placement;
    }

    private void addNodes(Policy policy) {
        Map<EndpointName, FakeEngine> engines = new LinkedHashMap<>();
        mEngines.forEach(engine -> engines.put(engine.name(), engine));
        AdapterStore adapters = new AdapterStore(mEvents, mDeployment.adaptersInTransit());
        Configuration configuration = configuration();
        for (int index = 0; index < mDeployment.nodes(); index++) {
            String dataCentre = mDeployment.dataCentreOf(index);
            FakeNode node = new FakeNode(mEvents, index, dataCentre, engines, adapters, policy);
            node.configure(configuration);
            mEngines.forEach(engine -> node.report(engine.name(), engine.report(0)));
            mNodes.add(node);
        }
    }

    private Configuration configuration() {
        Configuration.Builder builder = Configuration.builder();
        for (FakeEngine engine : mEngines) {
            builder.put(
                    new Endpoint(
                            engine.name().value(),
                            EndpointKind.ENGINE,
                            "pool",
                            engine.dataCentre(),
                            "http://engine",
                            1,
                            1,
                            true,
                            false));
        }
        for (int account = 0; account < mDeployment.shares().size(); account++) {
            long rate = Math.round(mDeployment.shares().get(account) * 10_000);
            String plan = "plan-" + account;
            builder.put(
                    new Plan(plan, rate, rate, List.of("*"), List.of("*"), List.of(), 60, 1_000));
            builder.put(new ClientAccount("account-" + account, plan));
        }
        return builder.build();
    }

    private void report(FakeEngine engine) {
        mEvents.after(REPORT_MICROSECONDS, () -> report(engine));
        if (!engine.isUp()) {
            return;
        }
        LoadReport report = engine.report(mEvents.millis());
        mEvents.after(
                REPORT_LAG_MICROSECONDS,
                () -> mNodes.forEach(node -> node.report(engine.name(), report)));
    }

    private void publishCacheEvents(FakeEngine engine) {
        mEvents.after(CACHE_MICROSECONDS, () -> publishCacheEvents(engine));
        List<CacheEvent> taken = engine.takeCacheEvents();
        if (taken.isEmpty() || mRandom.nextInt(100) < CACHE_LOSS_PERCENT) {
            return;
        }
        CacheEventBatch events = new CacheEventBatch(engine.incarnation(), taken);
        mEvents.after(
                CACHE_LAG_MICROSECONDS,
                () -> mNodes.forEach(node -> node.cacheChanged(engine.name(), events)));
    }

    private void scheduleFaults() {
        for (long at = CRASH_MICROSECONDS;
                at < Demand.LENGTH_MICROSECONDS;
                at += CRASH_MICROSECONDS) {
            FakeEngine engine = mEngines.get(mRandom.nextInt(mEngines.size()));
            mEvents.at(at, () -> crash(engine));
        }
        FakeEngine slow = mEngines.get(mRandom.nextInt(mEngines.size()));
        mEvents.at(Demand.LENGTH_MICROSECONDS / 3, () -> slow.setSlowness(SLOWNESS));
        mEvents.at(Demand.LENGTH_MICROSECONDS * 2 / 3, () -> slow.setSlowness(1));
    }

    private void crash(FakeEngine engine) {
        if (!engine.isUp()) {
            return;
        }
        engine.crash();
        tell(engine, EndpointState.DOWN);
        mEvents.after(
                DOWN_MICROSECONDS,
                () -> {
                    engine.restart();
                    tell(engine, EndpointState.UP);
                });
    }

    private void tell(FakeEngine engine, EndpointState state) {
        mEvents.after(
                NEWS_MICROSECONDS,
                () -> mNodes.forEach(node -> node.endpointChanged(engine.name(), state)));
    }
}
