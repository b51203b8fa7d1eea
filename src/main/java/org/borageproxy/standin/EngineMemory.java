package org.borageproxy.standin;

import java.util.List;
import java.util.Map;

import org.borageproxy.membership.Accelerator;
import org.borageproxy.membership.LoadedModel;

/**
 * The accelerators of a simulated engine and the memory that models occupy. Immutable and thread safe.
 *
 * @param accelerators the accelerators
 * @param modelBytes the memory of each model by name, in bytes
 * @param defaultModelBytes the memory of models without an entry, in bytes
 * @param adapterBytes the memory of each adapter, in bytes
 * @param preloaded the models that are in memory when an incarnation starts
 */
public record EngineMemory(
        List<Accelerator> accelerators,
        Map<String, Long> modelBytes,
        long defaultModelBytes,
        long adapterBytes,
        List<LoadedModel> preloaded) {

    private static final long GIGABYTE = 1_000_000_000L;

    /** Creates a copy that later changes of the collections do not affect. */
    public EngineMemory {
        accelerators = List.copyOf(accelerators);
        modelBytes = Map.copyOf(modelBytes);
        preloaded = List.copyOf(preloaded);
    }

    /**
     * Returns the memory of an engine with one accelerator of 80 GB, 16 GB for each model and 100 MB for each adapter.
     *
     * @return the memory
     */
    public static EngineMemory ofOneAccelerator() {
        return new EngineMemory(
                List.of(new Accelerator("0", 80 * GIGABYTE)), Map.of(), 16 * GIGABYTE, GIGABYTE / 10, List.of());
    }

    /**
     * Returns a copy with other preloaded models.
     *
     * @param models the models that are in memory when an incarnation starts
     * @return the copy
     */
    public EngineMemory withPreloaded(List<LoadedModel> models) {
        return new EngineMemory(accelerators, modelBytes, defaultModelBytes, adapterBytes, models);
    }

    /**
     * Returns a copy with other model sizes.
     *
     * @param bytes the memory of each model by name, in bytes
     * @return the copy
     */
    public EngineMemory withModelBytes(Map<String, Long> bytes) {
        return new EngineMemory(accelerators, bytes, defaultModelBytes, adapterBytes, preloaded);
    }

    /**
     * Returns the memory that a model occupies without its adapters.
     *
     * @param model the model's name
     * @return the memory in bytes, the default for a model without an entry
     */
    public long bytesOf(String model) {
        return modelBytes.getOrDefault(model, defaultModelBytes);
    }
}
