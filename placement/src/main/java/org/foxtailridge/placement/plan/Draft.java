package org.foxtailridge.placement.plan;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.foxtailridge.placement.engine.Artifact;
import org.foxtailridge.placement.order.OrderAction;
import org.foxtailridge.placement.order.OrderRequest;

/** The fleet inside one planning run, with the steps decided so far. */
final class Draft {
    private static final int WITNESSES = 3;

    final PlannerSettings mSettings;
    final Instant mNow;
    final Reservations mReservations;
    private final List<Slot> mSlots;
    private final Map<String, ModelState> mModels = new LinkedHashMap<>();
    private final Set<Artifact> mListedAdapters;
    private final Map<String, List<Slot>> mByDataCentre = new HashMap<>();
    private final List<OrderRequest> mSteps = new ArrayList<>();
    private int mLoadsLeft;

    Draft(
            PlannerSettings settings,
            Instant now,
            Reservations reservations,
            Collection<ModelState> models,
            List<Slot> slots,
            Set<Artifact> listedAdapters,
            int loadsAtOnce) {
        mSettings = settings;
        mNow = now;
        mReservations = reservations;
        mSlots = slots;
        mListedAdapters = listedAdapters;
        models.forEach(model -> mModels.put(model.name(), model));
        mLoadsLeft = loadsAtOnce;
        for (Slot slot : slots) {
            mByDataCentre
                    .computeIfAbsent(slot.mView.dataCentre(), name -> new ArrayList<>())
                    .add(slot);
        }
    }

    Collection<ModelState> models() {
        return mModels.values();
    }

    List<Slot> slots() {
        return mSlots;
    }

    Map<String, List<Slot>> byDataCentre() {
        return mByDataCentre;
    }

    List<OrderRequest> steps() {
        return mSteps;
    }

    void countComing(int loads) {
        mLoadsLeft -= loads;
    }

    boolean mayLoad() {
        return mLoadsLeft > 0;
    }

    boolean isEligible(ModelState model, Slot slot) {
        return slot.mView.takesWork()
                && model.mNeed.allows(slot.mView.pool())
                && !slot.holds(model);
    }

    boolean fits(ModelState model, Slot slot) {
        return slot.mFreeBytes >= model.mNeed.footprintBytes();
    }

    /** Plans the load of a model onto an endpoint that has room. */
    void load(ModelState model, Slot slot) {
        mLoadsLeft--;
        slot.mFreeBytes -= model.mNeed.footprintBytes();
        addComing(model, slot);
        ModelNeed need = model.mNeed;
        mSteps.add(
                new OrderRequest(
                        slot.mView.name(),
                        OrderAction.LOAD_MODEL,
                        need.artifact(),
                        need.model().weightsBytes(),
                        need.model().workingBytes(),
                        List.of()));
    }

    /** Plans to clear copies off an endpoint and keeps the room for a model. */
    void displace(ModelState model, Slot slot, List<Holder> victims) {
        mLoadsLeft--;
        victims.forEach(this::unload);
        mReservations.put(model.name(), slot.mView.name(), mNow);
        slot.mFreeBytes -= model.mNeed.footprintBytes();
        addComing(model, slot);
    }

    /** Plans the unload of a copy, its adapters first. */
    void unload(Holder holder) {
        List<String> witnesses = witnesses(holder);
        spreadLoad(holder.mModel, -1);
        holder.mState = CopyState.GOING;
        spreadLoad(holder.mModel, 1);
        unload(holder.mSlot, holder.mArtifact, holder.mBytes, witnesses);
    }

    /** Plans the unload of an artifact, its adapters first. */
    void unload(Slot slot, Artifact artifact, long bytes, List<String> witnesses) {
        List<Copy> adapters =
                slot.mView.adapters().stream()
                        .filter(copy -> copy.artifact().model().equals(artifact.name()))
                        .toList();
        for (Copy adapter : adapters) {
            mSteps.add(step(slot, OrderAction.UNLOAD_ADAPTER, adapter.artifact(), List.of()));
        }
        if (adapters.isEmpty()) {
            mSteps.add(step(slot, OrderAction.UNLOAD_MODEL, artifact, witnesses));
        }
    }

    /** Plans the unload of adapters that are not listed, unless they still stand in for one. */
    void unloadUnlistedAdapters(Slot slot) {
        for (Copy adapter : slot.mView.adapters()) {
            if (slot.mView.live() && adapter.isServing() && isObsolete(adapter.artifact(), slot)) {
                mSteps.add(step(slot, OrderAction.UNLOAD_ADAPTER, adapter.artifact(), List.of()));
            }
        }
    }

    private boolean isObsolete(Artifact adapter, Slot slot) {
        if (mListedAdapters.contains(adapter)) {
            return false;
        }
        Predicate<Artifact> replaces =
                listed ->
                        listed.name().equals(adapter.name())
                                && listed.model().equals(adapter.model());
        return mListedAdapters.stream().noneMatch(replaces)
                || slot.mView.adapters().stream()
                        .filter(Copy::isServing)
                        .map(Copy::artifact)
                        .filter(mListedAdapters::contains)
                        .anyMatch(replaces);
    }

    void addComing(ModelState model, Slot slot) {
        spreadLoad(model, -1);
        ModelNeed need = model.mNeed;
        Copy copy = new Copy(need.artifact(), need.chargeBytes(), CopyState.COMING);
        Holder holder = new Holder(model, slot, copy, mNow);
        model.mHolders.add(holder);
        slot.mHolders.add(holder);
        spreadLoad(model, 1);
    }

    /** Adds a model's demand to the endpoints of its copies in equal parts, or takes it off. */
    static void spreadLoad(ModelState model, int sign) {
        int copies = model.countedCopies();
        if (copies == 0) {
            return;
        }
        double share = sign * model.mDemand / copies;
        for (Holder holder : model.mHolders) {
            if (holder.isCounted()) {
                holder.mSlot.mBusy += share;
            }
        }
    }

    private static OrderRequest step(
            Slot slot, OrderAction action, Artifact artifact, List<String> witnesses) {
        return new OrderRequest(slot.mView.name(), action, artifact, 0, 0, witnesses);
    }

    private static List<String> witnesses(Holder holder) {
        return holder.mModel.mHolders.stream()
                .filter(other -> other != holder && other.isLasting())
                .map(other -> other.mSlot.mView.name())
                .limit(WITNESSES)
                .toList();
    }
}
