package org.foxtailridge.placement.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Makes room where nothing is spare: copies that are the last of their models are loaded on other
 * endpoints first, after which the originals are spare.
 */
final class Relocation {
    private final Map<ModelState, Slot> mMoves;

    private Relocation(Map<ModelState, Slot> moves) {
        mMoves = moves;
    }

    /** Returns the relocation with the fewest bytes that makes room for the model. */
    static Optional<Relocation> find(Draft draft, ModelState model) {
        Relocation best = null;
        long fewest = Long.MAX_VALUE;
        for (Slot slot : draft.slots()) {
            if (!draft.isEligible(model, slot)) {
                continue;
            }
            Optional<Map<ModelState, Slot>> moves = movesOff(draft, model, slot);
            long bytes = moves.map(Relocation::bytesOf).orElse(Long.MAX_VALUE);
            if (bytes < fewest) {
                best = new Relocation(moves.get());
                fewest = bytes;
            }
        }
        return Optional.ofNullable(best);
    }

    void apply(Draft draft) {
        mMoves.forEach(
                (model, slot) -> {
                    if (draft.mayLoad()) {
                        draft.load(model, slot);
                    }
                });
    }

    private static long bytesOf(Map<ModelState, Slot> moves) {
        return moves.keySet().stream().mapToLong(Relocation::bytesOf).sum();
    }

    private static long bytesOf(ModelState model) {
        return model.mNeed.footprintBytes();
    }

    /**
     * Returns the moves off an endpoint that are still to be made; none when it can't be cleared.
     */
    private static Optional<Map<ModelState, Slot>> movesOff(
            Draft draft, ModelState model, Slot slot) {
        long missing = model.mNeed.footprintBytes() - slot.mFreeBytes;
        Map<Slot, Long> taken = new HashMap<>();
        Map<ModelState, Slot> moves = new HashMap<>();
        List<Holder> holders = new ArrayList<>(slot.mHolders);
        holders.sort(Comparator.comparingLong(holder -> bytesOf(holder.mModel)));
        for (Holder holder : holders) {
            if (missing <= 0) {
                break;
            }
            boolean moving = holder.isLasting() && isSpareSoon(holder);
            Optional<Slot> target = moving ? Optional.empty() : target(draft, holder, slot, taken);
            if (target.isPresent()) {
                moves.put(holder.mModel, target.get());
                taken.merge(target.get(), bytesOf(holder.mModel), Long::sum);
            }
            missing -= moving || target.isPresent() ? bytesOf(holder.mModel) : 0;
        }
        return missing <= 0 ? Optional.of(moves) : Optional.empty();
    }

    private static boolean isSpareSoon(Holder holder) {
        return holder.mModel.counted().anyMatch(other -> other != holder);
    }

    private static Optional<Slot> target(
            Draft draft, Holder holder, Slot from, Map<Slot, Long> taken) {
        if (!holder.isLasting()) {
            return Optional.empty();
        }
        return draft.slots().stream()
                .filter(slot -> slot != from && draft.isEligible(holder.mModel, slot))
                .filter(
                        slot ->
                                slot.mFreeBytes - taken.getOrDefault(slot, 0L)
                                        >= bytesOf(holder.mModel))
                .min(Comparator.comparingLong(slot -> slot.mFreeBytes));
    }
}
