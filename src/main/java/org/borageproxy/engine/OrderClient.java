package org.borageproxy.engine;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.placement.Intent;

/** Sends orders to model engines and reads their states. Implementations are thread safe. */
public interface OrderClient {

    /**
     * Sends an order.
     *
     * @param server the engine
     * @param intent the recorded intent of the order
     * @param maySend called right before the order is sent, on any thread; {@code false} prevents the sending
     * @return the known outcome of the order; never fails
     */
    CompletionStage<OrderResult> sendOrder(BackendServer server, Intent intent, BooleanSupplier maySend);

    /**
     * Reads the state of an engine.
     *
     * @param server the engine
     * @return the state, or empty if the engine did not answer in time or the answer is invalid; never fails
     */
    CompletionStage<Optional<EngineState>> fetchState(BackendServer server);
}
