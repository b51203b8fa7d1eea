package org.borageproxy.standin;

import io.vertx.core.json.JsonObject;

/**
 * An order as an engine received it. Immutable and thread safe.
 *
 * @param number the order's number
 * @param fencing the fencing number
 * @param action {@code load}, {@code unload}, {@code load_adapter} or {@code unload_adapter}
 * @param model the model's name
 * @param version the model's version
 * @param adapter the adapter's name, empty for none
 * @param accelerator the accelerator's name
 */
record Order(
        long number, long fencing, String action, String model, String version, String adapter, String accelerator) {

    /**
     * Reads an order.
     *
     * @param json the body of {@code POST /v1/orders}
     * @return the order
     */
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
