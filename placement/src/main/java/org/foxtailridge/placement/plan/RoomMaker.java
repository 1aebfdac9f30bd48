package org.foxtailridge.placement.plan;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Finds copies that can be cleared off an endpoint without taking a model's last copy. */
final class RoomMaker {
    private final Draft mDraft;

    RoomMaker(Draft draft) {
        mDraft = draft;
    }

    /**
     * Copies to clear.
     *
     * @param victims copies that would go
     * @param cost what their going takes away, in accelerators
     */
    record Clearing(List<Holder> victims, double cost) {}

    /**
     * Returns the cheapest copies whose going makes room for the model, if there are any. An older
     * version of the model on the endpoint must go, as an engine may hold one version only.
     */
    Optional<Clearing> clear(ModelState model, Slot slot, boolean urgent) {
        long missing = model.mNeed.footprintBytes() - slot.mFreeBytes;
        List<Holder> victims = new ArrayList<>();
        double cost = 0;
        for (Holder holder : slot.mHolders) {
            if (holder.mModel != model) {
                continue;
            }
            if (!holder.isLasting() || !isSpare(holder)) {
                return Optional.empty();
            }
            victims.add(holder);
            missing -= holder.mBytes + model.mNeed.adapterRoomBytes();
        }
        for (Holder holder : candidates(slot, urgent)) {
            if (holder.mModel == model) {
                continue;
            }
            if (missing <= 0) {
                break;
            }
            victims.add(holder);
            cost += costOf(holder);
            missing -= holder.mBytes + holder.mModel.mNeed.adapterRoomBytes();
        }
        return missing <= 0 ? Optional.of(new Clearing(victims, cost)) : Optional.empty();
    }

    /** Returns what the going of a copy takes away, in accelerators. */
    double costOf(Holder holder) {
        ModelState model = holder.mModel;
        double share = model.mDemand / Math.max(1, model.countedCopies());
        boolean only =
                model.mHolders.stream()
                        .filter(other -> other != holder && other.isCounted())
                        .noneMatch(
                                other ->
                                        other.mSlot
                                                .mView
                                                .dataCentre()
                                                .equals(holder.mSlot.mView.dataCentre()));
        return share + (only ? mDraft.mSettings.coverageValue() : 0);
    }

    private List<Holder> candidates(Slot slot, boolean urgent) {
        Instant youngest = mDraft.mNow.minus(mDraft.mSettings.shortestStay());
        return slot.mHolders.stream()
                .filter(Holder::isLasting)
                .filter(holder -> urgent || !holder.mSince.isAfter(youngest))
                .filter(RoomMaker::isSpare)
                .sorted(Comparator.comparingDouble(this::costOf))
                .toList();
    }

    /** Returns whether another copy of the model serves and stays. */
    static boolean isSpare(Holder holder) {
        return holder.mModel.mHolders.stream()
                .anyMatch(other -> other != holder && other.isLasting());
    }
}
