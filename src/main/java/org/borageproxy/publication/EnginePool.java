package org.borageproxy.publication;

import java.util.Map;

/**
 * The settings shared by all model engines of a service. Immutable and thread safe.
 *
 * @param batchSlots the maximum number of requests in one engine's batch
 * @param cacheTokens the KV-cache tokens of one engine, shared by running requests and cached prefixes
 * @param tokensPerEvent the output tokens in one event of a streamed response
 * @param weightMegabytes the memory of one engine for model weights and adapters, in megabytes
 * @param adapterSlots the maximum number of adapters loaded in one engine
 * @param loadsPerSecond the rate limit on loads from the weight store, over all engines of the service
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

    /** Copies the map of models. */
    public EnginePool {
        models = Map.copyOf(models);
    }

    /**
     * A model that the engines can load.
     *
     * @param name the model's name, unique within the service
     * @param weightMegabytes the memory of its weights, in megabytes
     * @param storeLoadSeconds the duration of a load from the weight store, in seconds
     * @param diskLoadSeconds the duration of a load from the engine's disk, in seconds
     * @param memoryLoadSeconds the duration of a load from the engine's main memory, in seconds
     * @param adapterMegabytes the memory of one adapter of this model, in megabytes
     */
    public record EngineModel(
            String name,
            double weightMegabytes,
            double storeLoadSeconds,
            double diskLoadSeconds,
            double memoryLoadSeconds,
            double adapterMegabytes) {}
}
