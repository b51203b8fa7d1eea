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
 * The platform as the product sees it. Immutable and thread safe.
 *
 * @param heartbeatMillis the time between heartbeats of backend servers, in milliseconds
 */
record PlatformProtocol(int heartbeatMillis) implements ExternalProtocol {

    @Override
    public CallerProtocol callerProtocol() {
        return new PlatformHeaders();
    }

    @Override
    public Publication parsePublication(byte[] document) {
        return PublicationDocument.decode(document);
    }

    @Override
    public CompletionStage<?> startControlServer(Vertx vertx, Endpoint endpoint, ControlPlane plane) {
        return ControlCalls.serve(vertx, endpoint, plane, heartbeatMillis);
    }

    @Override
    public EngineClient createEngineClient(Vertx vertx) {
        return new EngineCalls(vertx);
    }
}
