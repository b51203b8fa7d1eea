package org.borageproxy.placement;

import org.borageproxy.membership.BackendServerName;

/**
 * What an order is about: a model version, or an adapter of one, on an accelerator. Loads with equal keys take the
 * memory once. Immutable and thread safe.
 *
 * @param server the engine
 * @param accelerator the accelerator
 * @param model the model's name
 * @param version the model's version
 * @param adapter the adapter's name, empty for the model itself
 */
record OrderKey(BackendServerName server, String accelerator, String model, String version, String adapter) {

    /**
     * Returns what an intent is about.
     *
     * @param intent the intent
     * @return the key
     */
    static OrderKey of(Intent intent) {
        return new OrderKey(intent.server(), intent.accelerator(), intent.model(), intent.version(), intent.adapter());
    }
}
