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
 * The projected state of the fleet after the orders planned so far. Memory that a planned unload frees does not count
 * as free, because only the state of the engine can prove that it is. Confined to the call that plans.
 */
final class PlannerDraft {

    private final List<PlannedAccelerator> accelerators = new ArrayList<>();
    private final Map<ModelVersionId, List<PlannedCopy>> copies = new HashMap<>();
    /** Copies that serve and are not planned to be unloaded. */
    private final Map<ModelVersionId, Long> servingCount = new HashMap<>();

    private final List<PlannedOrder> orders = new ArrayList<>();
    /** In tokens per second. */
    private final Map<BackendServerName, Double> demandByEngine = new HashMap<>();

    private int availableModelLoads;
    private int availableAdapterLoads;

    /**
     * Creates a draft without planned orders.
     *
     * @param input the state of the fleet, the configuration and the demand
     * @param desired the desired model versions
     */
    PlannerDraft(PlannerInput input, DesiredModels desired) {
        availableModelLoads = input.availableModelLoads();
        availableAdapterLoads = input.availableAdapterLoads();
        for (AcceleratorView view : input.accelerators()) {
            PlannedAccelerator accelerator = new PlannedAccelerator(view);
            accelerators.add(accelerator);
            view.copies().forEach(copy -> copies.computeIfAbsent(copy.modelVersion(), ignored -> new ArrayList<>())
                    .add(new PlannedCopy(accelerator, copy)));
        }
        copies.values().forEach(versionCopies -> versionCopies.forEach(copy -> copy.accelerator.copies.add(copy)));
        copies.forEach((version, versionCopies) -> servingCount.put(
                version, versionCopies.stream().filter(PlannedCopy::isServing).count()));
        for (DesiredModels.DesiredVersion version : desired.all()) {
            List<PlannedCopy> currentCopies = servingOrLoadingCopies(version.id());
            currentCopies.forEach(
                    copy -> addDemand(copy.accelerator, version.demand().fast() / currentCopies.size()));
        }
    }

    /** An accelerator with its projected free memory. */
    static final class PlannedAccelerator {

        /** The accelerator before the planned orders. */
        final AcceleratorView view;
        /** The copies on the accelerator, including planned ones. */
        final List<PlannedCopy> copies = new ArrayList<>();
        /** The free memory in bytes that is not yet used by planned orders. */
        long freeBytes;
        /** The part of the memory being freed that is already assigned to a copy, in bytes. */
        long preassignedBytes;

        /**
         * Creates an accelerator without planned orders.
         *
         * @param view the accelerator
         */
        PlannedAccelerator(AcceleratorView view) {
            this.view = view;
            freeBytes = view.freeBytes();
        }

        /**
         * Reserves room for a copy that cannot be loaded yet, in the free memory first and then in the memory being
         * freed.
         *
         * @param bytes the memory in bytes
         */
        void reserve(long bytes) {
            long reserved = Math.max(0, Math.min(freeBytes, bytes));
            freeBytes -= reserved;
            preassignedBytes += bytes - reserved;
        }

        /**
         * Returns the availability zone of the engine.
         *
         * @return the availability zone
         */
        AvailabilityZone zone() {
            return view.zone();
        }
    }

    /** A copy of a model version, existing or planned. */
    static final class PlannedCopy {

        /** The accelerator of the copy. */
        final PlannedAccelerator accelerator;
        /** The copy before the planned orders. */
        final CopyView view;
        /** The adapters that are planned to be loaded with it. */
        final Set<String> plannedAdapters = new HashSet<>();
        /** Whether its unload is planned. */
        boolean isUnloadPlanned;

        /**
         * Creates a copy without planned orders.
         *
         * @param accelerator the accelerator of the copy
         * @param view the copy
         */
        PlannedCopy(PlannedAccelerator accelerator, CopyView view) {
            this.accelerator = accelerator;
            this.view = view;
        }

        /**
         * Returns whether it serves requests and no unload of it is planned.
         *
         * @return {@code true} if requests can rely on it
         */
        boolean isServing() {
            boolean hasServingStatus = view.status() == CopyView.Status.SERVING
                    || view.status() == CopyView.Status.SERVING_WITH_OPEN_ORDER;
            return hasServingStatus && !isUnloadPlanned;
        }

        /**
         * Returns whether it serves requests, with no unload planned, or is being loaded.
         *
         * @return {@code true} if it serves now or soon
         */
        boolean isServingOrLoading() {
            return isServing() || view.status() == CopyView.Status.LOADING;
        }

        /**
         * Returns whether no open order prevents its unload.
         *
         * @return {@code true} if it serves and neither it nor its adapters have an open order
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
     * Returns all copies of a model version, in any state.
     *
     * @param version the model version
     * @return the copies
     */
    List<PlannedCopy> copiesOf(ModelVersionId version) {
        return copies.getOrDefault(version, List.of());
    }

    /**
     * Returns the model versions with copies, desired or not.
     *
     * @return the model versions, sorted
     */
    List<ModelVersionId> modelVersions() {
        return copies.keySet().stream().sorted().toList();
    }

    /**
     * Returns the copies of a model version that serve or are being loaded, except those with a planned unload.
     *
     * @param version the model version
     * @return the copies
     */
    List<PlannedCopy> servingOrLoadingCopies(ModelVersionId version) {
        return copiesOf(version).stream()
                .filter(PlannedCopy::isServingOrLoading)
                .toList();
    }

    /**
     * Returns the number of copies of a model version that serve and have no planned unload.
     *
     * @param version the model version
     * @return the number of copies
     */
    long servingCount(ModelVersionId version) {
        return servingCount.getOrDefault(version, 0L);
    }

    /**
     * Returns the demand for the copies on an engine as a fraction of its capacity.
     *
     * @param accelerator an accelerator of the engine
     * @return the utilization, above 1 if the engine is overloaded
     */
    double utilization(PlannedAccelerator accelerator) {
        double demand = demandByEngine.getOrDefault(accelerator.view.server(), 0.0);
        return demand / Math.max(1.0, accelerator.view.tokensPerSecond());
    }

    private void addDemand(PlannedAccelerator accelerator, double tokensPerSecond) {
        demandByEngine.merge(accelerator.view.server(), tokensPerSecond, Double::sum);
    }

    /**
     * Returns whether the plan may load another model.
     *
     * @return {@code false} if the limit of the weight store is reached
     */
    boolean mayLoadModel() {
        return availableModelLoads > 0;
    }

    /**
     * Returns whether the plan may load another adapter.
     *
     * @return {@code false} if the limit of parallel loads is reached
     */
    boolean mayLoadAdapter() {
        return availableAdapterLoads > 0;
    }

    /**
     * Plans the load of a copy.
     *
     * @param desired the model version
     * @param accelerator the accelerator
     * @param reason the reason for the order
     * @param isRepeated whether an earlier order for the same copy already reserves the memory
     */
    void load(
            DesiredModels.DesiredVersion desired,
            PlannedAccelerator accelerator,
            PlannedOrder.Reason reason,
            boolean isRepeated) {
        availableModelLoads--;
        if (!isRepeated) {
            accelerator.freeBytes -= desired.memoryBytes();
        }
        CopyView view = new CopyView(desired.id(), CopyView.Status.LOADING, Set.of(), Set.of());
        PlannedCopy copy = new PlannedCopy(accelerator, view);
        accelerator.copies.add(copy);
        copies.computeIfAbsent(desired.id(), ignored -> new ArrayList<>()).add(copy);
        addDemand(
                accelerator,
                desired.demand().fast() / servingOrLoadingCopies(desired.id()).size());
        addOrder(Intent.Action.LOAD, accelerator, desired.id(), "", desired.memoryBytes(), reason);
    }

    /**
     * Plans the unload of a copy.
     *
     * @param copy the copy
     * @param reason the reason for the order
     */
    void unload(PlannedCopy copy, PlannedOrder.Reason reason) {
        if (copy.isServing()) {
            servingCount.merge(copy.view.modelVersion(), -1L, Long::sum);
        }
        copy.isUnloadPlanned = true;
        addOrder(Intent.Action.UNLOAD, copy.accelerator, copy.view.modelVersion(), "", 0, reason);
    }

    /**
     * Plans the load of an adapter.
     *
     * @param copy the copy of its model
     * @param adapter the name of the adapter
     * @param memoryBytes its memory in bytes
     */
    void loadAdapter(PlannedCopy copy, String adapter, long memoryBytes) {
        availableAdapterLoads--;
        copy.plannedAdapters.add(adapter);
        copy.accelerator.freeBytes -= memoryBytes;
        addOrder(
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
     * @param copy the copy of its model
     * @param adapter the name of the adapter
     */
    void unloadAdapter(PlannedCopy copy, String adapter) {
        addOrder(
                Intent.Action.UNLOAD_ADAPTER,
                copy.accelerator,
                copy.view.modelVersion(),
                adapter,
                0,
                PlannedOrder.Reason.OBSOLETE);
    }

    private void addOrder(
            Intent.Action action,
            PlannedAccelerator accelerator,
            ModelVersionId version,
            String adapter,
            long memoryBytes,
            PlannedOrder.Reason reason) {
        orders.add(new PlannedOrder(
                action, accelerator.view.server(), accelerator.view.name(), version, adapter, memoryBytes, reason));
    }
}
