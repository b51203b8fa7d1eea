package org.borageproxy.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import org.borageproxy.event.Event;
import org.borageproxy.execution.BackendClients;
import org.borageproxy.execution.CrashProbe;
import org.borageproxy.execution.EngineTask;
import org.borageproxy.execution.ExecutionDependencies;
import org.borageproxy.execution.RetryBudget;
import org.borageproxy.routing.PrefixAffinity;
import org.borageproxy.routing.ServerTable;
import org.borageproxy.time.Deadline;

/** The callers' interface of one VM. Safe for use by any thread; started once and drained or closed once. */
public final class EntryServer {

    /** What handlers share. */
    private final EntryComponents parts;
    /** Where the interface stands. */
    private final DrainState state = new DrainState();
    /** The drain, or {@code null} before one began. */
    private final AtomicReference<Drain> draining = new AtomicReference<>();
    /** The port listened at, once started. */
    private volatile int actualPort;
    /** The identity of the deployed servers, once started. */
    private volatile String deployment = "";

    /**
     * Creates a server that does not listen yet.
     *
     * @param dependencies the other parts of the VM
     * @param settings the settings
     */
    public EntryServer(EntryDependencies dependencies, EntrySettings settings) {
        BackendClients clients = BackendClients.of(dependencies.vertx());
        ExecutionDependencies services = new ExecutionDependencies(
                dependencies.vertx(),
                dependencies.clock(),
                dependencies.configuration(),
                dependencies.servers(),
                dependencies.quota(),
                dependencies.queue(),
                dependencies.claims(),
                dependencies.crashes(),
                dependencies.events(),
                new ServerTable(),
                new RetryBudget(
                        settings.execution().retryRatio(), settings.execution().retryBurst()),
                CrashProbe.overTcp(dependencies.vertx()),
                settings.execution());
        EngineTask.Dependencies tools = new EngineTask.Dependencies(
                dependencies.vertx(), dependencies.clock(), clients, new PrefixAffinity(), settings.zone());
        this.parts = new EntryComponents(settings, dependencies, services, clients, tools);
    }

    /**
     * Starts to listen.
     *
     * @return the port listened at, or a failure
     */
    public Future<Integer> start() {
        DeploymentOptions options =
                new DeploymentOptions().setInstances(parts.settings().eventLoops());
        return parts.dependencies()
                .vertx()
                .deployVerticle(Listener::new, options)
                .map(identity -> {
                    deployment = identity;
                    parts.dependencies()
                            .events()
                            .record(Event.named("entry-started").with("port", actualPort));
                    return actualPort;
                });
    }

    /**
     * Returns the port listened at.
     *
     * @return the port, zero before the start
     */
    public int port() {
        return actualPort;
    }

    /**
     * Returns the calls in flight.
     *
     * @return the number
     */
    public int inFlight() {
        return state.inFlight();
    }

    /**
     * Returns what this VM has under way at each backend server.
     *
     * @return the table
     */
    public ServerTable serverTable() {
        return parts.executionDependencies().table();
    }

    /**
     * Shuts down gracefully: readiness fails at once, calls are served as usual during the notice, then connections are
     * closed after each answer, and the server stops once nothing is in flight. Only the deadline cuts calls; a second
     * drain has no effect of its own.
     *
     * @param deadline when to stop in any case
     * @return completes when the server has stopped
     */
    public Future<Void> drain(Deadline deadline) {
        if (draining.compareAndSet(null, new Drain(parts, state, deadline, this::close))) {
            parts.dependencies().events().record(Event.named("drain-started").with("in-flight", state.inFlight()));
            draining.get().start();
        }
        return draining.get().whenStopped();
    }

    /**
     * Stops at once.
     *
     * @return completes when the server has stopped
     */
    public Future<Void> close() {
        String deployed = deployment;
        deployment = "";
        if (deployed.isEmpty()) {
            return Future.succeededFuture();
        }
        parts.dependencies().events().record(Event.named("entry-stopped").with("in-flight", state.inFlight()));
        return parts.dependencies().vertx().undeploy(deployed).onComplete(ended -> parts.clients()
                .close());
    }

    /** One server on one event loop; all listen at the same port. Confined to its event loop. */
    private final class Listener extends VerticleBase {

        /** The guards of the open connections. */
        private final Map<HttpConnection, ConnectionTimeouts> guards = new HashMap<>();

        @Override
        public Future<?> start() {
            EntrySettings settings = parts.settings();
            HttpServerOptions options = new HttpServerOptions()
                    .setHost(settings.host())
                    .setPort(settings.port() == 0 ? -1 : settings.port())
                    .setMaxHeaderSize(settings.limits().maximumHeaderBytes())
                    .setMaxInitialLineLength(settings.limits().maximumHeaderBytes())
                    .setHttp2ClearTextEnabled(false)
                    .setTcpNoDelay(true);
            EntryHandler handler = new EntryHandler(parts, state);
            HttpServer server = vertx.createHttpServer(options)
                    .connectionHandler(connection -> opened(connection, options))
                    .invalidRequestHandler(handler::handleInvalid)
                    .requestHandler(request -> {
                        guards.get(request.connection()).onRequest(request);
                        handler.handle(request);
                    });
            return server.listen().onSuccess(listening -> actualPort = listening.actualPort());
        }

        /**
         * Guards a new connection.
         *
         * @param connection the connection
         * @param options the options of the server
         */
        private void opened(HttpConnection connection, HttpServerOptions options) {
            StrictRequestDecoder.install(connection, options);
            ConnectionTimeouts guard =
                    new ConnectionTimeouts(vertx, connection, parts.settings().limits());
            guards.put(connection, guard);
            connection.closeHandler(nothing -> {
                guards.remove(connection);
                guard.onClosed();
            });
        }
    }
}
