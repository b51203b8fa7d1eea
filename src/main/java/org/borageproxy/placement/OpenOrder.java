package org.borageproxy.placement;

import org.borageproxy.time.Deadline;

/**
 * An order whose effect is not yet certain. Immutable and thread safe.
 *
 * @param intent the recorded intent of the order
 * @param phase the known progress of the order
 * @param sinceNanos the start of the phase, on the monotonic clock in nanoseconds
 * @param executesBefore the time by which the order has been executed or never will be
 */
record OpenOrder(Intent intent, Phase phase, long sinceNanos, Deadline executesBefore) {

    /** The known progress of an order. */
    enum Phase {
        /** The intent is recorded and the order may be sent at any time. */
        RECORDED,
        /** The engine accepted the order. */
        ACCEPTED,
        /** The engine did not answer. */
        UNKNOWN,
        /** An earlier placement owner recorded the intent. */
        INHERITED
    }

    /**
     * Returns whether the order allocates memory when it is executed.
     *
     * @return {@code true} for loads of models and adapters
     */
    boolean allocatesMemory() {
        return intent.action() == Intent.Action.LOAD || intent.action() == Intent.Action.LOAD_ADAPTER;
    }
}
