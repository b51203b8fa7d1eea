package org.borageproxy.standin;

import java.util.List;
import java.util.Map;

import org.borageproxy.membership.Accelerator;
import org.borageproxy.membership.LoadedModel;

/**
 * The memory of a stand-in engine and what models take of it. Immutable and thread safe.
 *
 * @param accelerators the accelerators
 * @param modelBytes the memory of models by name, in bytes
 * @param defaultModelBytes the memory of models without an entry, in bytes
 * @param adapterBytes the memory of each adapter, in bytes
 * @param preloaded the models that are loaded at each start
 */
public record EngineMemory(
        List<Accelerator> accelerators,
        Map<String, Long> modelBytes,
        long defaultModelBytes,
        long adapterBytes,
        List<LoadedModel> preloaded) {

    /** Bytes in a gigabyte. */
    private static final long GIGABYTE = 1_000_000_000L;

    /** Copies the collections. */
    public EngineMemory {
        accelerators = List.copyOf(accelerators);
        modelBytes = Map.copyOf(modelBytes);
        preloaded = List.copyOf(preloaded);
    }

    /**
     * Returns the memory of an engine with one accelerator of 80 GB, where models take 16 GB and adapters 100 MB.
     *
     * @return the memory
     */
    public static EngineMemory ofOneAccelerator() {
        return new EngineMemory(
                List.of(new Accelerator("0", 80 * GIGABYTE)), Map.of(), 16 * GIGABYTE, GIGABYTE / 10, List.of());
    }

    /**
     * Returns this memory with models that are loaded at each start.
     *
     * @param models the models
     * @return a copy with the models
     */
    public EngineMemory withPreloaded(List<LoadedModel> models) {
        return new EngineMemory(accelerators, modelBytes, defaultModelBytes, adapterBytes, models);
    }

    /**
     * Returns this memory with the sizes of models.
     *
     * @param bytes the memory of models by name, in bytes
     * @return a copy with the sizes
     */
    public EngineMemory withModelBytes(Map<String, Long> bytes) {
        return new EngineMemory(accelerators, bytes, defaultModelBytes, adapterBytes, preloaded);
    }

    /**
     * Returns the memory that a model takes.
     *
     * @param model the model's name
     * @return the memory in bytes
     */
    public long bytesOf(String model) {
        return modelBytes.getOrDefault(model, defaultModelBytes);
    }
}
