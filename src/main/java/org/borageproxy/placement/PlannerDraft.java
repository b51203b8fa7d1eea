package org.borageproxy.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.borageproxy.membership.BackendServerName;
import org.borageproxy.vm.AvailabilityZone;

/**
 * The fleet as it will be once the orders planned so far are executed. Memory that a planned unload frees does not
 * count as free, because only the state of the engine shows that it is. Confined to the call that plans.
 */
final class PlannerDraft {

    /** The accelerators. */
    private final List<PlannedAccelerator> accelerators = new ArrayList<>();
    /** The copies by model version. */
    private final Map<ModelVersionId, List<PlannedCopy>> copies = new HashMap<>();
    /** The number of copies that serve and stay, by model version. */
    private final Map<ModelVersionId, Long> servingCount = new HashMap<>();
    /** The orders planned so far. */
    private final List<PlannedOrder> orders = new ArrayList<>();
    /** The demand that each engine serves, in tokens each second. */
    private final Map<BackendServerName, Double> loads = new HashMap<>();
    /** How many loads of models may still be ordered. */
    private int modelLoads;
    /** How many loads of adapters may still be ordered. */
    private int adapterLoads;

    /**
     * Creates a draft of the fleet as it is.
     *
     * @param input what the plan follows from
     * @param wanted what must be reachable
     */
    PlannerDraft(PlannerInput input, DesiredModels wanted) {
        modelLoads = input.availableModelLoads();
        adapterLoads = input.availableAdapterLoads();
        for (AcceleratorView view : input.accelerators()) {
            PlannedAccelerator place = new PlannedAccelerator(view);
            accelerators.add(place);
            view.copies().forEach(copy -> copies.computeIfAbsent(copy.modelVersion(), ignored -> new ArrayList<>())
                    .add(new PlannedCopy(place, copy)));
        }
        copies.values().forEach(list -> list.forEach(copy -> copy.accelerator.copies.add(copy)));
        copies.forEach((unit, list) -> servingCount.put(
                unit, list.stream().filter(PlannedCopy::isServing).count()));
        for (DesiredModels.DesiredVersion unit : wanted.all()) {
            List<PlannedCopy> present = servingOrLoadingCopies(unit.id());
            present.forEach(copy -> addLoad(copy.accelerator, unit.demand().fast() / present.size()));
        }
    }

    /** An accelerator with the memory that remains. */
    static final class PlannedAccelerator {

        /** The accelerator as it is. */
        final AcceleratorView view;
        /** The copies on it. */
        final List<PlannedCopy> copies = new ArrayList<>();
        /** The memory that remains, in bytes. */
        long freeBytes;
        /** The part of the memory that is coming free which is wanted for a copy already, in bytes. */
        long preassignedBytes;

        /**
         * Creates a place.
         *
         * @param view the accelerator as it is
         */
        PlannedAccelerator(AcceleratorView view) {
            this.view = view;
            freeBytes = view.freeBytes();
        }

        /**
         * Keeps room for a copy that cannot be loaded yet.
         *
         * @param bytes the room in bytes
         */
        void reserve(long bytes) {
            long taken = Math.max(0, Math.min(freeBytes, bytes));
            freeBytes -= taken;
            preassignedBytes += bytes - taken;
        }

        /**
         * Returns the availability zone.
         *
         * @return the zone
         */
        AvailabilityZone zone() {
            return view.zone();
        }
    }

    /** A copy of a model version. */
    static final class PlannedCopy {

        /** Where it is. */
        final PlannedAccelerator accelerator;
        /** The copy as it is. */
        final CopyView view;
        /** The adapters that are planned to be loaded beside it. */
        final Set<String> plannedAdapters = new HashSet<>();
        /** Whether an unload of it was planned. */
        boolean isUnloadPlanned;

        /**
         * Creates a copy.
         *
         * @param place where it is
         * @param view the copy as it is
         */
        PlannedCopy(PlannedAccelerator place, CopyView view) {
            this.accelerator = place;
            this.view = view;
        }

        /**
         * Tells whether requests can run on it and go on doing so.
         *
         * @return {@code true} if it serves and stays
         */
        boolean isServing() {
            boolean serving = view.status() == CopyView.Status.SERVING
                    || view.status() == CopyView.Status.SERVING_WITH_OPEN_ORDER;
            return serving && !isUnloadPlanned;
        }

        /**
         * Tells whether it serves or soon will.
         *
         * @return {@code true} if it serves or is being loaded
         */
        boolean isServingOrLoading() {
            return isServing() || view.status() == CopyView.Status.LOADING;
        }

        /**
         * Tells whether it may be unloaded as far as open orders are concerned.
         *
         * @return {@code true} if it serves and no order about it or its adapters is open
         */
        boolean isUnloadable() {
            return !isUnloadPlanned
                    && view.status() == CopyView.Status.SERVING
                    && view.busyAdapters().isEmpty();
        }
    }

    /**
     * Returns the accelerators.
     *
     * @return the accelerators
     */
    List<PlannedAccelerator> accelerators() {
        return accelerators;
    }

    /**
     * Returns the orders planned so far.
     *
     * @return a copy
     */
    List<PlannedOrder> orders() {
        return List.copyOf(orders);
    }

    /**
     * Returns all copies of a model version.
     *
     * @param unit the model version
     * @return the copies
     */
    List<PlannedCopy> copiesOf(ModelVersionId unit) {
        return copies.getOrDefault(unit, List.of());
    }

    /**
     * Returns the model versions that have copies.
     *
     * @return the model versions in order of their names
     */
    List<ModelVersionId> modelVersions() {
        return copies.keySet().stream().sorted().toList();
    }

    /**
     * Returns the copies of a model version that serve or soon will.
     *
     * @param unit the model version
     * @return the copies
     */
    List<PlannedCopy> servingOrLoadingCopies(ModelVersionId unit) {
        return copiesOf(unit).stream().filter(PlannedCopy::isServingOrLoading).toList();
    }

    /**
     * Returns the number of copies of a model version that serve and stay.
     *
     * @param unit the model version
     * @return the number
     */
    long servingCount(ModelVersionId unit) {
        return servingCount.getOrDefault(unit, 0L);
    }

    /**
     * Returns the part of an engine's power that its copies ask for.
     *
     * @param place an accelerator of the engine
     * @return the demand divided by the tokens generated each second
     */
    double utilization(PlannedAccelerator place) {
        double load = loads.getOrDefault(place.view.server(), 0.0);
        return load / Math.max(1.0, place.view.tokensPerSecond());
    }

    /**
     * Adds demand to an engine.
     *
     * @param place an accelerator of the engine
     * @param tokensPerSecond the demand
     */
    private void addLoad(PlannedAccelerator place, double tokensPerSecond) {
        loads.merge(place.view.server(), tokensPerSecond, Double::sum);
    }

    /**
     * Tells whether another model may be loaded now.
     *
     * @return {@code true} within the weight store's limits
     */
    boolean mayLoadModel() {
        return modelLoads > 0;
    }

    /**
     * Tells whether another adapter may be loaded now.
     *
     * @return {@code true} within the limit
     */
    boolean mayLoadAdapter() {
        return adapterLoads > 0;
    }

    /**
     * Plans the load of a copy.
     *
     * @param wanted the model version
     * @param place where
     * @param reason why
     * @param again whether the memory is reserved by an earlier order already
     */
    void load(
            DesiredModels.DesiredVersion wanted, PlannedAccelerator place, PlannedOrder.Reason reason, boolean again) {
        modelLoads--;
        if (!again) {
            place.freeBytes -= wanted.memoryBytes();
        }
        CopyView view = new CopyView(wanted.id(), CopyView.Status.LOADING, Set.of(), Set.of());
        PlannedCopy copy = new PlannedCopy(place, view);
        place.copies.add(copy);
        copies.computeIfAbsent(wanted.id(), ignored -> new ArrayList<>()).add(copy);
        addLoad(
                place,
                wanted.demand().fast() / servingOrLoadingCopies(wanted.id()).size());
        add(Intent.Action.LOAD, place, wanted.id(), "", wanted.memoryBytes(), reason);
    }

    /**
     * Plans the unload of a copy.
     *
     * @param copy the copy
     * @param reason why
     */
    void unload(PlannedCopy copy, PlannedOrder.Reason reason) {
        if (copy.isServing()) {
            servingCount.merge(copy.view.modelVersion(), -1L, Long::sum);
        }
        copy.isUnloadPlanned = true;
        add(Intent.Action.UNLOAD, copy.accelerator, copy.view.modelVersion(), "", 0, reason);
    }

    /**
     * Plans the load of an adapter.
     *
     * @param copy the copy beside which it is loaded
     * @param adapter the adapter's name
     * @param memoryBytes its memory in bytes
     */
    void loadAdapter(PlannedCopy copy, String adapter, long memoryBytes) {
        adapterLoads--;
        copy.plannedAdapters.add(adapter);
        copy.accelerator.freeBytes -= memoryBytes;
        add(
                Intent.Action.LOAD_ADAPTER,
                copy.accelerator,
                copy.view.modelVersion(),
                adapter,
                memoryBytes,
                PlannedOrder.Reason.ADAPTER);
    }

    /**
     * Plans the unload of an adapter.
     *
     * @param copy the copy beside which it is loaded
     * @param adapter the adapter's name
     */
    void unloadAdapter(PlannedCopy copy, String adapter) {
        add(
                Intent.Action.UNLOAD_ADAPTER,
                copy.accelerator,
                copy.view.modelVersion(),
                adapter,
                0,
                PlannedOrder.Reason.OBSOLETE);
    }

    /**
     * Adds an order.
     *
     * @param action what it does
     * @param place where
     * @param unit the model version
     * @param adapter the adapter's name, empty for the model itself
     * @param memoryBytes the memory that it takes, in bytes
     * @param reason why
     */
    private void add(
            Intent.Action action,
            PlannedAccelerator place,
            ModelVersionId unit,
            String adapter,
            long memoryBytes,
            PlannedOrder.Reason reason) {
        orders.add(
                new PlannedOrder(action, place.view.server(), place.view.name(), unit, adapter, memoryBytes, reason));
    }
}
