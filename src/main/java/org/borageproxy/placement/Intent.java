package org.borageproxy.placement;

import org.borageproxy.membership.BackendServerName;

/**
 * A durable record of an order that may reach a backend server. It reserves memory of the accelerator from before the
 * order is sent until the effect is certain. Immutable and thread safe.
 *
 * @param number the number of the order, also its fencing token; increases across all placement owners
 * @param epoch the epoch of the placement duty under which it was recorded
 * @param server the name of the backend server
 * @param incarnation the incarnation of the backend server that the order is for
 * @param accelerator the name of the accelerator
 * @param action the effect of the order
 * @param model the name of the model
 * @param version the version of the model
 * @param adapter the name of the adapter, empty for none
 * @param memoryBytes the memory in bytes that a load allocates; zero for an unload
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

    /** The effect of an order. */
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
