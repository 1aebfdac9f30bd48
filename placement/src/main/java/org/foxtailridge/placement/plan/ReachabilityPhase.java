package org.foxtailridge.placement.plan;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Gives a copy of the listed version to each model that has none on an endpoint that stays: models
 * that nothing serves first, the largest first among them.
 */
final class ReachabilityPhase implements PlanPhase {
    @Override
    public void apply(Draft draft) {
        List<ModelState> lacking =
                draft.models().stream()
                        .filter(ReachabilityPhase::lacksCopy)
                        .sorted(
                                Comparator.comparing(ReachabilityPhase::isServed)
                                        .thenComparing(model -> -model.mNeed.footprintBytes()))
                        .toList();
        for (ModelState model : lacking) {
            if (draft.mayLoad()) {
                place(draft, model);
            }
        }
    }

    private static boolean lacksCopy(ModelState model) {
        return model.counted().noneMatch(Holder::isCurrent);
    }

    private static boolean isServed(ModelState model) {
        return model.mHolders.stream().anyMatch(Holder::isServing);
    }

    private static void place(Draft draft, ModelState model) {
        Optional<Slot> free =
                draft.slots().stream()
                        .filter(slot -> draft.isEligible(model, slot))
                        .filter(slot -> draft.fits(model, slot))
                        .min(
                                Comparator.comparingDouble(Slot::load)
                                        .thenComparing(slot -> -slot.mFreeBytes));
        if (free.isPresent()) {
            draft.load(model, free.get());
        } else if (!displace(draft, model)) {
            Relocation.find(draft, model).ifPresent(relocation -> relocation.apply(draft));
        }
    }

    private static boolean displace(Draft draft, ModelState model) {
        RoomMaker roomMaker = new RoomMaker(draft);
        Slot best = null;
        RoomMaker.Clearing cheapest = null;
        for (Slot slot : draft.slots()) {
            if (!isAllowed(model, slot)) {
                continue;
            }
            Optional<RoomMaker.Clearing> clearing = roomMaker.clear(model, slot, true);
            if (clearing.isPresent()
                    && (cheapest == null || clearing.get().cost() < cheapest.cost())) {
                best = slot;
                cheapest = clearing.get();
            }
        }
        if (best != null) {
            draft.displace(model, best, cheapest.victims());
        }
        return best != null;
    }

    /** Returns whether the endpoint may take the model, also in place of an older version. */
    private static boolean isAllowed(ModelState model, Slot slot) {
        return slot.mView.takesWork()
                && model.mNeed.allows(slot.mView.pool())
                && slot.mHolders.stream()
                        .noneMatch(holder -> holder.mModel == model && holder.isCurrent());
    }
}
