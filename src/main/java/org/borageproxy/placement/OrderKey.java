package org.borageproxy.placement;

import org.borageproxy.membership.BackendServerName;

/**
 * Identifies the subject of an order: a model version, or an adapter of one, on an accelerator. Several loads with
 * equal keys allocate their memory only once. Immutable and thread safe.
 *
 * @param server the name of the engine
 * @param accelerator the name of the accelerator
 * @param model the name of the model
 * @param version the version of the model
 * @param adapter the name of the adapter, empty for the model itself
 */
record OrderKey(BackendServerName server, String accelerator, String model, String version, String adapter) {

    /**
     * Returns the subject of an intent.
     *
     * @param intent the intent
     * @return the key
     */
    static OrderKey of(Intent intent) {
        return new OrderKey(intent.server(), intent.accelerator(), intent.model(), intent.version(), intent.adapter());
    }
}
