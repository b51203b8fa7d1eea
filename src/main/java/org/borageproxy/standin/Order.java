package org.borageproxy.standin;

import io.vertx.core.json.JsonObject;

/**
 * An order to change the models in an engine's memory. Immutable and thread safe.
 *
 * @param number the order's number
 * @param fencing the fencing number of the sender
 * @param action {@code load}, {@code unload}, {@code load_adapter} or {@code unload_adapter}
 * @param model the model's name
 * @param version the model's version
 * @param adapter the adapter's name, empty for none
 * @param accelerator the accelerator's name; empty matches any accelerator, but a {@code load} order needs a name
 */
record Order(
        long number, long fencing, String action, String model, String version, String adapter, String accelerator) {

    /** Parses the body of {@code POST /v1/orders}. */
    static Order ofJson(JsonObject json) {
        return new Order(
                json.getLong("order"),
                json.getLong("fencing"),
                json.getString("action"),
                json.getString("model"),
                json.getString("version"),
                json.getString("adapter", ""),
                json.getString("accelerator", ""));
    }
}
