package org.borageproxy.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.borageproxy.tree.Adapter;
import org.borageproxy.vm.AvailabilityZone;

/**
 * Plans the orders that bring the fleet closer to the desired state. Equal inputs give equal plans. A plan first
 * restores reachability, then follows the demand, then spreads copies over availability zones. A copy is unloaded only
 * if the configuration no longer contains it or another copy needs its room, and never while it is the last one of a
 * desired version that serves requests. Stateless and thread safe.
 */
public final class Planner {

    /** Utilization of an engine above which another copy is loaded. */
    private static final double SCALE_UP_UTILIZATION = 0.6;
    /** Utilization of an engine below which copies count as surplus. */
    private static final double SCALE_DOWN_UTILIZATION = 0.3;

    private static final int MAX_UNREACHABLE_PER_PLAN = 32;
    /** Number of copies, in different availability zones, that a model version gets even without demand. */
    private static final int IDLE_COPIES = 2;

    private final DesiredModels desired;
    private final PlannerDraft draft;

    private Planner(PlannerInput input) {
        desired = new DesiredModels(input.configuration(), input.demand());
        draft = new PlannerDraft(input, desired);
    }

    /**
     * Plans the next orders.
     *
     * @param input the state of the fleet, the configuration and the demand
     * @return the orders, most urgent first
     */
    public static List<PlannedOrder> plan(PlannerInput input) {
        if (input.accelerators().isEmpty()) {
            return List.of();
        }
        Planner planner = new Planner(input);
        planner.restoreReachability();
        planner.loadAdapters(true, input.demand());
        planner.followDemand();
        planner.spreadOverZones();
        planner.loadAdapters(false, input.demand());
        planner.unloadObsolete();
        return planner.draft.orders();
    }

    private void restoreReachability() {
        List<DesiredModels.DesiredVersion> unreachable = desired.all().stream()
                .filter(version -> draft.servingOrLoadingCopies(version.id()).isEmpty())
                .sorted(byDemand())
                .toList();
        unreachable.stream().limit(MAX_UNREACHABLE_PER_PLAN).forEach(this::restoreReachability);
    }

    /** Loads the model version, or reserves room for it until the weight store has capacity, or makes room. */
    private void restoreReachability(DesiredModels.DesiredVersion version) {
        if (draft.mayLoadModel() && repeatLostLoad(version)) {
            return;
        }
        Optional<PlannerDraft.PlannedAccelerator> accelerator = chooseAccelerator(
                        version, version.footprintBytes(), anyAccelerator())
                .or(() -> chooseAccelerator(version, version.memoryBytes(), anyAccelerator()));
        if (accelerator.isEmpty()) {
            makeRoom(version);
        } else if (draft.mayLoadModel()) {
            draft.load(version, accelerator.get(), PlannedOrder.Reason.UNREACHABLE, false);
        } else {
            accelerator.get().reserve(version.footprintBytes());
        }
    }

    /** Repeats a load that seems lost. Its memory is still reserved in the ledger. */
    private boolean repeatLostLoad(DesiredModels.DesiredVersion version) {
        Optional<PlannerDraft.PlannedCopy> uncertain = draft.copiesOf(version.id()).stream()
                .filter(copy -> copy.view.status() == CopyView.Status.UNCERTAIN)
                .findFirst();
        uncertain.ifPresent(copy -> draft.load(version, copy.accelerator, PlannedOrder.Reason.UNREACHABLE, true));
        return uncertain.isPresent();
    }

    /**
     * Prefers unloading copies that others can replace. Only if this suffices on no accelerator, the last copy of
     * another model version is first loaded elsewhere; a later plan then unloads it here.
     */
    private void makeRoom(DesiredModels.DesiredVersion version) {
        List<PlannerDraft.PlannedAccelerator> candidates = draft.accelerators().stream()
                .filter(accelerator -> copyOnEngine(accelerator, version.id()).isEmpty())
                .toList();
        cheapestRoom(version, candidates, (lastCopy, avoided) -> Optional.empty())
                .or(() -> cheapestRoom(version, candidates, this::findOtherAccelerator))
                .ifPresent(eviction -> {
                    eviction.apply(draft);
                    eviction.accelerator().reserve(version.memoryBytes());
                });
    }

    private Optional<EvictionPlan> cheapestRoom(
            DesiredModels.DesiredVersion version,
            List<PlannerDraft.PlannedAccelerator> candidates,
            EvictionPlan.AcceleratorFinder finder) {
        return candidates.stream()
                .map(accelerator -> EvictionPlan.of(accelerator, version.memoryBytes(), desired, draft, finder))
                .flatMap(Optional::stream)
                .min(Comparator.comparingInt(EvictionPlan::cost));
    }

    private Optional<PlannerDraft.PlannedAccelerator> findOtherAccelerator(
            DesiredModels.DesiredVersion version, PlannerDraft.PlannedAccelerator avoided) {
        return chooseAccelerator(version, version.footprintBytes(), accelerator -> accelerator != avoided);
    }

    private void followDemand() {
        desired.all().stream()
                .filter(version -> !draft.servingOrLoadingCopies(version.id()).isEmpty())
                .sorted(byDemand())
                .forEach(this::followDemand);
    }

    private void followDemand(DesiredModels.DesiredVersion version) {
        int needed = neededCopies(version);
        while (draft.mayLoadModel()
                && draft.servingOrLoadingCopies(version.id()).size() < needed) {
            Optional<PlannerDraft.PlannedAccelerator> accelerator =
                    chooseAccelerator(version, version.footprintBytes(), hasSpareCapacity());
            if (accelerator.isEmpty()) {
                evictSurplusCopy(version);
                return;
            }
            draft.load(version, accelerator.get(), PlannedOrder.Reason.DEMAND, false);
        }
    }

    /**
     * Unloads a surplus copy, so that a later plan can load the demanded version there. Does nothing while room is
     * already being freed.
     */
    private void evictSurplusCopy(DesiredModels.DesiredVersion version) {
        List<PlannerDraft.PlannedAccelerator> candidates = draft.accelerators().stream()
                .filter(hasSpareCapacity())
                .filter(accelerator -> copyOnEngine(accelerator, version.id()).isEmpty())
                .toList();
        boolean isRoomPending = candidates.stream().anyMatch(accelerator -> isRoomBeingFreed(accelerator, version));
        candidates.stream()
                .filter(accelerator -> !isRoomPending)
                .flatMap(accelerator -> accelerator.copies.stream())
                .filter(PlannerDraft.PlannedCopy::isUnloadable)
                .filter(copy -> isSurplus(copy, version))
                .filter(copy -> memoryBytes(copy) + copy.accelerator.freeBytes >= version.memoryBytes())
                .min(Comparator.comparingDouble(this::demandPerCopy))
                .ifPresent(copy -> draft.unload(copy, PlannedOrder.Reason.MAKE_ROOM));
    }

    private boolean isRoomBeingFreed(
            PlannerDraft.PlannedAccelerator accelerator, DesiredModels.DesiredVersion version) {
        long unloadingBytes = EvictionPlan.unloadingBytes(accelerator, desired);
        long room = accelerator.freeBytes + unloadingBytes - accelerator.preassignedBytes;
        return unloadingBytes > 0 && room >= version.memoryBytes();
    }

    /**
     * Returns whether the other copies suffice well below the utilization that requires another copy. Every copy of a
     * version that is no longer desired is surplus.
     */
    private boolean isSurplus(PlannerDraft.PlannedCopy copy, DesiredModels.DesiredVersion version) {
        DesiredModels.DesiredVersion other = desired.find(copy.view.modelVersion());
        long serving = draft.servingCount(copy.view.modelVersion());
        if (other == null) {
            return true;
        }
        double needed = other.demand().larger() / (capacity(copy.accelerator) * SCALE_DOWN_UTILIZATION);
        return !other.id().equals(version.id()) && serving > Math.max(1, Math.ceil(needed));
    }

    private double demandPerCopy(PlannerDraft.PlannedCopy copy) {
        DesiredModels.DesiredVersion version = desired.find(copy.view.modelVersion());
        return version == null ? 0 : version.demand().larger() / Math.max(1, draft.servingCount(version.id()));
    }

    private long memoryBytes(PlannerDraft.PlannedCopy copy) {
        return desired.memoryBytes(copy.view.modelVersion());
    }

    private int neededCopies(DesiredModels.DesiredVersion version) {
        double capacity = draft.accelerators().stream()
                .mapToDouble(Planner::capacity)
                .average()
                .orElse(1.0);
        return (int) Math.ceil(version.demand().fast() / (capacity * SCALE_UP_UTILIZATION));
    }

    /** Loads a second copy of each model version in another availability zone, if memory is free there. */
    private void spreadOverZones() {
        desired.all().stream().sorted(byDemand()).forEach(version -> {
            List<PlannerDraft.PlannedCopy> copies = draft.servingOrLoadingCopies(version.id());
            Set<AvailabilityZone> zones =
                    copies.stream().map(copy -> copy.accelerator.zone()).collect(Collectors.toSet());
            if (draft.mayLoadModel() && zones.size() == 1 && copies.size() < IDLE_COPIES) {
                chooseAccelerator(version, version.footprintBytes(), accelerator -> !zones.contains(accelerator.zone()))
                        .ifPresent(accelerator ->
                                draft.load(version, accelerator, PlannedOrder.Reason.SECOND_ZONE, false));
            }
        });
    }

    private void loadAdapters(boolean unreachableOnly, DemandRates demand) {
        for (DesiredModels.DesiredVersion version : desired.all()) {
            version.adapters().stream()
                    .sorted(Comparator.comparingDouble((Adapter adapter) ->
                                    -demand.ofAdapter(adapter.name()).fast())
                            .thenComparing(Adapter::name))
                    .forEach(adapter -> loadAdapter(version, adapter, unreachableOnly));
        }
    }

    private void loadAdapter(DesiredModels.DesiredVersion version, Adapter adapter, boolean unreachableOnly) {
        List<PlannerDraft.PlannedCopy> copies = draft.copiesOf(version.id()).stream()
                .filter(PlannerDraft.PlannedCopy::isServing)
                .toList();
        boolean isReachable = copies.stream()
                .anyMatch(copy -> copy.view.adapters().contains(adapter.name())
                        || copy.view.busyAdapters().contains(adapter.name()));
        if (unreachableOnly && isReachable) {
            return;
        }
        copies.stream()
                .filter(copy -> !copy.view.adapters().contains(adapter.name()))
                .filter(copy -> !copy.view.busyAdapters().contains(adapter.name()))
                .filter(copy -> copy.accelerator.freeBytes >= adapter.memoryBytes() && draft.mayLoadAdapter())
                .limit(unreachableOnly ? 1 : Long.MAX_VALUE)
                .filter(copy -> !copy.plannedAdapters.contains(adapter.name()))
                .forEach(copy -> draft.loadAdapter(copy, adapter.name(), adapter.memoryBytes()));
    }

    /**
     * Unloads versions and adapters that the configuration no longer contains, once all desired versions of the model
     * serve.
     */
    private void unloadObsolete() {
        for (ModelVersionId version : draft.modelVersions()) {
            DesiredModels.DesiredVersion desiredVersion = desired.find(version);
            List<PlannerDraft.PlannedCopy> copies = draft.copiesOf(version).stream()
                    .filter(PlannerDraft.PlannedCopy::isUnloadable)
                    .toList();
            if (desiredVersion != null) {
                copies.forEach(copy -> unloadObsoleteAdapters(desiredVersion, copy));
            } else if (desired.ofModel(version.model()).stream().allMatch(this::isSufficient)) {
                copies.forEach(copy -> draft.unload(copy, PlannedOrder.Reason.OBSOLETE));
            }
        }
    }

    private boolean isSufficient(DesiredModels.DesiredVersion version) {
        return draft.servingCount(version.id()) >= Math.max(1, neededCopies(version));
    }

    private void unloadObsoleteAdapters(DesiredModels.DesiredVersion version, PlannerDraft.PlannedCopy copy) {
        Set<String> names = version.adapters().stream().map(Adapter::name).collect(Collectors.toSet());
        copy.view.adapters().stream()
                .filter(adapter -> !names.contains(adapter))
                .sorted()
                .forEach(adapter -> draft.unloadAdapter(copy, adapter));
    }

    /**
     * Prefers an availability zone without a copy of the version, then the engine with the lowest utilization, then the
     * accelerator with the most free memory. The names break ties, so that equal inputs give equal plans.
     */
    private Optional<PlannerDraft.PlannedAccelerator> chooseAccelerator(
            DesiredModels.DesiredVersion version, long bytes, Predicate<PlannerDraft.PlannedAccelerator> allowed) {
        Set<AvailabilityZone> zones = draft.servingOrLoadingCopies(version.id()).stream()
                .map(copy -> copy.accelerator.zone())
                .collect(Collectors.toSet());
        return draft.accelerators().stream()
                .filter(accelerator -> accelerator.freeBytes >= bytes)
                .filter(allowed)
                .filter(accelerator -> copyOnEngine(accelerator, version.id()).isEmpty())
                .min(Comparator.comparing(
                                (PlannerDraft.PlannedAccelerator accelerator) -> zones.contains(accelerator.zone()))
                        .thenComparing(draft::utilization)
                        .thenComparing(accelerator -> -accelerator.freeBytes)
                        .thenComparing(accelerator -> accelerator.view.server())
                        .thenComparing(accelerator -> accelerator.view.name()));
    }

    /** Finds a copy in any state on any accelerator of the same engine. */
    private Optional<PlannerDraft.PlannedCopy> copyOnEngine(
            PlannerDraft.PlannedAccelerator accelerator, ModelVersionId version) {
        return draft.copiesOf(version).stream()
                .filter(copy -> copy.accelerator.view.server().equals(accelerator.view.server()))
                .findFirst();
    }

    private static Predicate<PlannerDraft.PlannedAccelerator> anyAccelerator() {
        return accelerator -> true;
    }

    private Predicate<PlannerDraft.PlannedAccelerator> hasSpareCapacity() {
        return accelerator -> draft.utilization(accelerator) < SCALE_UP_UTILIZATION;
    }

    private static double capacity(PlannerDraft.PlannedAccelerator accelerator) {
        return Math.max(1.0, accelerator.view.tokensPerSecond());
    }

    private static Comparator<DesiredModels.DesiredVersion> byDemand() {
        return Comparator.comparingDouble((DesiredModels.DesiredVersion version) ->
                        -version.demand().fast())
                .thenComparing(DesiredModels.DesiredVersion::id);
    }
}
