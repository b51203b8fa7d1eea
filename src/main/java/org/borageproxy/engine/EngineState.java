package org.borageproxy.engine;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.borageproxy.membership.BackendServerName;

/**
 * What a model engine says of itself when it is read. Immutable and thread safe.
 *
 * @param name the engine's name
 * @param incarnation the incarnation that answered
 * @param highestFencing the highest fencing number that it accepted
 * @param accelerators the memory of its accelerators
 * @param models the models in memory, those included that are being loaded or unloaded
 * @param pendingOrders the numbers of orders that it accepted and has not executed yet
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
     * @param name the accelerator's name
     * @param memoryBytes its memory in bytes
     * @param usedBytes the memory in use in bytes
     */
    public record AcceleratorMemory(String name, long memoryBytes, long usedBytes) {}

    /**
     * A model version in memory.
     *
     * @param model the model's name
     * @param version the model's version
     * @param accelerator the accelerator that holds it
     * @param adapters the adapters that can be used
     * @param ready whether it can be used now
     * @param lastOrderNumber the number of the last order about it
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
     * Finds a model version.
     *
     * @param accelerator the accelerator
     * @param model the model's name
     * @param version the model's version
     * @return the model version, if it is in memory
     */
    public Optional<ModelInMemory> find(String accelerator, String model, String version) {
        return models.stream()
                .filter(known -> known.accelerator().equals(accelerator))
                .filter(known -> known.model().equals(model) && known.version().equals(version))
                .findFirst();
    }

    /**
     * Returns the memory in use on an accelerator.
     *
     * @param accelerator the accelerator's name
     * @return the memory in bytes, zero for an unknown accelerator
     */
    public long usedBytes(String accelerator) {
        return accelerators.stream()
                .filter(known -> known.name().equals(accelerator))
                .mapToLong(AcceleratorMemory::usedBytes)
                .sum();
    }
}
