package org.foxtailridge.placement.plan;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Adds copies to models whose copies are all on busy endpoints, where that takes enough load off
 * them, and by the factor of the hysteresis more than what it displaces.
 */
final class DemandPhase implements PlanPhase {
    @Override
    public void apply(Draft draft) {
        List<ModelState> busiest =
                draft.models().stream()
                        .filter(model -> model.lowestLoad() > draft.mSettings.highLoad())
                        .sorted(Comparator.comparingDouble(model -> -model.mDemand))
                        .toList();
        for (ModelState model : busiest) {
            boolean improved = true;
            while (improved && draft.mayLoad() && isBusy(draft, model)) {
                improved = addCopy(draft, model);
            }
        }
    }

    private static boolean isBusy(Draft draft, ModelState model) {
        return model.lowestLoad() > draft.mSettings.highLoad();
    }

    private static boolean addCopy(Draft draft, ModelState model) {
        RoomMaker roomMaker = new RoomMaker(draft);
        double share = model.mDemand / (model.countedCopies() + 1);
        Candidate best = null;
        for (Slot slot : draft.slots()) {
            double gain = Math.min(share, roomOf(draft, slot));
            boolean pays =
                    gain >= draft.mSettings.smallestGain() && (best == null || gain > best.net());
            if (pays && draft.isEligible(model, slot)) {
                best = better(best, candidate(draft, roomMaker, model, slot, gain));
            }
        }
        if (best == null) {
            return false;
        }
        if (best.victims().isEmpty()) {
            draft.load(model, best.slot());
        } else {
            draft.displace(model, best.slot(), best.victims());
        }
        return true;
    }

    private static Candidate better(Candidate best, Optional<Candidate> other) {
        if (other.isEmpty()) {
            return best;
        }
        return best == null || other.get().net() > best.net() ? other.get() : best;
    }

    /** Returns the load that an endpoint takes before it is busy, in accelerators. */
    private static double roomOf(Draft draft, Slot slot) {
        return (draft.mSettings.highLoad() - slot.load()) * slot.mView.accelerators();
    }

    private static Optional<Candidate> candidate(
            Draft draft, RoomMaker roomMaker, ModelState model, Slot slot, double gain) {
        if (draft.fits(model, slot)) {
            return Optional.of(new Candidate(slot, List.of(), gain));
        }
        return roomMaker
                .clear(model, slot, false)
                .filter(clearing -> gain > draft.mSettings.hysteresis() * clearing.cost())
                .map(clearing -> new Candidate(slot, clearing.victims(), gain - clearing.cost()));
    }

    private record Candidate(Slot slot, List<Holder> victims, double net) {}
}
