package org.borageproxy.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The steps that make room on an accelerator: copies that can be unloaded at once because others serve, and last copies
 * that must first be loaded elsewhere. Confined to the call that plans.
 *
 * @param accelerator the accelerator
 * @param evictions the copies that can be unloaded at once
 * @param relocations the last copies that must be loaded elsewhere first
 */
record EvictionPlan(
        PlannerDraft.PlannedAccelerator accelerator,
        List<PlannerDraft.PlannedCopy> evictions,
        List<Relocation> relocations) {

    /** Cost of a relocation relative to an unload. */
    private static final int RELOCATION_COST = 10;

    /**
     * The load of a copy elsewhere that replaces a last copy.
     *
     * @param modelVersion the model version
     * @param target the accelerator that loads it
     */
    record Relocation(DesiredModels.DesiredVersion modelVersion, PlannerDraft.PlannedAccelerator target) {}

    /** Finds an accelerator for another copy of a model version. */
    @FunctionalInterface
    interface AcceleratorFinder {

        /**
         * Finds an accelerator with enough room.
         *
         * @param version the model version
         * @param avoided the accelerator that must not be chosen
         * @return the accelerator, or empty if none has room
         */
        Optional<PlannerDraft.PlannedAccelerator> find(
                DesiredModels.DesiredVersion version, PlannerDraft.PlannedAccelerator avoided);
    }

    /**
     * Plans to make room on an accelerator.
     *
     * @param accelerator the accelerator
     * @param bytes the required room in bytes
     * @param desired the desired model versions
     * @param draft the projected state of the fleet
     * @param finder finds other accelerators for last copies
     * @return the plan, or empty if there is no way to make enough room
     */
    static Optional<EvictionPlan> of(
            PlannerDraft.PlannedAccelerator accelerator,
            long bytes,
            DesiredModels desired,
            PlannerDraft draft,
            AcceleratorFinder finder) {
        List<PlannerDraft.PlannedCopy> evictions = new ArrayList<>();
        List<Relocation> relocations = new ArrayList<>();
        long room = accelerator.freeBytes + unloadingBytes(accelerator, desired) - accelerator.preassignedBytes;
        List<PlannerDraft.PlannedCopy> candidates = accelerator.copies.stream()
                .filter(PlannerDraft.PlannedCopy::isUnloadable)
                .sorted(Comparator.comparingLong(
                        (PlannerDraft.PlannedCopy copy) -> -draft.servingCount(copy.view.modelVersion())))
                .toList();
        for (PlannerDraft.PlannedCopy copy : candidates) {
            if (room >= bytes) {
                break;
            }
            ModelVersionId version = copy.view.modelVersion();
            boolean isReplaceable = draft.servingOrLoadingCopies(version).size() > 1;
            Optional<Relocation> relocation = isReplaceable
                    ? Optional.empty()
                    : Optional.ofNullable(desired.find(version)).flatMap(lastCopy -> finder.find(lastCopy, accelerator)
                            .map(target -> new Relocation(lastCopy, target)));
            // Otherwise the copy stays until its replacement serves; a later plan then unloads it.
            if (draft.servingCount(version) > 1) {
                evictions.add(copy);
            }
            relocation.ifPresent(relocations::add);
            room += isReplaceable || relocation.isPresent() ? desired.memoryBytes(version) : 0;
        }
        return room >= bytes ? Optional.of(new EvictionPlan(accelerator, evictions, relocations)) : Optional.empty();
    }

    /**
     * Returns the memory that is being freed without further orders.
     *
     * @param accelerator the accelerator
     * @param desired the desired model versions
     * @return the memory in bytes of the copies that are being unloaded or planned to be
     */
    static long unloadingBytes(PlannerDraft.PlannedAccelerator accelerator, DesiredModels desired) {
        return accelerator.copies.stream()
                .filter(copy -> copy.isUnloadPlanned || copy.view.status() == CopyView.Status.LEAVING)
                .mapToLong(copy -> desired.memoryBytes(copy.view.modelVersion()))
                .sum();
    }

    /**
     * Returns the cost of this plan, for comparison with others.
     *
     * @return the cost; lower is better
     */
    int cost() {
        return evictions.size() + RELOCATION_COST * relocations.size();
    }

    /**
     * Adds the orders of this plan to the draft. A relocation without enough room or load capacity is skipped.
     *
     * @param draft the projected state of the fleet
     */
    void apply(PlannerDraft draft) {
        evictions.forEach(copy -> draft.unload(copy, PlannedOrder.Reason.MAKE_ROOM));
        for (Relocation relocation : relocations) {
            if (draft.mayLoadModel()
                    && relocation.target().freeBytes
                            >= relocation.modelVersion().memoryBytes()) {
                draft.load(relocation.modelVersion(), relocation.target(), PlannedOrder.Reason.MAKE_ROOM, false);
            }
        }
    }
}
