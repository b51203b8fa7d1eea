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
 * Decides which orders bring the fleet nearer to what is wanted. Equal inputs give equal plans. The plan first restores
 * reachability, then follows the demand, then spreads copies over availability zones, and moves nothing without a
 * reason: a copy is unloaded only if the configuration names it no more or if another copy needs its room, and never
 * while it is the last one that serves. Stateless and thread safe.
 */
public final class Planner {

    /** The part of an engine's power up to which a copy is given demand before another copy is loaded. */
    private static final double LOAD_MORE_ABOVE = 0.6;
    /** The part of an engine's power below which fewer copies would do. */
    private static final double NEED_FEWER_BELOW = 0.3;
    /** The largest number of unreachable model versions that one plan looks at. */
    private static final int LARGEST_BACKLOG = 32;
    /** The number of copies that a model has without demand, in different availability zones. */
    private static final int BASE_COPIES = 2;

    /** What must be reachable. */
    private final DesiredModels wanted;
    /** The fleet with the orders planned so far. */
    private final PlannerDraft draft;

    /**
     * Creates a planner for one plan.
     *
     * @param input what the plan follows from
     */
    private Planner(PlannerInput input) {
        wanted = new DesiredModels(input.configuration(), input.demand());
        draft = new PlannerDraft(input, wanted);
    }

    /**
     * Plans the next orders.
     *
     * @param input what the plan follows from
     * @return the orders, the most urgent first
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

    /** Loads the model versions of which no copy serves or is being loaded, the most demanded first. */
    private void restoreReachability() {
        List<DesiredModels.DesiredVersion> unreachable = wanted.all().stream()
                .filter(unit -> draft.servingOrLoadingCopies(unit.id()).isEmpty())
                .sorted(byDemand())
                .toList();
        unreachable.stream().limit(LARGEST_BACKLOG).forEach(this::restoreReachability);
    }

    /**
     * Loads a model version, keeps room for it until the weight store allows the load, or makes room.
     *
     * @param unit the model version
     */
    private void restoreReachability(DesiredModels.DesiredVersion unit) {
        if (draft.mayLoadModel() && loadAgain(unit)) {
            return;
        }
        Optional<PlannerDraft.PlannedAccelerator> place =
                choose(unit, unit.footprintBytes(), anywhere()).or(() -> choose(unit, unit.memoryBytes(), anywhere()));
        if (place.isEmpty()) {
            makeRoom(unit);
        } else if (draft.mayLoadModel()) {
            draft.load(unit, place.get(), PlannedOrder.Reason.UNREACHABLE, false);
        } else {
            place.get().reserve(unit.footprintBytes());
        }
    }

    /**
     * Repeats a load that seems to be lost; its memory is reserved already.
     *
     * @param unit the model version
     * @return whether there was one
     */
    private boolean loadAgain(DesiredModels.DesiredVersion unit) {
        Optional<PlannerDraft.PlannedCopy> uncertain = draft.copiesOf(unit.id()).stream()
                .filter(copy -> copy.view.status() == CopyView.Status.UNCERTAIN)
                .findFirst();
        uncertain.ifPresent(copy -> draft.load(unit, copy.accelerator, PlannedOrder.Reason.UNREACHABLE, true));
        return uncertain.isPresent();
    }

    /**
     * Makes room for a model version where this costs the fewest moves. Copies that others can stand in for are
     * unloaded; only if they don't suffice anywhere, a last copy is loaded elsewhere, and unloaded by a later plan.
     *
     * @param unit the model version
     */
    private void makeRoom(DesiredModels.DesiredVersion unit) {
        List<PlannerDraft.PlannedAccelerator> places = draft.accelerators().stream()
                .filter(place -> holds(place, unit.id()).isEmpty())
                .toList();
        cheapestRoom(unit, places, (last, avoided) -> Optional.empty())
                .or(() -> cheapestRoom(unit, places, this::elsewhere))
                .ifPresent(room -> {
                    room.apply(draft);
                    room.accelerator().reserve(unit.memoryBytes());
                });
    }

    /**
     * Finds the accelerator on which room costs the fewest moves.
     *
     * @param unit the model version
     * @param places the accelerators
     * @param elsewhere finds room for another copy on another accelerator
     * @return the plan to make room
     */
    private Optional<EvictionPlan> cheapestRoom(
            DesiredModels.DesiredVersion unit,
            List<PlannerDraft.PlannedAccelerator> places,
            EvictionPlan.AcceleratorFinder elsewhere) {
        return places.stream()
                .map(place -> EvictionPlan.of(place, unit.memoryBytes(), wanted, draft, elsewhere))
                .flatMap(Optional::stream)
                .min(Comparator.comparingInt(EvictionPlan::cost));
    }

    /**
     * Finds room for another copy on another engine.
     *
     * @param unit the model version
     * @param avoided where the copy is now
     * @return the room
     */
    private Optional<PlannerDraft.PlannedAccelerator> elsewhere(
            DesiredModels.DesiredVersion unit, PlannerDraft.PlannedAccelerator avoided) {
        return choose(unit, unit.footprintBytes(), place -> place != avoided);
    }

    /** Loads more copies of the model versions whose copies are asked for more than they can give. */
    private void followDemand() {
        wanted.all().stream()
                .filter(unit -> !draft.servingOrLoadingCopies(unit.id()).isEmpty())
                .sorted(byDemand())
                .forEach(this::followDemand);
    }

    /**
     * Loads copies of a model version until there are enough, or makes room for one.
     *
     * @param unit the model version
     */
    private void followDemand(DesiredModels.DesiredVersion unit) {
        int needed = neededCopies(unit);
        while (draft.mayLoadModel() && draft.servingOrLoadingCopies(unit.id()).size() < needed) {
            Optional<PlannerDraft.PlannedAccelerator> place = choose(unit, unit.footprintBytes(), isCalm());
            if (place.isEmpty()) {
                displace(unit);
                return;
            }
            draft.load(unit, place.get(), PlannedOrder.Reason.DEMAND, false);
        }
    }

    /**
     * Unloads a copy that is not needed, so that a later plan can load one of a demanded model version there. Waits for
     * room that is coming free already.
     *
     * @param unit the demanded model version
     */
    private void displace(DesiredModels.DesiredVersion unit) {
        List<PlannerDraft.PlannedAccelerator> places = draft.accelerators().stream()
                .filter(isCalm())
                .filter(place -> holds(place, unit.id()).isEmpty())
                .toList();
        boolean underWay = places.stream().anyMatch(place -> isComingFree(place, unit));
        places.stream()
                .filter(place -> !underWay)
                .flatMap(place -> place.copies.stream())
                .filter(PlannerDraft.PlannedCopy::isUnloadable)
                .filter(copy -> isSurplus(copy, unit))
                .filter(copy -> sizeOf(copy) + copy.accelerator.freeBytes >= unit.memoryBytes())
                .min(Comparator.comparingDouble(this::demandPerCopy))
                .ifPresent(copy -> draft.unload(copy, PlannedOrder.Reason.MAKE_ROOM));
    }

    /**
     * Tells whether the room for a model version is coming free.
     *
     * @param place the accelerator
     * @param unit the model version
     * @return {@code true} if the copies that are leaving make enough room
     */
    private boolean isComingFree(PlannerDraft.PlannedAccelerator place, DesiredModels.DesiredVersion unit) {
        long leavingBytes = EvictionPlan.unloadingBytes(place, wanted);
        long room = place.freeBytes + leavingBytes - place.preassignedBytes;
        return leavingBytes > 0 && room >= unit.memoryBytes();
    }

    /**
     * Tells whether a copy can go in favour of a demanded model version.
     *
     * @param copy the copy
     * @param unit the demanded model version
     * @return {@code true} if the remaining copies suffice by far
     */
    private boolean isSurplus(PlannerDraft.PlannedCopy copy, DesiredModels.DesiredVersion unit) {
        DesiredModels.DesiredVersion other = wanted.find(copy.view.modelVersion());
        long serving = draft.servingCount(copy.view.modelVersion());
        if (other == null) {
            return true;
        }
        double needed = other.demand().larger() / (power(copy.accelerator) * NEED_FEWER_BELOW);
        return !other.id().equals(unit.id()) && serving > Math.max(1, Math.ceil(needed));
    }

    /**
     * Returns the demand that each copy of a copy's model version serves.
     *
     * @param copy the copy
     * @return the demand in tokens each second
     */
    private double demandPerCopy(PlannerDraft.PlannedCopy copy) {
        DesiredModels.DesiredVersion unit = wanted.find(copy.view.modelVersion());
        return unit == null ? 0 : unit.demand().larger() / Math.max(1, draft.servingCount(unit.id()));
    }

    /**
     * Returns the memory of a copy.
     *
     * @param copy the copy
     * @return the memory in bytes
     */
    private long sizeOf(PlannerDraft.PlannedCopy copy) {
        return wanted.memoryBytes(copy.view.modelVersion());
    }

    /**
     * Returns how many copies the demand for a model version needs.
     *
     * @param unit the model version
     * @return the number of copies
     */
    private int neededCopies(DesiredModels.DesiredVersion unit) {
        double power = draft.accelerators().stream()
                .mapToDouble(Planner::power)
                .average()
                .orElse(1.0);
        return (int) Math.ceil(unit.demand().fast() / (power * LOAD_MORE_ABOVE));
    }

    /** Loads a second copy of each model version in another availability zone where memory is free. */
    private void spreadOverZones() {
        wanted.all().stream().sorted(byDemand()).forEach(unit -> {
            List<PlannerDraft.PlannedCopy> copies = draft.servingOrLoadingCopies(unit.id());
            Set<AvailabilityZone> zones =
                    copies.stream().map(copy -> copy.accelerator.zone()).collect(Collectors.toSet());
            if (draft.mayLoadModel() && zones.size() == 1 && copies.size() < BASE_COPIES) {
                choose(unit, unit.footprintBytes(), place -> !zones.contains(place.zone()))
                        .ifPresent(place -> draft.load(unit, place, PlannedOrder.Reason.SECOND_ZONE, false));
            }
        });
    }

    /**
     * Loads adapters beside the copies of their models, the most demanded first.
     *
     * @param unreachableOnly whether only adapters are loaded that can be used nowhere
     * @param demand the demand
     */
    private void loadAdapters(boolean unreachableOnly, DemandRates demand) {
        for (DesiredModels.DesiredVersion unit : wanted.all()) {
            unit.adapters().stream()
                    .sorted(Comparator.comparingDouble((Adapter adapter) ->
                                    -demand.ofAdapter(adapter.name()).fast())
                            .thenComparing(Adapter::name))
                    .forEach(adapter -> loadAdapter(unit, adapter, unreachableOnly));
        }
    }

    /**
     * Loads an adapter beside the copies that lack it.
     *
     * @param unit the model version
     * @param adapter the adapter
     * @param unreachableOnly whether it is loaded only if it can be used nowhere
     */
    private void loadAdapter(DesiredModels.DesiredVersion unit, Adapter adapter, boolean unreachableOnly) {
        List<PlannerDraft.PlannedCopy> copies = draft.copiesOf(unit.id()).stream()
                .filter(PlannerDraft.PlannedCopy::isServing)
                .toList();
        boolean reachable = copies.stream()
                .anyMatch(copy -> copy.view.adapters().contains(adapter.name())
                        || copy.view.busyAdapters().contains(adapter.name()));
        if (unreachableOnly && reachable) {
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

    /** Unloads what the configuration names no more, once everything wanted of the same model serves. */
    private void unloadObsolete() {
        for (ModelVersionId unit : draft.modelVersions()) {
            DesiredModels.DesiredVersion known = wanted.find(unit);
            List<PlannerDraft.PlannedCopy> copies = draft.copiesOf(unit).stream()
                    .filter(PlannerDraft.PlannedCopy::isUnloadable)
                    .toList();
            if (known != null) {
                copies.forEach(copy -> unloadObsoleteAdapters(known, copy));
            } else if (wanted.ofModel(unit.model()).stream().allMatch(this::suffices)) {
                copies.forEach(copy -> draft.unload(copy, PlannedOrder.Reason.OBSOLETE));
            }
        }
    }

    /**
     * Tells whether a model version serves with as many copies as the demand needs.
     *
     * @param unit the model version
     * @return {@code true} if copies of earlier versions can go
     */
    private boolean suffices(DesiredModels.DesiredVersion unit) {
        return draft.servingCount(unit.id()) >= Math.max(1, neededCopies(unit));
    }

    /**
     * Unloads the adapters of a copy that the configuration names no more.
     *
     * @param unit the model version
     * @param copy the copy
     */
    private void unloadObsoleteAdapters(DesiredModels.DesiredVersion unit, PlannerDraft.PlannedCopy copy) {
        Set<String> names = unit.adapters().stream().map(Adapter::name).collect(Collectors.toSet());
        copy.view.adapters().stream()
                .filter(adapter -> !names.contains(adapter))
                .sorted()
                .forEach(adapter -> draft.unloadAdapter(copy, adapter));
    }

    /**
     * Chooses where to load a copy: in an availability zone without one, on the engine with the least demand, and there
     * where it leaves the least room unused.
     *
     * @param unit the model version
     * @param bytes the room that is needed
     * @param allowed which accelerators may be chosen
     * @return the accelerator, if one has room
     */
    private Optional<PlannerDraft.PlannedAccelerator> choose(
            DesiredModels.DesiredVersion unit, long bytes, Predicate<PlannerDraft.PlannedAccelerator> allowed) {
        Set<AvailabilityZone> zones = draft.servingOrLoadingCopies(unit.id()).stream()
                .map(copy -> copy.accelerator.zone())
                .collect(Collectors.toSet());
        return draft.accelerators().stream()
                .filter(place -> place.freeBytes >= bytes)
                .filter(allowed)
                .filter(place -> holds(place, unit.id()).isEmpty())
                .min(Comparator.comparing((PlannerDraft.PlannedAccelerator place) -> zones.contains(place.zone()))
                        .thenComparing(draft::utilization)
                        .thenComparing(place -> -place.freeBytes)
                        .thenComparing(place -> place.view.server())
                        .thenComparing(place -> place.view.name()));
    }

    /**
     * Finds a copy of a model version on the engine of an accelerator.
     *
     * @param place the accelerator
     * @param unit the model version
     * @return a copy in any state
     */
    private Optional<PlannerDraft.PlannedCopy> holds(PlannerDraft.PlannedAccelerator place, ModelVersionId unit) {
        return draft.copiesOf(unit).stream()
                .filter(copy -> copy.accelerator.view.server().equals(place.view.server()))
                .findFirst();
    }

    /**
     * Returns a predicate that allows every accelerator.
     *
     * @return the predicate
     */
    private static Predicate<PlannerDraft.PlannedAccelerator> anywhere() {
        return place -> true;
    }

    /**
     * Returns a predicate that allows the accelerators of engines with power to spare.
     *
     * @return the predicate
     */
    private Predicate<PlannerDraft.PlannedAccelerator> isCalm() {
        return place -> draft.utilization(place) < LOAD_MORE_ABOVE;
    }

    /**
     * Returns the power of an accelerator's engine.
     *
     * @param place the accelerator
     * @return the tokens generated each second with a full batch, at least one
     */
    private static double power(PlannerDraft.PlannedAccelerator place) {
        return Math.max(1.0, place.view.tokensPerSecond());
    }

    /**
     * Orders model versions by demand, the largest first.
     *
     * @return the order
     */
    private static Comparator<DesiredModels.DesiredVersion> byDemand() {
        return Comparator.comparingDouble(
                        (DesiredModels.DesiredVersion unit) -> -unit.demand().fast())
                .thenComparing(DesiredModels.DesiredVersion::id);
    }
}
