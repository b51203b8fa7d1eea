package org.borageproxy.placement;

import org.borageproxy.time.Deadline;

/**
 * An intent whose effect is not known for certain. Immutable and thread safe.
 *
 * @param intent the intent
 * @param phase what is known of the order
 * @param sinceNanos since when this is known, on the monotonic clock in nanoseconds
 * @param executesBefore when the order can land no more, if nothing else proves it earlier
 */
record OpenOrder(Intent intent, Phase phase, long sinceNanos, Deadline executesBefore) {

    /** What is known of an order. */
    enum Phase {
        /** The intent is recorded and the order may be on its way at any moment. */
        RECORDED,
        /** The engine accepted the order. */
        ACCEPTED,
        /** No answer came. */
        UNKNOWN,
        /** An earlier owner recorded the intent. */
        INHERITED
    }

    /**
     * Tells whether the order takes memory when it lands.
     *
     * @return {@code true} for loads
     */
    boolean allocatesMemory() {
        return intent.action() == Intent.Action.LOAD || intent.action() == Intent.Action.LOAD_ADAPTER;
    }
}
