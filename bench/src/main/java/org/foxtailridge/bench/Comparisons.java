package org.foxtailridge.bench;

import java.util.List;
import org.foxtailridge.bench.claim.ClaimComparison;
import org.foxtailridge.bench.configuration.PropagationComparison;
import org.foxtailridge.bench.limits.LimitsComparison;
import org.foxtailridge.bench.limits.LimitsScaleComparison;
import org.foxtailridge.bench.membership.ProbeComparison;
import org.foxtailridge.bench.placement.PlacementComparison;
import org.foxtailridge.bench.routing.FairnessComparison;
import org.foxtailridge.bench.routing.RoutingComparison;

/** All comparisons by name. */
public final class Comparisons {
    private static final List<Comparison> ALL =
            List.of(
                    new LimitsComparison(),
                    new LimitsScaleComparison(),
                    new ClaimComparison(),
                    new RoutingComparison(),
                    new FairnessComparison(),
                    new PlacementComparison(),
                    new PropagationComparison(),
                    new ProbeComparison());

    private Comparisons() {}

    /** Returns the names of all comparisons. */
    public static List<String> names() {
        return ALL.stream().map(Comparison::name).toList();
    }

    /** Returns a comparison; fails with {@link UnknownComparisonException}. */
    public static Comparison named(String name) {
        return ALL.stream()
                .filter(comparison -> comparison.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new UnknownComparisonException(names(), name));
    }
}
