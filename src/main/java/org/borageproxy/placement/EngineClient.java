package org.borageproxy.placement;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.borageproxy.coordination.ModelInventory;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.routing.ServerStatement;

/** Sends orders to model engines and reads their reports. Implementations are thread safe. */
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
     * Reads the models and adapters of an engine. The report lags behind by several hundred milliseconds.
     *
     * @param server the engine
     * @return the report, or empty if the engine did not answer; never fails
     */
    CompletionStage<Optional<EngineReport>> fetchState(BackendServer server);

    /** Receives what engines say of themselves in their answers, on any thread. */
    interface AnswerListener {

        /**
         * Called with each answer whose statement can be read.
         *
         * @param server the engine
         * @param statement what it states about its capacity
         */
        void onStatement(BackendServer server, ServerStatement statement);

        /**
         * Called if an engine refused a call and wants no further requests of this VM for a time.
         *
         * @param server the engine
         * @param retryAfter the time
         */
        void onRefusal(BackendServer server, Duration retryAfter);

        /**
         * Called with each answer in which an engine states that it leaves.
         *
         * @param server the engine
         */
        void onLeaving(BackendServer server);
    }

    /** The outcome of an order. */
    enum OrderReply {
        /** The engine has started to execute the order. */
        ACCEPTED,
        /** The engine is already in the requested state and did not count the order. */
        HELD,
        /** The engine is executing another order, or has accepted more orders than expected. */
        CONFLICT,
        /** The engine has seen an order with a higher fencing token. */
        FENCED,
        /** The engine rejects the order permanently. */
        REFUSED,
        /** The engine may execute the order now, later or never. */
        UNKNOWN
    }

    /**
     * An order to load or unload a model or an adapter. Immutable and thread safe.
     *
     * @param isLoad whether to load; {@code false} unloads
     * @param model the model
     * @param adapter the adapter of the model, empty for the model itself
     * @param expectedOrderCount the number of orders that the engine must have accepted before this one
     * @param holder the name of the VM that sends the order
     * @param fencingToken the fencing token, which increases with each holder
     */
    record EngineOrder(
            boolean isLoad, String model, String adapter, long expectedOrderCount, String holder, long fencingToken) {}

    /**
     * The state that an engine reports.
     *
     * @param loadedModels its models and adapters, with the number of accepted orders
     * @param isBusy whether it is executing an order for a model
     * @param loadingAdapterCount the number of adapters that are being loaded
     */
    record EngineReport(ModelInventory loadedModels, boolean isBusy, int loadingAdapterCount) {}
}
