package org.foxtailridge.bench.limits;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.foxtailridge.bench.Comparison;
import org.foxtailridge.bench.ComparisonTable;

/**
 * Compares grants of a home node with an equal split and with one exact bucket, on the shapes of
 * the deployments: nine nodes, three data centres, five client accounts.
 */
public final class LimitsComparison implements Comparison {
    private static final int NODES = 9;
    private static final double INSIDE = 0.7;
    private static final double NEAR = 0.95;
    private static final double OVER = 4.0;
    private static final int PERCENT = 100;
    private static final int LARGE_FLOOR_PERCENT = 40;
    private static final List<String> COLUMNS =
            List.of(
                    "demand",
                    "policy",
                    "refused inside rate %",
                    "tokens over",
                    "messages/s node",
                    "bytes/s node",
                    "bytes/s busiest");

    @Override
    public String name() {
        return "limits";
    }

    @Override
    public ComparisonTable run(long seed) {
        ComparisonTable.Builder table = ComparisonTable.builder(name(), COLUMNS);
        scenarios().forEach(scenario -> addRows(scenario, seed, table));
        return table.build();
    }

    static List<DemandScenario> scenarios() {
        List<LimitedAccount> inside = accounts(INSIDE, INSIDE);
        List<DemandScenario> scenarios = new ArrayList<>();
        for (DemandScenario.Callers callers : DemandScenario.Callers.values()) {
            String name = callers.name().toLowerCase(Locale.ROOT).replace('_', ' ');
            scenarios.add(scenario(name, inside, callers, DemandScenario.Fault.NONE));
        }
        DemandScenario.Callers even = DemandScenario.Callers.EVEN;
        DemandScenario.Callers shifting = DemandScenario.Callers.SHIFTING;
        scenarios.add(
                scenario(
                        "even at 0.95 x rate",
                        accounts(NEAR, NEAR),
                        even,
                        DemandScenario.Fault.NONE));
        scenarios.add(
                scenario(
                        "one at 4 x rate",
                        accounts(OVER, INSIDE),
                        even,
                        DemandScenario.Fault.NONE));
        scenarios.add(
                scenario(
                        "crash a minute",
                        inside,
                        shifting,
                        DemandScenario.Fault.CRASH_EVERY_MINUTE));
        scenarios.add(
                scenario(
                        "planned a minute",
                        inside,
                        shifting,
                        DemandScenario.Fault.PLANNED_EVERY_MINUTE));
        scenarios.add(
                scenario("data centre cut", inside, even, DemandScenario.Fault.DATA_CENTRE_CUT));
        return scenarios;
    }

    private static DemandScenario scenario(
            String name,
            List<LimitedAccount> accounts,
            DemandScenario.Callers callers,
            DemandScenario.Fault fault) {
        return new DemandScenario(name, NODES, accounts, callers, fault);
    }

    private static List<LimitedAccount> accounts(double loadOfFirst, double load) {
        return List.of(
                LimitedAccount.of("large-1", 20_000, 60_000, loadOfFirst),
                LimitedAccount.of("large-2", 16_000, 48_000, load),
                LimitedAccount.of("middle", 6_000, 20_000, load),
                LimitedAccount.of("small-1", 2_000, 10_000, load),
                LimitedAccount.of("small-2", 1_000, 6_000, load));
    }

    private static void addRows(DemandScenario scenario, long seed, ComparisonTable.Builder table) {
        List<LimitedRequest> requests = new LimitsDemand(scenario, seed).requests();
        LimitsRun exact = new LimitsSimulation(scenario, LimiterPolicy.singleBucket(), seed).run();
        RefusalCount refusals = new RefusalCount(requests, exact);
        policies(scenario.nodes())
                .forEach(
                        (name, policy) -> {
                            LimitsRun run =
                                    new LimitsSimulation(scenario, policy.get(), seed).run();
                            parts(scenario)
                                    .forEach(
                                            (part, counted) ->
                                                    table.row(
                                                            row(
                                                                    scenario.name() + part,
                                                                    name,
                                                                    refusals.share(run, counted),
                                                                    run)));
                        });
    }

    private static Map<String, Supplier<LimiterPolicy>> policies(int nodes) {
        Map<String, Supplier<LimiterPolicy>> policies = new LinkedHashMap<>();
        policies.put("single bucket", LimiterPolicy::singleBucket);
        policies.put("equal split", () -> LimiterPolicy.equalSplit(nodes));
        policies.put("grants", () -> LimiterPolicy.grants(nodes));
        policies.put("grants, floor 40 %", () -> LimiterPolicy.grants(nodes, LARGE_FLOOR_PERCENT));
        return policies;
    }

    private static Map<String, Predicate<LimitedRequest>> parts(DemandScenario scenario) {
        if (scenario.fault() != DemandScenario.Fault.DATA_CENTRE_CUT) {
            return Map.of("", request -> true);
        }
        Map<String, Predicate<LimitedRequest>> parts = new LinkedHashMap<>();
        Predicate<LimitedRequest> during =
                request ->
                        request.atMilliseconds() >= LimitsSimulation.CutTime.FROM_MILLISECONDS
                                && request.atMilliseconds()
                                        < LimitsSimulation.CutTime.UNTIL_MILLISECONDS;
        parts.put(", there", during.and(request -> request.node() % 3 == 0));
        parts.put(", elsewhere", during.and(request -> request.node() % 3 != 0));
        parts.put(", before and after", during.negate());
        return parts;
    }

    private static List<String> row(String demand, String policy, double refused, LimitsRun run) {
        return List.of(
                demand,
                policy,
                String.format(Locale.ROOT, "%.3f", refused * PERCENT),
                Long.toString(run.overTokens()),
                String.format(Locale.ROOT, "%.1f", run.messagesPerSecond()),
                String.format(Locale.ROOT, "%.0f", run.bytesPerSecond()),
                String.format(Locale.ROOT, "%.0f", run.mostBytesPerSecond()));
    }
}
