package org.foxtailridge.placement.plan;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Loads a copy into each data centre that has none and has free memory, busiest models first. */
final class SpreadPhase implements PlanPhase {
    @Override
    public void apply(Draft draft) {
        List<ModelState> models =
                draft.models().stream()
                        .sorted(
                                Comparator.comparingInt(ModelState::countedCopies)
                                        .thenComparing(model -> -model.mDemand))
                        .toList();
        for (ModelState model : models) {
            for (List<Slot> slots : draft.byDataCentre().values()) {
                if (!draft.mayLoad()) {
                    return;
                }
                cover(draft, model, slots);
            }
        }
    }

    private static void cover(Draft draft, ModelState model, List<Slot> slots) {
        if (model.covers(slots.get(0).mView.dataCentre())) {
            return;
        }
        Optional<Slot> best =
                slots.stream()
                        .filter(slot -> draft.isEligible(model, slot))
                        .filter(slot -> draft.fits(model, slot))
                        .min(
                                Comparator.comparingDouble(Slot::load)
                                        .thenComparing(slot -> -slot.mFreeBytes));
        best.ifPresent(slot -> draft.load(model, slot));
    }
}
