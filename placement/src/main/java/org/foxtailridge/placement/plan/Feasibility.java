package org.foxtailridge.placement.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.foxtailridge.configuration.model.Adapter;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.EndpointKind;
import org.foxtailridge.configuration.model.Model;

/**
 * Checks that every listed model finds a home, with room to spare for a second copy of the largest
 * one, without which a version could not be changed or a model moved without a gap.
 *
 * <pre>{@code
 * Feasibility.of(configuration, PlannerSettings.defaults()).requireFeasible();
 * }</pre>
 */
public final class Feasibility {
    private static final int SEARCH_STEPS = 20_000;

    private final List<ModelNeed> mNeeds;
    private final List<Endpoint> mEndpoints;
    private int mStepsLeft = SEARCH_STEPS;

    private Feasibility(List<ModelNeed> needs, List<Endpoint> endpoints) {
        mNeeds = withSpare(needs);
        mEndpoints = endpoints;
    }

    /** Returns the check of a configuration. */
    public static Feasibility of(Configuration configuration, PlannerSettings settings) {
        List<ModelNeed> needs =
                ModelNeed.of(
                        configuration.all(Model.class),
                        configuration.all(Adapter.class),
                        settings.adaptersWithRoom());
        List<Endpoint> endpoints =
                configuration.all(Endpoint.class).stream()
                        .filter(endpoint -> endpoint.kind() == EndpointKind.ENGINE)
                        .filter(endpoint -> !endpoint.leaving())
                        .toList();
        return new Feasibility(needs, endpoints);
    }

    /** Returns what is missing, if the models do not fit. */
    public Optional<InfeasiblePlacementException> failure() {
        long[] free = mEndpoints.stream().mapToLong(Endpoint::memoryBytes).toArray();
        ModelNeed unplaced = placeFirstFit(free.clone());
        mStepsLeft = SEARCH_STEPS;
        if (unplaced == null || search(0, free.clone(), new ArrayList<>())) {
            return Optional.empty();
        }
        return Optional.of(failureOf(unplaced, free));
    }

    /**
     * Checks that the models fit.
     *
     * @throws InfeasiblePlacementException with the arithmetic, if they do not
     */
    public void requireFeasible() {
        failure()
                .ifPresent(
                        failure -> {
                            throw failure;
                        });
    }

    private static List<ModelNeed> withSpare(List<ModelNeed> needs) {
        List<ModelNeed> largestFirst = new ArrayList<>(needs);
        largestFirst.sort(
                Comparator.comparingLong(ModelNeed::footprintBytes)
                        .reversed()
                        .thenComparing(need -> need.model().name()));
        if (!largestFirst.isEmpty()) {
            largestFirst.add(0, largestFirst.get(0));
        }
        return largestFirst;
    }

    /** Places each model where the least memory is left; returns the first that finds no room. */
    private ModelNeed placeFirstFit(long[] free) {
        Set<Integer> largestAt = new HashSet<>();
        for (int index = 0; index < mNeeds.size(); index++) {
            int best = -1;
            for (int at = 0; at < free.length; at++) {
                boolean allowed = fits(index, at, free) && !(index < 2 && largestAt.contains(at));
                best = allowed && (best < 0 || free[at] < free[best]) ? at : best;
            }
            if (best < 0) {
                return mNeeds.get(index);
            }
            if (index < 2) {
                largestAt.add(best);
            }
            free[best] -= mNeeds.get(index).footprintBytes();
        }
        return null;
    }

    private boolean search(int index, long[] free, List<Integer> homes) {
        if (index == mNeeds.size()) {
            return true;
        }
        Set<String> tried = new HashSet<>();
        for (int at = 0; at < free.length; at++) {
            boolean twice = index == 1 && homes.get(0) == at;
            if (twice || !fits(index, at, free) || !tried.add(likeness(at, free))) {
                continue;
            }
            if (mStepsLeft-- <= 0) {
                return false;
            }
            free[at] -= mNeeds.get(index).footprintBytes();
            homes.add(at);
            boolean found = search(index + 1, free, homes);
            homes.remove(homes.size() - 1);
            free[at] += mNeeds.get(index).footprintBytes();
            if (found) {
                return true;
            }
        }
        return false;
    }

    /** Returns what two endpoints must share for a search to try only one of them. */
    private String likeness(int at, long[] free) {
        return mEndpoints.get(at).pool() + " " + free[at];
    }

    private boolean fits(int index, int at, long[] free) {
        ModelNeed need = mNeeds.get(index);
        return need.allows(mEndpoints.get(at).pool()) && free[at] >= need.footprintBytes();
    }

    private InfeasiblePlacementException failureOf(ModelNeed unplaced, long[] offered) {
        long[] free = offered.clone();
        placeFirstFit(free);
        long largest = 0;
        long all = 0;
        for (int at = 0; at < free.length; at++) {
            boolean allowed = unplaced.allows(mEndpoints.get(at).pool());
            largest = Math.max(largest, allowed ? free[at] : 0);
            all += offered[at];
        }
        long needed = mNeeds.stream().mapToLong(ModelNeed::footprintBytes).sum();
        return new InfeasiblePlacementException(
                unplaced.model().name(), unplaced.footprintBytes(), largest, needed, all);
    }
}
