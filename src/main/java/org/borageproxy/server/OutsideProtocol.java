package org.borageproxy.server;

import java.util.concurrent.CompletionStage;

import io.vertx.core.Vertx;
import org.borageproxy.forward.CallerProtocol;
import org.borageproxy.placement.EngineClient;
import org.borageproxy.publication.Publication;
import org.borageproxy.settings.Endpoint;

/**
 * Names, formats and calls of the world outside a VM. Decides nothing. Implementations are immutable and thread safe.
 */
public interface OutsideProtocol {

    /**
     * Returns the format of what callers and backend servers exchange.
     *
     * @return the protocol
     */
    CallerProtocol callers();

    /**
     * Reads an operator's document.
     *
     * @param document the document
     * @return the publication, not yet checked as a whole
     * @throws IllegalArgumentException if the document cannot be read in full
     */
    Publication publication(byte[] document);

    /**
     * Serves operators and backend servers.
     *
     * @param vertx runs the server
     * @param endpoint where to listen
     * @param plane answers the calls
     * @return completes when calls are taken
     */
    CompletionStage<?> serveControl(Vertx vertx, Endpoint endpoint, ControlPlane plane);

    /**
     * Returns a client for orders to model engines.
     *
     * @param vertx runs the client
     * @return the client
     */
    EngineClient engines(Vertx vertx);
}
