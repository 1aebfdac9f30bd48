package org.foxtailridge.placement.announced;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which model is to be loaded next where, and what makes room for it.
 *
 * <p>Those models come first whose requests gain the most: the ones that most requests ask for of
 * each copy, where requests for a model without a copy count several times. A copy makes room only
 * while its model keeps as many copies as it needs; the last copy of a model that nobody asks for
 * gives way only to one that is asked for and has none.
 */
final class CopyPlanner {
    // Nobody who asks for a model without a copy is served, most who ask for a crowded one are.
    private static final double NO_COPY_FACTOR = 4;
    // A model without a copy that nobody asks for comes before copies that carry less than this.
    private static final double NO_COPY = 4;
    // Callers come back once, after a third of their time; nobody is to miss a model for good.
    private static final long LONGEST_MISSING_MILLISECONDS = 4_000;
    private static final double FIRST_OF_ALL = 1e6;
    private static final double IDLE_REQUESTS = 0.3;
    // A data centre that is cut off has only its own copies; worth waiting for a load from the
    // store.
    private static final double SAME_DATA_CENTRE = 5;
    // Time that the last run on a copy takes to end once the copy gets no new ones.
    private static final double RUN_SECONDS = 3;
    // A model without a copy keeps the next request for it waiting for a whole load.
    private static final double LAST_COPY_LOSS = 4;

    private final AnnouncedPlacementSettings mSettings;
    private final PoolSize mPool;
    private final List<EngineState> mEngines;
    private final ModelDemands mDemands;
    private final Map<String, RoomBeingMade> mRoom;
    private final Map<String, Long> mMissingSince;
    private final StoreLoads mStore;
    private final long mHolderSinceMilliseconds;
    private final long mNow;
    private final CopyIndex mIndex;
    // Engines that may be given an order; those that this plan uses are removed.
    private final List<EngineState> mFree = new ArrayList<>();
    private final Set<EngineState> mUsed = new HashSet<>();
    private final Map<String, Integer> mPlanned = new HashMap<>();
    // Loads of one copy by model; valid until the plan changes the number of copies.
    private final Map<String, Double> mLoadPerCopy = new HashMap<>();

    CopyPlanner(
            AnnouncedPlacementSettings settings,
            PoolSize pool,
            Collection<EngineState> engines,
            ModelDemands demands,
            Map<String, RoomBeingMade> room,
            Map<String, Long> missingSince,
            StoreLoads store,
            long holderSinceMilliseconds,
            long now) {
        mSettings = settings;
        mPool = pool;
        mEngines = List.copyOf(engines);
        mDemands = demands;
        mRoom = room;
        mMissingSince = missingSince;
        mStore = store;
        mHolderSinceMilliseconds = holderSinceMilliseconds;
        mNow = now;
        mIndex = new CopyIndex(mEngines, pool);
    }

    /** Returns the steps to take now, one for each engine at most. */
    List<CopyStep> plan() {
        mRoom.values().removeIf(this::isLost);
        List<Want> wants = new ArrayList<>();
        for (ModelSize model : mPool.models()) {
            want(model).ifPresent(wants::add);
        }
        wants.sort(Comparator.comparingDouble(Want::urgency).reversed());
        List<CopyStep> steps = new ArrayList<>(repeats());
        mEngines.stream()
                .filter(engine -> engine.isUsable() && engine.isIdle() && !engine.isDoubtful())
                .filter(engine -> !mUsed.contains(engine))
                .forEach(mFree::add);
        for (Want want : wants) {
            step(want)
                    .ifPresent(
                            step -> {
                                steps.add(step);
                                mFree.remove(step.engine());
                                mPlanned.merge(step.model(), step.load() ? 1 : -1, Integer::sum);
                                mLoadPerCopy.remove(step.model());
                            });
        }
        return steps;
    }

    /** Returns whether room won't be there in time, so that it is made elsewhere. */
    private boolean isLost(RoomBeingMade room) {
        boolean usable =
                mEngines.stream()
                        .filter(engine -> engine.name().equals(room.engine()))
                        .anyMatch(engine -> engine.isUsable() && !engine.isDoubtful());
        return !usable || mNow >= room.untilMilliseconds();
    }

    /** Returns the orders without an answer that are sent once more. */
    private List<CopyStep> repeats() {
        List<CopyStep> steps = new ArrayList<>();
        for (EngineState engine : mEngines) {
            if (engine.isUsable()) {
                engine.unansweredOrder()
                        .filter(order -> mayRepeat(engine, order))
                        .ifPresent(
                                order -> {
                                    mUsed.add(engine);
                                    String model = order.model();
                                    steps.add(new CopyStep(engine, order.load(), model, model));
                                });
            }
        }
        return steps;
    }

    private boolean mayRepeat(EngineState engine, ModelOrder order) {
        if (!order.load()) {
            return copies(order.model()) > 1 || mPool.model(order.model()).isEmpty();
        }
        Optional<ModelSize> model = mPool.model(order.model());
        if (model.isEmpty()) {
            return false;
        }
        // An engine that has restarted since then may hold something else by now.
        boolean fits = mIndex.chargedMegabytes(engine) <= mPool.megabytes();
        return fits && mayLoad(engine, model.get());
    }

    private Optional<Want> want(ModelSize model) {
        String name = model.name();
        double demand = mDemands.of(name);
        int copies = copies(name) + mIndex.loading(name);
        if (copies > 0) {
            mMissingSince.remove(name);
        }
        int needed = needed(name);
        if (copies >= needed) {
            mRoom.remove(name);
            return Optional.empty();
        }
        double load = demand / Math.max(1, copies);
        double urgency = copies == 0 ? urgencyWithoutCopy(name, load) : load;
        return Optional.of(new Want(model, copies, load, urgency));
    }

    /** Returns the urgency of a model without a copy; the longer it is asked for, the greater. */
    private double urgencyWithoutCopy(String model, double load) {
        if (load <= 0) {
            return NO_COPY;
        }
        long missing = mNow - mMissingSince.computeIfAbsent(model, name -> mNow);
        double urgency = NO_COPY + load * NO_COPY_FACTOR;
        return missing >= LONGEST_MISSING_MILLISECONDS ? urgency + FIRST_OF_ALL : urgency;
    }

    /** Returns the copies that serve, less those that this plan takes away. */
    private int copies(String model) {
        return mIndex.serving(model) + Math.min(0, mPlanned.getOrDefault(model, 0));
    }

    /** Returns the copies that a model is to have. */
    private int needed(String model) {
        double loadSeconds = mPool.model(model).map(ModelSize::storeSeconds).orElse(0.0);
        double demand = mDemands.ahead(model, loadSeconds);
        int byLoad = (int) Math.ceil(demand / (mPool.slots() * mSettings.fillTarget()));
        boolean active = demand >= mSettings.activeRequests();
        // Until anything was asked for, the copies at the start are all that is known of demand.
        boolean popular = !mDemands.isKnown() && copies(model) > 1;
        int least = active || popular ? 2 : 1;
        if (demand >= mSettings.crowdedRequests()) {
            least = Math.max(least, mIndex.usableDataCentres());
        }
        return Math.min(mIndex.usableEngines(), Math.max(least, byLoad));
    }

    private Optional<CopyStep> step(Want want) {
        RoomBeingMade room = mRoom.get(want.model().name());
        Set<String> takenEngines = enginesWithRoomForOthers(want.model().name());
        List<Place> places = new ArrayList<>();
        for (EngineState engine : mFree) {
            boolean elsewhere = room != null && !room.engine().equals(engine.name());
            boolean taken = takenEngines.contains(engine.name());
            if (!elsewhere && !taken && isEligible(engine, want.model())) {
                place(engine, want).ifPresent(places::add);
            }
        }
        return places.stream()
                .min(Comparator.comparingDouble(Place::cost))
                .flatMap(place -> begin(place, want));
    }

    private boolean isEligible(EngineState engine, ModelSize model) {
        return !engine.holds(model.name()) && fitsBesideLateOrder(engine, model);
    }

    /**
     * Returns whether a model fits beside one that an order to the engine's life before, which
     * comes late and happens to name the right number, may still load.
     */
    private boolean fitsBesideLateOrder(EngineState engine, ModelSize model) {
        boolean mayCome =
                engine.hasRestartedSince(
                        mNow - mSettings.lateOrderLife().toMillis(), mHolderSinceMilliseconds);
        double charged = mIndex.chargedMegabytes(engine) + model.megabytes();
        return !mayCome || charged + mPool.largestMegabytes() <= mPool.megabytes();
    }

    /** Returns the engines on which room is being made for other models. */
    private Set<String> enginesWithRoomForOthers(String model) {
        Set<String> engines = new HashSet<>();
        mRoom.forEach(
                (other, room) -> {
                    if (!other.equals(model)) {
                        engines.add(room.engine());
                    }
                });
        return engines;
    }

    private Optional<Place> place(EngineState engine, Want want) {
        double free = mPool.megabytes() - mIndex.chargedMegabytes(engine);
        double missing = want.model().megabytes() - free;
        List<String> victims = new ArrayList<>();
        double lost = 0;
        for (String victim : missing > 0 ? victims(engine, want) : List.<String>of()) {
            if (missing <= 0) {
                break;
            }
            victims.add(victim);
            missing -= mPool.model(victim).map(ModelSize::megabytes).orElse(0.0);
            lost += loss(victim);
        }
        if (missing > 0) {
            return Optional.empty();
        }
        double cost =
                loadSeconds(engine, want.model())
                        + lost
                        + unloadSeconds(victims)
                        + crowding(engine, want.model().name())
                        + engineLoad(engine);
        return Optional.of(new Place(engine, victims, cost));
    }

    /** Returns the models that may make room, those first that are missed least. */
    private List<String> victims(EngineState engine, Want want) {
        List<String> victims = new ArrayList<>();
        for (String model : engine.models()) {
            if (mayGo(model, want)) {
                victims.add(model);
            }
        }
        if (victims.size() > 1) {
            victims.sort(Comparator.comparingDouble(this::loss));
        }
        return victims;
    }

    private boolean mayGo(String model, Want want) {
        if (mPool.model(model).isEmpty()) {
            return true;
        }
        int copies = copies(model);
        boolean urgent = want.copies() == 0 && want.load() > 0;
        if (copies <= 1) {
            return urgent && mDemands.of(model) < IDLE_REQUESTS;
        }
        double afterwards = mDemands.of(model) / (copies - 1);
        boolean gains =
                want.load() >= mSettings.crowdedRequests()
                        && afterwards * mSettings.gainFactor() < want.load();
        boolean reaches = want.copies() == 0 && (urgent || copies > needed(model));
        return reaches || gains;
    }

    /** Returns how much a copy is missed: as requests that its engine runs less. */
    private double loss(String model) {
        if (mPool.model(model).isEmpty()) {
            return 0;
        }
        int copies = copies(model);
        return copies > 1 ? loadPerCopy(model) + 1.0 / copies : LAST_COPY_LOSS;
    }

    private double loadPerCopy(String model) {
        return mLoadPerCopy.computeIfAbsent(
                model, name -> mDemands.of(name) / Math.max(1, copies(name)));
    }

    /** Returns what a further copy in a data centre is worth less than a first one there. */
    private double crowding(EngineState engine, String model) {
        boolean held = mIndex.isHeldIn(engine.view().dataCentre(), model);
        return held ? SAME_DATA_CENTRE : 0;
    }

    /** Returns the time until the runs of models that make room have ended, one after another. */
    private double unloadSeconds(List<String> victims) {
        return victims.stream()
                .mapToDouble(victim -> Math.min(1, loadPerCopy(victim)) * RUN_SECONDS)
                .sum();
    }

    private double engineLoad(EngineState engine) {
        double load = 0;
        for (String model : engine.models()) {
            load += loadPerCopy(model);
        }
        return load / mPool.slots();
    }

    private static double loadSeconds(EngineState engine, ModelSize model) {
        if (engine.view().inHostMemory().contains(model.name())) {
            return model.memorySeconds();
        }
        return engine.view().onDisk().contains(model.name())
                ? model.diskSeconds()
                : model.storeSeconds();
    }

    /** Returns whether a load may begin now; one from the weight store is taken from its budget. */
    private boolean mayLoad(EngineState engine, ModelSize model) {
        boolean atHand =
                engine.view().inHostMemory().contains(model.name())
                        || engine.view().onDisk().contains(model.name());
        return atHand || mStore.tryTake();
    }

    private Optional<CopyStep> begin(Place place, Want want) {
        String model = want.model().name();
        if (!place.victims().isEmpty()) {
            long until = mNow + mSettings.roomLife().toMillis();
            mRoom.put(model, new RoomBeingMade(place.engine().name(), until));
            String victim = place.victims().get(0);
            return Optional.of(new CopyStep(place.engine(), false, victim, model));
        }
        if (!mayLoad(place.engine(), want.model())) {
            return Optional.empty();
        }
        mRoom.remove(model);
        return Optional.of(new CopyStep(place.engine(), true, model, model));
    }

    /**
     * Room that is being made for a model.
     *
     * @param engine name of the engine
     * @param untilMilliseconds when it is meant for the model no longer
     */
    record RoomBeingMade(String engine, long untilMilliseconds) {}

    /**
     * A copy that is wanted.
     *
     * @param model the model
     * @param copies copies that it has
     * @param load requests under way for each of them
     * @param urgency what decides which want comes first
     */
    private record Want(ModelSize model, int copies, double load, double urgency) {}

    private record Place(EngineState engine, List<String> victims, double cost) {}
}
