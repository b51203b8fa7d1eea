package org.borageproxy.placement;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.borageproxy.coordination.ModelInventory;
import org.borageproxy.membership.BackendServer;

/** Sends orders to model engines and reads their state. Implementations are safe for use by any thread. */
public interface EngineClient {

    /**
     * Sends an order.
     *
     * @param server the engine
     * @param order the order
     * @return the outcome; never fails
     */
    CompletionStage<OrderReply> sendOrder(BackendServer server, EngineOrder order);

    /**
     * Reads what an engine holds, as of some hundred milliseconds ago.
     *
     * @param server the engine
     * @return empty if it did not answer; never fails
     */
    CompletionStage<Optional<EngineReport>> fetchState(BackendServer server);

    /** How an engine takes an order. */
    enum OrderReply {
        /** The order is carried out, or holds already. */
        ACCEPTED,
        /** The order holds already and nothing was counted. */
        HELD,
        /** The engine carries out another order, or has accepted others since. */
        CONFLICT,
        /** An order with a higher fencing number has been seen. */
        FENCED,
        /** The engine refuses the order for good. */
        REFUSED,
        /** The order may be carried out now or later, or not at all. */
        UNKNOWN
    }

    /**
     * An order. Immutable and thread safe.
     *
     * @param isLoad whether something is loaded, otherwise unloaded
     * @param model the model
     * @param adapter the adapter of the model; empty for the model itself
     * @param expectedOrderCount the number of orders that the engine must have accepted so far
     * @param holder who orders
     * @param fencingToken the fencing number, rising with each holder
     */
    record EngineOrder(
            boolean isLoad, String model, String adapter, long expectedOrderCount, String holder, long fencingToken) {}

    /**
     * What an engine reports.
     *
     * @param loadedModels its models, with the number of orders accepted
     * @param isBusy whether it carries out an order for a model
     * @param loadingAdapterCount the adapters that are on their way
     */
    record EngineReport(ModelInventory loadedModels, boolean isBusy, int loadingAdapterCount) {}
}
