package org.borageproxy.publication;

import java.util.Map;

/**
 * What the model engines of a service have in common. Immutable and thread safe.
 *
 * @param batchSlots the requests in a batch
 * @param cacheTokens the tokens that running requests and cached prefixes share
 * @param tokensPerEvent the output tokens in an event of a stream
 * @param weightMegabytes the memory for weights and adapters
 * @param adapterSlots the adapters that an engine may hold
 * @param loadsPerSecond the loads from the weight store allowed to all engines together
 * @param models the models by name
 */
public record EnginePool(
        int batchSlots,
        long cacheTokens,
        int tokensPerEvent,
        double weightMegabytes,
        int adapterSlots,
        double loadsPerSecond,
        Map<String, EngineModel> models) {

    /** Copies the models. */
    public EnginePool {
        models = Map.copyOf(models);
    }

    /**
     * A model.
     *
     * @param name the name
     * @param weightMegabytes the memory of its weights
     * @param storeLoadSeconds the time of a load from the weight store
     * @param diskLoadSeconds the time of a load from the engine's disk
     * @param memoryLoadSeconds the time of a load from the engine's main memory
     * @param adapterMegabytes the memory of one adapter
     */
    public record EngineModel(
            String name,
            double weightMegabytes,
            double storeLoadSeconds,
            double diskLoadSeconds,
            double memoryLoadSeconds,
            double adapterMegabytes) {}
}
