package org.borageproxy.placement;

import org.borageproxy.membership.BackendServerName;

/**
 * An order that a plan asks for. Immutable and thread safe.
 *
 * @param action what the order does
 * @param server the engine
 * @param accelerator the accelerator
 * @param modelVersion the model version
 * @param adapter the adapter's name, empty for the model itself
 * @param memoryBytes the memory that the order takes or frees, in bytes
 * @param reason why the plan asks for it
 */
public record PlannedOrder(
        Intent.Action action,
        BackendServerName server,
        String accelerator,
        ModelVersionId modelVersion,
        String adapter,
        long memoryBytes,
        Reason reason) {

    /** Why a plan asks for an order. */
    public enum Reason {
        /** No copy serves. */
        UNREACHABLE,
        /** Another copy needs the room. */
        MAKE_ROOM,
        /** The model has no copy in a second availability zone. */
        SECOND_ZONE,
        /** The demand is too large for the copies that serve. */
        DEMAND,
        /** The adapter is not loaded beside this copy. */
        ADAPTER,
        /** The configuration names it no more. */
        OBSOLETE
    }

    /**
     * Returns the intent to record before the order is sent.
     *
     * @param epoch the epoch of the placement duty
     * @param incarnation the incarnation of the engine
     * @return the intent without a number
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
