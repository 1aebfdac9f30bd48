package org.foxtailridge.placement.plan;

import java.time.Clock;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.foxtailridge.configuration.model.Adapter;
import org.foxtailridge.placement.engine.Artifact;
import org.foxtailridge.placement.order.OrderRequest;

/**
 * Decides the next loads and unloads.
 *
 * <p>In order of urgency: a copy for each listed model that has none; a copy in each data centre
 * where memory is free; more copies for models whose endpoints are all busy; removal of what is not
 * listed. A copy is only unloaded while another one serves. A move for the sake of demand must take
 * a least load off busy endpoints and more, by a factor, than what it displaces; a copy stays for a
 * shortest time before demand may displace it.
 *
 * <pre>{@code
 * PlacementPlanner planner = new PlacementPlanner(PlannerSettings.defaults(), clock);
 * planner.models(needs);
 * planner.update(endpointView);
 * planner.demand("writer", 1_200);
 * List<OrderRequest> steps = planner.plan(loadsAtOnce);
 * }</pre>
 */
public final class PlacementPlanner {
    private static final List<PlanPhase> PHASES =
            List.of(
                    new ReservationPhase(),
                    new ReachabilityPhase(),
                    new DemandPhase(),
                    new SpreadPhase(),
                    new CleanUpPhase());

    private final PlannerSettings mSettings;
    private final Clock mClock;
    private final Reservations mReservations;
    private final Map<String, EndpointMemory> mEndpoints = new TreeMap<>();
    private final Map<String, Double> mDemand = new HashMap<>();
    private List<ModelNeed> mModels = List.of();
    private Set<Artifact> mAdapters = Set.of();

    /** Creates a planner that knows no models and no endpoints. */
    public PlacementPlanner(PlannerSettings settings, Clock clock) {
        mSettings = Objects.requireNonNull(settings, "settings");
        mClock = Objects.requireNonNull(clock, "clock");
        mReservations = new Reservations(settings.reservationTime());
    }

    /** Sets the listed models. */
    public void models(List<ModelNeed> models) {
        mModels = List.copyOf(models);
        mDemand.keySet().retainAll(models.stream().map(need -> need.model().name()).toList());
    }

    /** Sets the listed adapters. */
    public void adapters(List<Adapter> adapters) {
        mAdapters =
                adapters.stream()
                        .map(
                                adapter ->
                                        Artifact.adapter(
                                                adapter.name(), adapter.model(), adapter.version()))
                        .collect(Collectors.toSet());
    }

    /** Sets the demand for a model, in tokens a second. */
    public void demand(String model, double tokensPerSecond) {
        mDemand.put(model, tokensPerSecond);
    }

    /** Sets what is known of an endpoint. */
    public void update(EndpointView view) {
        mEndpoints
                .computeIfAbsent(view.name(), name -> new EndpointMemory())
                .update(view, mClock.instant());
    }

    /** Removes an endpoint that is not listed any more. */
    public void remove(String endpoint) {
        mEndpoints.remove(endpoint);
    }

    /**
     * Returns the next steps, the most urgent first; the same steps again until the views show
     * their effect.
     *
     * @param loadsAtOnce loads that may be on their way at once, those already ordered included
     */
    public List<OrderRequest> plan(int loadsAtOnce) {
        Draft draft = draft(loadsAtOnce);
        PHASES.forEach(phase -> phase.apply(draft));
        return draft.steps();
    }

    private Draft draft(int loadsAtOnce) {
        Instant now = mClock.instant();
        Map<String, ModelState> models = new LinkedHashMap<>();
        for (ModelNeed need : mModels) {
            double tokens = mDemand.getOrDefault(need.model().name(), 0.0);
            double demand = tokens / mSettings.tokensPerSecondPerAccelerator();
            models.put(need.model().name(), new ModelState(need, demand));
        }
        List<Slot> slots = new ArrayList<>(mEndpoints.size());
        int coming = 0;
        for (EndpointMemory endpoint : mEndpoints.values()) {
            Slot slot = endpoint.slot(now, mSettings);
            coming += fill(slot, endpoint, models);
            slots.add(slot);
        }
        models.values().forEach(model -> Draft.spreadLoad(model, 1));
        Draft draft =
                new Draft(
                        mSettings,
                        now,
                        mReservations,
                        models.values(),
                        slots,
                        mAdapters,
                        loadsAtOnce);
        draft.countComing(coming);
        return draft;
    }

    private int fill(Slot slot, EndpointMemory endpoint, Map<String, ModelState> models) {
        int coming = 0;
        for (Copy copy : slot.mView.copies()) {
            coming += slot.mView.live() && copy.state() == CopyState.COMING ? 1 : 0;
            ModelState model = models.get(copy.artifact().name());
            if (model != null) {
                Instant since = endpoint.since(copy.artifact());
                Holder holder = new Holder(model, slot, copy, since);
                model.mHolders.add(holder);
                slot.mHolders.add(holder);
                slot.mFreeBytes -= adapterRoomLeft(slot, model);
            }
        }
        return coming;
    }

    private static long adapterRoomLeft(Slot slot, ModelState model) {
        long loaded = 0;
        for (Copy adapter : slot.mView.adapters()) {
            loaded += adapter.artifact().model().equals(model.name()) ? adapter.bytes() : 0;
        }
        return Math.max(0, model.mNeed.adapterRoomBytes() - loaded);
    }

    /** The last view of an endpoint, and since when it holds its copies. */
    private static final class EndpointMemory {
        private final Map<Artifact, Instant> mSince = new HashMap<>();
        private EndpointView mView;
        private Instant mLastLive = Instant.MIN;

        void update(EndpointView view, Instant now) {
            mView = view;
            mLastLive = view.live() ? now : mLastLive;
            mSince.keySet().retainAll(view.copies().stream().map(Copy::artifact).toList());
            view.copies().forEach(copy -> mSince.putIfAbsent(copy.artifact(), now));
        }

        Instant since(Artifact artifact) {
            return mSince.get(artifact);
        }

        Slot slot(Instant now, PlannerSettings settings) {
            boolean expected =
                    mView.live()
                            || !mLastLive.equals(Instant.MIN)
                                    && now.isBefore(mLastLive.plus(settings.absenceGrace()));
            return new Slot(mView, expected);
        }
    }
}
