package org.foxtailridge.placement.plan;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** Loads models into room that was cleared for them, and keeps the room until it is clear. */
final class ReservationPhase implements PlanPhase {
    @Override
    public void apply(Draft draft) {
        Map<String, Slot> slots = new HashMap<>();
        draft.slots().forEach(slot -> slots.put(slot.mView.name(), slot));
        Map<String, ModelState> models = new HashMap<>();
        draft.models().forEach(model -> models.put(model.name(), model));
        draft.mReservations
                .current(models.keySet(), draft.mNow)
                .forEach(
                        (model, reservation) ->
                                use(
                                        draft,
                                        models.get(model),
                                        slots.get(reservation.endpoint()),
                                        reservation.startBy()));
    }

    private static void use(Draft draft, ModelState model, Slot slot, Instant startBy) {
        if (slot == null || !slot.mView.takesWork() || slot.holdsListed(model)) {
            draft.mReservations.remove(model.name());
        } else if (draft.fits(model, slot) && draft.isEligible(model, slot)) {
            if (draft.mayLoad()) {
                draft.mReservations.remove(model.name());
                draft.load(model, slot);
            }
        } else if (isStalled(draft, slot, startBy)) {
            draft.mReservations.remove(model.name());
        } else {
            slot.mFreeBytes -= model.mNeed.footprintBytes();
            draft.addComing(model, slot);
            draft.countComing(1);
        }
    }

    /** Returns whether nothing is on its way out although it should be, as when a step was lost. */
    private static boolean isStalled(Draft draft, Slot slot, Instant startBy) {
        return !draft.mNow.isBefore(startBy)
                && slot.mHolders.stream().noneMatch(holder -> holder.mState == CopyState.GOING);
    }
}
