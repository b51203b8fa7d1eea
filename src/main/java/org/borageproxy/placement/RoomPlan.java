package org.borageproxy.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * What it takes to make room on an accelerator: the copies that can go at once, because others serve, and the copies
 * that must first be loaded elsewhere. Immutable once created; confined to the call that plans.
 *
 * @param place the accelerator
 * @param unloads the copies that can go at once
 * @param moves the last copies, with where they are loaded first
 */
record RoomPlan(PlannerDraft.Place place, List<PlannerDraft.Copy> unloads, List<Move> moves) {

    /** What a move costs in comparison with an unload. */
    private static final int MOVE_COST = 10;

    /**
     * A last copy that is loaded elsewhere first.
     *
     * @param unit the model version
     * @param place where it is loaded
     */
    record Move(WantedModels.Wanted unit, PlannerDraft.Place place) {}

    /** Finds room for another copy of a model version. */
    @FunctionalInterface
    interface Elsewhere {

        /**
         * Finds room.
         *
         * @param unit the model version
         * @param avoided the accelerator that is not chosen
         * @return the room
         */
        Optional<PlannerDraft.Place> find(WantedModels.Wanted unit, PlannerDraft.Place avoided);
    }

    /**
     * Plans to make room on an accelerator.
     *
     * @param place the accelerator
     * @param bytes the room that is needed, in bytes
     * @param wanted what must be reachable
     * @param draft the fleet
     * @param elsewhere finds room for another copy on another accelerator
     * @return the plan, or empty if the room cannot be made
     */
    static Optional<RoomPlan> of(
            PlannerDraft.Place place, long bytes, WantedModels wanted, PlannerDraft draft, Elsewhere elsewhere) {
        List<PlannerDraft.Copy> unloads = new ArrayList<>();
        List<Move> moves = new ArrayList<>();
        long room = place.freeBytes + leavingBytes(place, wanted) - place.promisedBytes;
        List<PlannerDraft.Copy> candidates = place.copies.stream()
                .filter(PlannerDraft.Copy::isFree)
                .sorted(Comparator.comparingLong((PlannerDraft.Copy copy) -> -draft.serving(copy.view.unit())))
                .toList();
        for (PlannerDraft.Copy copy : candidates) {
            if (room >= bytes) {
                break;
            }
            ModelUnit unit = copy.view.unit();
            boolean replaced = draft.counted(unit).size() > 1;
            Optional<Move> move = replaced
                    ? Optional.empty()
                    : Optional.ofNullable(wanted.find(unit))
                            .flatMap(last -> elsewhere.find(last, place).map(target -> new Move(last, target)));
            if (draft.serving(unit) > 1) {
                unloads.add(copy);
            }
            move.ifPresent(moves::add);
            room += replaced || move.isPresent() ? wanted.memoryBytes(unit) : 0;
        }
        return room >= bytes ? Optional.of(new RoomPlan(place, unloads, moves)) : Optional.empty();
    }

    /**
     * Returns the room that comes free without another order.
     *
     * @param place the accelerator
     * @param wanted what must be reachable
     * @return the memory of copies that are being unloaded, in bytes
     */
    static long leavingBytes(PlannerDraft.Place place, WantedModels wanted) {
        return place.copies.stream()
                .filter(copy -> copy.unloading || copy.view.status() == CopyView.Status.LEAVING)
                .mapToLong(copy -> wanted.memoryBytes(copy.view.unit()))
                .sum();
    }

    /**
     * Returns what this plan costs.
     *
     * @return the cost; smaller is better
     */
    int cost() {
        return unloads.size() + MOVE_COST * moves.size();
    }

    /**
     * Adds the orders of this plan.
     *
     * @param draft the fleet
     */
    void apply(PlannerDraft draft) {
        unloads.forEach(copy -> draft.unload(copy, PlannedOrder.Reason.MAKE_ROOM));
        for (Move move : moves) {
            if (draft.mayLoadModel() && move.place().freeBytes >= move.unit().memoryBytes()) {
                draft.load(move.unit(), move.place(), PlannedOrder.Reason.MAKE_ROOM, false);
            }
        }
    }
}
