package org.borageproxy.placement;

import org.borageproxy.membership.BackendServerName;

/**
 * A durable record of an order that may reach a backend server. It counts against the accelerator's memory from before
 * the order is sent until the effect is known for certain. Immutable and thread safe.
 *
 * @param number the fencing number of the order, which rises over all owners
 * @param epoch the epoch of the placement duty under which it was recorded
 * @param server the backend server
 * @param incarnation the incarnation of the backend server that the order is for
 * @param accelerator the accelerator
 * @param action what the order does
 * @param model the model's name
 * @param version the model's version
 * @param adapter the adapter's name, empty for none
 * @param memoryBytes the memory that the order takes or frees, in bytes
 */
public record Intent(
        long number,
        long epoch,
        BackendServerName server,
        long incarnation,
        String accelerator,
        Action action,
        String model,
        String version,
        String adapter,
        long memoryBytes) {

    /** What an order does. */
    public enum Action {
        /** Loads a model version. */
        LOAD,
        /** Unloads a model version with its adapters. */
        UNLOAD,
        /** Loads an adapter. */
        LOAD_ADAPTER,
        /** Unloads an adapter. */
        UNLOAD_ADAPTER
    }
}
