package org.borageproxy.placement;

import org.borageproxy.membership.BackendServerName;

/**
 * An order that is part of a plan. Immutable and thread safe.
 *
 * @param action the effect of the order
 * @param server the name of the engine
 * @param accelerator the name of the accelerator
 * @param modelVersion the model version
 * @param adapter the name of the adapter, empty for the model itself
 * @param memoryBytes the memory in bytes that a load allocates; zero for an unload
 * @param reason the reason for the order
 */
public record PlannedOrder(
        Intent.Action action,
        BackendServerName server,
        String accelerator,
        ModelVersionId modelVersion,
        String adapter,
        long memoryBytes,
        Reason reason) {

    /** The reason for an order. */
    public enum Reason {
        /** No copy of the model version serves requests. */
        UNREACHABLE,
        /** Another copy needs the room. */
        MAKE_ROOM,
        /** The model has copies in only one availability zone. */
        SECOND_ZONE,
        /** The demand exceeds the capacity of the copies that serve. */
        DEMAND,
        /** The adapter is not loaded with this copy of its model. */
        ADAPTER,
        /** The configuration no longer contains the model version or adapter. */
        OBSOLETE
    }

    /**
     * Returns the intent to record before the order is sent.
     *
     * @param epoch the epoch of the placement duty
     * @param incarnation the incarnation of the engine
     * @return the intent, without a number
     */
    Intent intent(long epoch, long incarnation) {
        return new Intent(
                0,
                epoch,
                server,
                incarnation,
                accelerator,
                action,
                modelVersion.model(),
                modelVersion.version(),
                adapter,
                memoryBytes);
    }
}
