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
    private final List<Place> places = new ArrayList<>();
    /** The copies by model version. */
    private final Map<ModelUnit, List<Copy>> copies = new HashMap<>();
    /** The number of copies that serve and stay, by model version. */
    private final Map<ModelUnit, Long> serving = new HashMap<>();
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
    PlannerDraft(PlannerInput input, WantedModels wanted) {
        modelLoads = input.modelLoads();
        adapterLoads = input.adapterLoads();
        for (AcceleratorView view : input.accelerators()) {
            Place place = new Place(view);
            places.add(place);
            view.copies().forEach(copy -> copies.computeIfAbsent(copy.unit(), ignored -> new ArrayList<>())
                    .add(new Copy(place, copy)));
        }
        copies.values().forEach(list -> list.forEach(copy -> copy.place.copies.add(copy)));
        copies.forEach((unit, list) ->
                serving.put(unit, list.stream().filter(Copy::serves).count()));
        for (WantedModels.Wanted unit : wanted.all()) {
            List<Copy> present = counted(unit.unit());
            present.forEach(copy -> addLoad(copy.place, unit.demand().fast() / present.size()));
        }
    }

    /** An accelerator with the memory that remains. */
    static final class Place {

        /** The accelerator as it is. */
        final AcceleratorView view;
        /** The copies on it. */
        final List<Copy> copies = new ArrayList<>();
        /** The memory that remains, in bytes. */
        long freeBytes;
        /** The part of the memory that is coming free which is wanted for a copy already, in bytes. */
        long promisedBytes;

        /**
         * Creates a place.
         *
         * @param view the accelerator as it is
         */
        Place(AcceleratorView view) {
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
            promisedBytes += bytes - taken;
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
    static final class Copy {

        /** Where it is. */
        final Place place;
        /** The copy as it is. */
        final CopyView view;
        /** The adapters that are planned to be loaded beside it. */
        final Set<String> plannedAdapters = new HashSet<>();
        /** Whether an unload of it was planned. */
        boolean unloading;

        /**
         * Creates a copy.
         *
         * @param place where it is
         * @param view the copy as it is
         */
        Copy(Place place, CopyView view) {
            this.place = place;
            this.view = view;
        }

        /**
         * Tells whether requests can run on it and go on doing so.
         *
         * @return {@code true} if it serves and stays
         */
        boolean serves() {
            boolean serving = view.status() == CopyView.Status.SERVING
                    || view.status() == CopyView.Status.SERVING_WITH_OPEN_ORDER;
            return serving && !unloading;
        }

        /**
         * Tells whether it serves or soon will.
         *
         * @return {@code true} if it serves or is being loaded
         */
        boolean counts() {
            return serves() || view.status() == CopyView.Status.LOADING;
        }

        /**
         * Tells whether it may be unloaded as far as open orders are concerned.
         *
         * @return {@code true} if it serves and no order about it or its adapters is open
         */
        boolean isFree() {
            return !unloading
                    && view.status() == CopyView.Status.SERVING
                    && view.busyAdapters().isEmpty();
        }
    }

    /**
     * Returns the accelerators.
     *
     * @return the accelerators
     */
    List<Place> places() {
        return places;
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
    List<Copy> all(ModelUnit unit) {
        return copies.getOrDefault(unit, List.of());
    }

    /**
     * Returns the model versions that have copies.
     *
     * @return the model versions in order of their names
     */
    List<ModelUnit> units() {
        return copies.keySet().stream().sorted().toList();
    }

    /**
     * Returns the copies of a model version that serve or soon will.
     *
     * @param unit the model version
     * @return the copies
     */
    List<Copy> counted(ModelUnit unit) {
        return all(unit).stream().filter(Copy::counts).toList();
    }

    /**
     * Returns the number of copies of a model version that serve and stay.
     *
     * @param unit the model version
     * @return the number
     */
    long serving(ModelUnit unit) {
        return serving.getOrDefault(unit, 0L);
    }

    /**
     * Returns the part of an engine's power that its copies ask for.
     *
     * @param place an accelerator of the engine
     * @return the demand divided by the tokens generated each second
     */
    double utilization(Place place) {
        double load = loads.getOrDefault(place.view.server(), 0.0);
        return load / Math.max(1.0, place.view.tokensPerSecond());
    }

    /**
     * Adds demand to an engine.
     *
     * @param place an accelerator of the engine
     * @param tokensPerSecond the demand
     */
    private void addLoad(Place place, double tokensPerSecond) {
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
    void load(WantedModels.Wanted wanted, Place place, PlannedOrder.Reason reason, boolean again) {
        modelLoads--;
        if (!again) {
            place.freeBytes -= wanted.memoryBytes();
        }
        CopyView view = new CopyView(wanted.unit(), CopyView.Status.LOADING, Set.of(), Set.of());
        Copy copy = new Copy(place, view);
        place.copies.add(copy);
        copies.computeIfAbsent(wanted.unit(), ignored -> new ArrayList<>()).add(copy);
        addLoad(place, wanted.demand().fast() / counted(wanted.unit()).size());
        add(Intent.Action.LOAD, place, wanted.unit(), "", wanted.memoryBytes(), reason);
    }

    /**
     * Plans the unload of a copy.
     *
     * @param copy the copy
     * @param reason why
     */
    void unload(Copy copy, PlannedOrder.Reason reason) {
        if (copy.serves()) {
            serving.merge(copy.view.unit(), -1L, Long::sum);
        }
        copy.unloading = true;
        add(Intent.Action.UNLOAD, copy.place, copy.view.unit(), "", 0, reason);
    }

    /**
     * Plans the load of an adapter.
     *
     * @param copy the copy beside which it is loaded
     * @param adapter the adapter's name
     * @param memoryBytes its memory in bytes
     */
    void loadAdapter(Copy copy, String adapter, long memoryBytes) {
        adapterLoads--;
        copy.plannedAdapters.add(adapter);
        copy.place.freeBytes -= memoryBytes;
        add(
                Intent.Action.LOAD_ADAPTER,
                copy.place,
                copy.view.unit(),
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
    void unloadAdapter(Copy copy, String adapter) {
        add(Intent.Action.UNLOAD_ADAPTER, copy.place, copy.view.unit(), adapter, 0, PlannedOrder.Reason.OBSOLETE);
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
            Place place,
            ModelUnit unit,
            String adapter,
            long memoryBytes,
            PlannedOrder.Reason reason) {
        orders.add(new PlannedOrder(
                action, place.view.server(), place.view.accelerator(), unit, adapter, memoryBytes, reason));
    }
}
