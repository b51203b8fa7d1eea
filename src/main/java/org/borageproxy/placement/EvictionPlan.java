package org.borageproxy.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * What it takes to make room on an accelerator: the copies that can go at once, because others serve, and the copies
 * that must first be loaded elsewhere. Immutable once created; confined to the call that plans.
 *
 * @param accelerator the accelerator
 * @param evictions the copies that can go at once
 * @param relocations the last copies, with where they are loaded first
 */
record EvictionPlan(
        PlannerDraft.PlannedAccelerator accelerator,
        List<PlannerDraft.PlannedCopy> evictions,
        List<Relocation> relocations) {

    /** What a move costs in comparison with an unload. */
    private static final int MOVE_COST = 10;

    /**
     * A last copy that is loaded elsewhere first.
     *
     * @param modelVersion the model version
     * @param target where it is loaded
     */
    record Relocation(DesiredModels.DesiredVersion modelVersion, PlannerDraft.PlannedAccelerator target) {}

    /** Finds room for another copy of a model version. */
    @FunctionalInterface
    interface AcceleratorFinder {

        /**
         * Finds room.
         *
         * @param unit the model version
         * @param avoided the accelerator that is not chosen
         * @return the room
         */
        Optional<PlannerDraft.PlannedAccelerator> find(
                DesiredModels.DesiredVersion unit, PlannerDraft.PlannedAccelerator avoided);
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
    static Optional<EvictionPlan> of(
            PlannerDraft.PlannedAccelerator place,
            long bytes,
            DesiredModels wanted,
            PlannerDraft draft,
            AcceleratorFinder elsewhere) {
        List<PlannerDraft.PlannedCopy> unloads = new ArrayList<>();
        List<Relocation> moves = new ArrayList<>();
        long room = place.freeBytes + unloadingBytes(place, wanted) - place.preassignedBytes;
        List<PlannerDraft.PlannedCopy> candidates = place.copies.stream()
                .filter(PlannerDraft.PlannedCopy::isUnloadable)
                .sorted(Comparator.comparingLong(
                        (PlannerDraft.PlannedCopy copy) -> -draft.servingCount(copy.view.modelVersion())))
                .toList();
        for (PlannerDraft.PlannedCopy copy : candidates) {
            if (room >= bytes) {
                break;
            }
            ModelVersionId unit = copy.view.modelVersion();
            boolean replaced = draft.servingOrLoadingCopies(unit).size() > 1;
            Optional<Relocation> move = replaced
                    ? Optional.empty()
                    : Optional.ofNullable(wanted.find(unit))
                            .flatMap(last -> elsewhere.find(last, place).map(target -> new Relocation(last, target)));
            if (draft.servingCount(unit) > 1) {
                unloads.add(copy);
            }
            move.ifPresent(moves::add);
            room += replaced || move.isPresent() ? wanted.memoryBytes(unit) : 0;
        }
        return room >= bytes ? Optional.of(new EvictionPlan(place, unloads, moves)) : Optional.empty();
    }

    /**
     * Returns the room that comes free without another order.
     *
     * @param place the accelerator
     * @param wanted what must be reachable
     * @return the memory of copies that are being unloaded, in bytes
     */
    static long unloadingBytes(PlannerDraft.PlannedAccelerator place, DesiredModels wanted) {
        return place.copies.stream()
                .filter(copy -> copy.isUnloadPlanned || copy.view.status() == CopyView.Status.LEAVING)
                .mapToLong(copy -> wanted.memoryBytes(copy.view.modelVersion()))
                .sum();
    }

    /**
     * Returns what this plan costs.
     *
     * @return the cost; smaller is better
     */
    int cost() {
        return evictions.size() + MOVE_COST * relocations.size();
    }

    /**
     * Adds the orders of this plan.
     *
     * @param draft the fleet
     */
    void apply(PlannerDraft draft) {
        evictions.forEach(copy -> draft.unload(copy, PlannedOrder.Reason.MAKE_ROOM));
        for (Relocation move : relocations) {
            if (draft.mayLoadModel()
                    && move.target().freeBytes >= move.modelVersion().memoryBytes()) {
                draft.load(move.modelVersion(), move.target(), PlannedOrder.Reason.MAKE_ROOM, false);
            }
        }
    }
}
