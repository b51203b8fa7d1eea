package org.borageproxy.engine;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.placement.Intent;

/** Gives orders to model engines and reads their state. Implementations are safe for use by any thread. */
public interface OrderClient {

    /**
     * Gives an order.
     *
     * @param server the engine
     * @param intent the recorded intent of the order
     * @param maySend asked right before the order is sent; the order is not sent if the answer is {@code false}
     * @return what is known of the order; never fails
     */
    CompletionStage<OrderResult> sendOrder(BackendServer server, Intent intent, BooleanSupplier maySend);

    /**
     * Reads the state of an engine.
     *
     * @param server the engine
     * @return the state, or empty if it did not answer in time or not properly; never fails
     */
    CompletionStage<Optional<EngineState>> fetchState(BackendServer server);
}
