package org.borageproxy.standin;

import java.util.Set;
import java.util.TreeSet;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.membership.LoadedModel;

/**
 * A model version in an engine's memory, from the start of its load to the end of its unload. Confined to one event
 * loop.
 */
final class Resident {

    /** The model's name. */
    final String model;
    /** The model's version. */
    final String version;
    /** The accelerator's name. */
    final String accelerator;
    /** The memory of the model without adapters, in bytes. */
    final long bytes;
    /** The adapters that can be used. */
    final Set<String> adapters = new TreeSet<>();
    /** The adapters that are being loaded. */
    final Set<String> loadingAdapters = new TreeSet<>();
    /** The number of the last order that had an effect. */
    long order;
    /** Whether the model can be used. */
    boolean ready;
    /** Whether the model is being unloaded. */
    boolean unloading;

    /**
     * Creates a model that is being loaded.
     *
     * @param model the model's name
     * @param version the model's version
     * @param accelerator the accelerator's name
     * @param bytes the memory in bytes
     * @param order the number of the order
     */
    Resident(String model, String version, String accelerator, long bytes, long order) {
        this.model = model;
        this.version = version;
        this.accelerator = accelerator;
        this.bytes = bytes;
        this.order = order;
    }

    /**
     * Tells whether this is a version of a model that is not being unloaded.
     *
     * @param otherModel the model's name
     * @param otherVersion the model's version
     * @return {@code true} if it is
     */
    boolean is(String otherModel, String otherVersion) {
        return !unloading && model.equals(otherModel) && version.equals(otherVersion);
    }

    /**
     * Returns the memory with adapters.
     *
     * @param adapterBytes the memory of each adapter, in bytes
     * @return the memory in bytes
     */
    long totalBytes(long adapterBytes) {
        return bytes + adapterBytes * (adapters.size() + loadingAdapters.size());
    }

    /**
     * Returns this model as announcements show it.
     *
     * @return the loaded model
     */
    LoadedModel loaded() {
        return new LoadedModel(model, version, accelerator, adapters);
    }

    /**
     * Returns this model as {@code GET /v1/state} shows it.
     *
     * @return the JSON object
     */
    JsonObject json() {
        return new JsonObject()
                .put("model", model)
                .put("version", version)
                .put("accelerator", accelerator)
                .put("adapters", new JsonArray(adapters.stream().toList()))
                .put("ready", ready)
                .put("order", order);
    }
}
