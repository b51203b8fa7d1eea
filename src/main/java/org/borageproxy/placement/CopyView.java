package org.borageproxy.placement;

import java.util.Set;

/**
 * A copy of a model version on an accelerator, as the planner sees it. Immutable and thread safe.
 *
 * @param modelVersion the model version
 * @param status whether it serves
 * @param adapters the adapters that can be used
 * @param busyAdapters the adapters with open orders
 */
public record CopyView(ModelVersionId modelVersion, Status status, Set<String> adapters, Set<String> busyAdapters) {

    /** Copies the sets. */
    public CopyView {
        adapters = Set.copyOf(adapters);
        busyAdapters = Set.copyOf(busyAdapters);
    }

    /** Whether a copy serves. */
    public enum Status {
        /** The copy serves and no order about it is open. */
        SERVING,
        /** The copy serves, but an order about it is open. */
        SERVING_WITH_OPEN_ORDER,
        /** The copy is being loaded. */
        LOADING,
        /** A load was ordered and nothing shows that it arrived; it may be ordered again. */
        UNCERTAIN,
        /** The copy is being unloaded, or an order to unload it is open. */
        LEAVING,
        /** The copy isn't in memory, and open orders about it forbid a new one. */
        BLOCKED
    }
}
