package org.borageproxy.standin;

import java.util.Set;
import java.util.TreeSet;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.membership.LoadedModel;

/**
 * A model version that occupies memory on an accelerator, from the start of its load to the end of its unload. Confined
 * to one event loop.
 */
final class ResidentModel {

    final String model;
    final String version;
    final String accelerator;
    /** Memory without adapters, in bytes. */
    final long bytes;
    /** Adapters that accept requests. */
    final Set<String> adapters = new TreeSet<>();
    /** Adapters that are being loaded; they occupy memory already. */
    final Set<String> loadingAdapters = new TreeSet<>();
    /** Number of the last load or unload order, zero for a preloaded model. */
    long lastOrderNumber;
    /** Whether the model accepts requests. */
    boolean isReady;

    boolean isUnloading;

    /** Creates a model version whose load begins. */
    ResidentModel(String model, String version, String accelerator, long bytes, long order) {
        this.model = model;
        this.version = version;
        this.accelerator = accelerator;
        this.bytes = bytes;
        this.lastOrderNumber = order;
    }

    /** Returns whether this is the given model version and is not being unloaded. */
    boolean isVersion(String otherModel, String otherVersion) {
        return !isUnloading && model.equals(otherModel) && version.equals(otherVersion);
    }

    /** Returns the memory with the loaded and loading adapters, in bytes. */
    long totalBytes(long adapterBytes) {
        return bytes + adapterBytes * (adapters.size() + loadingAdapters.size());
    }

    /** Returns this model as announced. */
    LoadedModel toLoadedModel() {
        return new LoadedModel(model, version, accelerator, adapters);
    }

    /** Returns this model as part of {@code GET /v1/state}. */
    JsonObject toJson() {
        return new JsonObject()
                .put("model", model)
                .put("version", version)
                .put("accelerator", accelerator)
                .put("adapters", new JsonArray(adapters.stream().toList()))
                .put("ready", isReady)
                .put("order", lastOrderNumber);
    }
}
