package org.foxtailridge.placement.plan;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Unloads what is not listed any more and replaces older versions in their places, one copy of a
 * model at a time, once the listed version serves elsewhere.
 */
final class CleanUpPhase implements PlanPhase {
    @Override
    public void apply(Draft draft) {
        Map<String, ModelState> models =
                draft.models().stream()
                        .collect(Collectors.toMap(ModelState::name, Function.identity()));
        for (Slot slot : draft.slots()) {
            unloadUnlisted(draft, slot, models);
            draft.unloadUnlistedAdapters(slot);
        }
        draft.models().forEach(model -> unloadOutdated(draft, model));
    }

    private static void unloadUnlisted(Draft draft, Slot slot, Map<String, ModelState> models) {
        for (Copy copy : slot.mView.copies()) {
            boolean listed = models.containsKey(copy.artifact().name());
            if (!listed && copy.isServing() && slot.mView.live()) {
                draft.unload(slot, copy.artifact(), copy.bytes(), List.of());
            }
        }
    }

    private static void unloadOutdated(Draft draft, ModelState model) {
        boolean replaced =
                model.mHolders.stream()
                        .anyMatch(holder -> holder.isCurrent() && holder.isLasting());
        boolean rolling =
                model.mHolders.stream().anyMatch(holder -> holder.mState != CopyState.SERVING);
        List<Holder> outdated =
                model.mHolders.stream()
                        .filter(holder -> !holder.isCurrent() && holder.isServing())
                        .sorted(Comparator.comparing(holder -> holder.mSlot.mView.name()))
                        .toList();
        if (replaced && !rolling && !outdated.isEmpty() && draft.mayLoad()) {
            draft.displace(model, outdated.get(0).mSlot, List.of(outdated.get(0)));
        }
    }
}
