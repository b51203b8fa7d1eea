package org.borageproxy.server;

import java.util.concurrent.CompletionStage;

import io.vertx.core.Vertx;
import org.borageproxy.forward.CallerProtocol;
import org.borageproxy.placement.EngineClient;
import org.borageproxy.publication.Publication;
import org.borageproxy.settings.Endpoint;

/**
 * Header names, document formats and HTTP calls with which callers, operators and backend servers communicate with a
 * VM. Contains no policy. Implementations are immutable and thread safe.
 */
public interface ExternalProtocol {

    /**
     * Returns the header fields of the requests and responses between callers and backend servers.
     *
     * @return the protocol
     */
    CallerProtocol callerProtocol();

    /**
     * Parses the document with which an operator publishes a configuration.
     *
     * @param document the encoded document
     * @return the publication, whose content is not yet checked
     * @throws IllegalArgumentException if the document is malformed or lacks a required field
     */
    Publication parsePublication(byte[] document);

    /**
     * Starts the server for operators and backend servers.
     *
     * @param vertx the event loops of the server
     * @param endpoint the address to listen on
     * @param controlPlane handles the calls
     * @return completes when the server listens; fails if the port cannot be opened
     */
    CompletionStage<?> startControlServer(Vertx vertx, Endpoint endpoint, ControlPlane controlPlane);

    /**
     * Creates a client that sends orders to model engines and reads their reports.
     *
     * @param vertx the event loops of the client
     * @param listener receives what engines say of themselves
     * @return the client
     */
    EngineClient createEngineClient(Vertx vertx, EngineClient.AnswerListener listener);
}
