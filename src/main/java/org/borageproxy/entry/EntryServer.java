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

/**
 * The HTTP server for callers of one VM. Thread safe; started once. Only the first drain and the first close have an
 * effect.
 */
public final class EntryServer {

    private final EntryComponents components;
    private final DrainState state = new DrainState();
    /** Holds {@code null} until a drain starts; not reset when it ends. */
    private final AtomicReference<Drain> activeDrain = new AtomicReference<>();

    private volatile int boundPort;
    /** The deployment ID of the verticles, empty while the server is not running. */
    private volatile String deployment = "";

    /**
     * Creates a server that is not yet listening.
     *
     * @param dependencies the dependencies on other parts of the VM
     * @param settings the settings
     */
    public EntryServer(EntryDependencies dependencies, EntrySettings settings) {
        BackendClients clients = BackendClients.of(dependencies.vertx());
        ExecutionDependencies executionDependencies = new ExecutionDependencies(
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
        EngineTask.Dependencies engineDependencies = new EngineTask.Dependencies(
                dependencies.vertx(), dependencies.clock(), clients, new PrefixAffinity(), settings.zone());
        this.components =
                new EntryComponents(settings, dependencies, executionDependencies, clients, engineDependencies);
    }

    /**
     * Starts listening.
     *
     * @return the bound port; fails if the port cannot be bound
     */
    public Future<Integer> start() {
        DeploymentOptions options =
                new DeploymentOptions().setInstances(components.settings().eventLoops());
        return components
                .dependencies()
                .vertx()
                .deployVerticle(ServerVerticle::new, options)
                .map(deploymentId -> {
                    deployment = deploymentId;
                    components
                            .dependencies()
                            .events()
                            .record(Event.named("entry-started").with("port", boundPort));
                    return boundPort;
                });
    }

    /**
     * Returns the bound port.
     *
     * @return the port, 0 before the start; kept after the server has stopped
     */
    public int port() {
        return boundPort;
    }

    /**
     * Returns the number of calls in flight.
     *
     * @return the number of calls; health checks are not counted
     */
    public int inFlight() {
        return state.inFlight();
    }

    /**
     * Returns the table of the requests that this VM has in flight at each backend server.
     *
     * @return the table that the handlers update, not a copy
     */
    public ServerTable serverTable() {
        return components.executionDependencies().table();
    }

    /**
     * Shuts down gracefully: readiness fails immediately, calls are served as before during the notice period, then
     * connections are closed after each response, and the server stops once no call has been in flight or arrived for a
     * quiet period. New calls are refused once both the notice period and half of the time until the deadline have
     * passed; calls in flight are aborted only at the deadline. Later calls of this method return the completion of the
     * first one, and their deadlines are ignored.
     *
     * @param deadline when to stop in any case
     * @return completes when the server has stopped
     */
    public Future<Void> drain(Deadline deadline) {
        if (activeDrain.compareAndSet(null, new Drain(components, state, deadline, this::close))) {
            components
                    .dependencies()
                    .events()
                    .record(Event.named("drain-started").with("in-flight", state.inFlight()));
            activeDrain.get().start();
        }
        return activeDrain.get().whenStopped();
    }

    /**
     * Stops immediately and closes the clients for backend servers. Has no effect if the server is not running or is
     * already being closed.
     *
     * @return completes when the server has stopped, or immediately if the call has no effect
     */
    public Future<Void> close() {
        String runningDeployment = deployment;
        deployment = "";
        if (runningDeployment.isEmpty()) {
            return Future.succeededFuture();
        }
        components.dependencies().events().record(Event.named("entry-stopped").with("in-flight", state.inFlight()));
        return components.dependencies().vertx().undeploy(runningDeployment).onComplete(ended -> components
                .clients()
                .close());
    }

    /** One server on one event loop; all instances share the port. Confined to its event loop. */
    private final class ServerVerticle extends VerticleBase {

        private final Map<HttpConnection, ConnectionTimeouts> timeouts = new HashMap<>();

        @Override
        public Future<?> start() {
            EntrySettings settings = components.settings();
            // With a negative port, all instances share one free port; with 0, each would bind a port of its own.
            HttpServerOptions options = new HttpServerOptions()
                    .setHost(settings.host())
                    .setPort(settings.port() == 0 ? -1 : settings.port())
                    .setMaxHeaderSize(settings.limits().maximumHeaderBytes())
                    .setMaxInitialLineLength(settings.limits().maximumHeaderBytes())
                    .setHttp2ClearTextEnabled(false)
                    .setTcpNoDelay(true);
            EntryHandler handler = new EntryHandler(components, state);
            HttpServer server = vertx.createHttpServer(options)
                    .connectionHandler(connection -> onConnection(connection, options))
                    .invalidRequestHandler(handler::handleInvalid)
                    .requestHandler(request -> {
                        timeouts.get(request.connection()).onRequest(request);
                        handler.handle(request);
                    });
            return server.listen().onSuccess(listening -> boundPort = listening.actualPort());
        }

        private void onConnection(HttpConnection connection, HttpServerOptions options) {
            StrictRequestDecoder.install(connection, options);
            ConnectionTimeouts connectionTimeouts = new ConnectionTimeouts(
                    vertx, connection, components.settings().limits());
            timeouts.put(connection, connectionTimeouts);
            connection.closeHandler(nothing -> {
                timeouts.remove(connection);
                connectionTimeouts.onClosed();
            });
        }
    }
}
