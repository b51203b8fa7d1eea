package org.borageproxy.platform;

import java.util.concurrent.CompletionStage;

import io.vertx.core.Vertx;
import org.borageproxy.forward.CallerProtocol;
import org.borageproxy.placement.EngineClient;
import org.borageproxy.publication.Publication;
import org.borageproxy.server.ControlPlane;
import org.borageproxy.server.ExternalProtocol;
import org.borageproxy.settings.Endpoint;

/**
 * External protocol of the deployment platform. Immutable and thread safe.
 *
 * @param heartbeatIntervalMillis the interval between the heartbeats of a backend server, in milliseconds
 */
record PlatformProtocol(int heartbeatIntervalMillis) implements ExternalProtocol {

    @Override
    public CallerProtocol callerProtocol() {
        return new PlatformHeaders();
    }

    @Override
    public Publication parsePublication(byte[] document) {
        return PublicationDocument.decode(document);
    }

    @Override
    public CompletionStage<?> startControlServer(Vertx vertx, Endpoint endpoint, ControlPlane controlPlane) {
        return ControlCalls.serve(vertx, endpoint, controlPlane, heartbeatIntervalMillis);
    }

    @Override
    public EngineClient createEngineClient(Vertx vertx, EngineClient.AnswerListener listener) {
        return new EngineCalls(vertx, listener);
    }
}
