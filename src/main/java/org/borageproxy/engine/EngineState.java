package org.borageproxy.engine;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.borageproxy.membership.BackendServerName;

/**
 * The state that a model engine reports of itself when it is read. Immutable and thread safe.
 *
 * @param name the name of the engine
 * @param incarnation the incarnation that answered
 * @param highestFencing the highest fencing token that the engine has accepted
 * @param accelerators the memory of its accelerators
 * @param models the models in memory, including those that are being loaded or unloaded
 * @param pendingOrders the numbers of the orders that it has accepted but not yet executed
 */
public record EngineState(
        BackendServerName name,
        long incarnation,
        long highestFencing,
        List<AcceleratorMemory> accelerators,
        List<ModelInMemory> models,
        Set<Long> pendingOrders) {

    /** Copies the collections. */
    public EngineState {
        accelerators = List.copyOf(accelerators);
        models = List.copyOf(models);
        pendingOrders = Set.copyOf(pendingOrders);
    }

    /**
     * The memory of an accelerator.
     *
     * @param name the name of the accelerator
     * @param memoryBytes its total memory in bytes
     * @param usedBytes the memory in use in bytes
     */
    public record AcceleratorMemory(String name, long memoryBytes, long usedBytes) {}

    /**
     * A model version in the memory of an accelerator.
     *
     * @param model the name of the model
     * @param version the version of the model
     * @param accelerator the accelerator that holds it
     * @param adapters the adapters that can serve requests
     * @param ready whether it can serve requests; {@code false} while it is being loaded or unloaded
     * @param lastOrderNumber the number of the last order that concerned it
     */
    public record ModelInMemory(
            String model,
            String version,
            String accelerator,
            Set<String> adapters,
            boolean ready,
            long lastOrderNumber) {

        /** Copies the adapters. */
        public ModelInMemory {
            adapters = Set.copyOf(adapters);
        }
    }

    /**
     * Finds a model version on an accelerator.
     *
     * @param accelerator the name of the accelerator
     * @param model the name of the model
     * @param version the version of the model
     * @return the model version, or empty if it is not in memory
     */
    public Optional<ModelInMemory> find(String accelerator, String model, String version) {
        return models.stream()
                .filter(item -> item.accelerator().equals(accelerator))
                .filter(item -> item.model().equals(model) && item.version().equals(version))
                .findFirst();
    }

    /**
     * Returns the memory in use on an accelerator.
     *
     * @param accelerator the name of the accelerator
     * @return the memory in bytes, zero for an unknown accelerator
     */
    public long usedBytes(String accelerator) {
        return accelerators.stream()
                .filter(item -> item.name().equals(accelerator))
                .mapToLong(AcceleratorMemory::usedBytes)
                .sum();
    }
}
