package org.borageproxy.placement;

import java.util.Set;

/**
 * A snapshot of a copy of a model version on an accelerator, input of the planner. Immutable and thread safe.
 *
 * @param modelVersion the model version
 * @param status the state of the copy, with regard to open orders
 * @param adapters the adapters that can serve requests
 * @param busyAdapters the adapters for which no order should be planned now
 */
public record CopyView(ModelVersionId modelVersion, Status status, Set<String> adapters, Set<String> busyAdapters) {

    /** Copies the sets. */
    public CopyView {
        adapters = Set.copyOf(adapters);
        busyAdapters = Set.copyOf(busyAdapters);
    }

    /** The state of a copy. */
    public enum Status {
        /** The copy serves requests and no order for it is open. */
        SERVING,
        /** The copy serves requests, but an order for it is open or the state of its engine is outdated. */
        SERVING_WITH_OPEN_ORDER,
        /** The copy is being loaded. */
        LOADING,
        /** A load was ordered but has shown no effect in time; it may be ordered again. */
        UNCERTAIN,
        /** The copy is being unloaded, or an order to unload it is open. */
        LEAVING,
        /**
         * No order may be planned for the copy: it is not in memory and open orders for it forbid another load, or it
         * does not serve and the state of its engine is outdated.
         */
        BLOCKED
    }
}
