package org.borageproxy.server;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import org.borageproxy.log.consensus.Role;
import org.borageproxy.logging.BoundedAppender;
import org.borageproxy.settings.Endpoint;
import org.borageproxy.time.Deadline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One VM whose callers, operators and backend servers speak an outside protocol. Started and shut down once; safe for
 * use by any thread.
 */
public final class GatewayProcess {

    private static final Logger LOGGER = LoggerFactory.getLogger(GatewayProcess.class);
    /** The time allowed to each start of a server. */
    private static final Duration START_TIME = Duration.ofSeconds(20);
    /** The time after which the balancer sends no new connections, from two questions of one second. */
    private static final Duration BALANCER_NOTICE = Duration.ofMillis(2600);
    /** The time between the last answer that is waited for and the end of the process. */
    private static final Duration END_MARGIN = Duration.ofMillis(700);

    private static final Duration DRAIN_POLL = Duration.ofMillis(50);
    private static final Duration CLOSE_TIME = Duration.ofMillis(200);
    private static final int READY_STATUS = 200;
    private static final int NOT_READY_STATUS = 503;

    private final GatewayFoundation foundation;
    private final Optional<GatewayControl> control;
    private final Optional<GatewayEntry> entry;
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();

    private GatewayProcess(GatewaySettings settings, OutsideProtocol protocol) throws Exception {
        foundation = new GatewayFoundation(settings, protocol);
        control = GatewayControl.start(foundation);
        entry = settings.callers().map(callers -> new GatewayEntry(foundation, metrics));
    }

    /**
     * Starts a VM.
     *
     * @param settings the settings
     * @param protocol names, formats and calls of the world outside
     * @return the running VM
     * @throws Exception if a part cannot start
     */
    public static GatewayProcess start(GatewaySettings settings, OutsideProtocol protocol) throws Exception {
        GatewayProcess process = new GatewayProcess(settings, protocol);
        process.listen();
        return process;
    }

    private void listen() throws Exception {
        GatewaySettings settings = foundation.settings();
        foundation.network().listen(settings.vm().host(), settings.vm().port());
        foundation.spread().start();
        await(foundation.membership().start().toCompletionStage());
        if (control.isPresent() && settings.control().isPresent()) {
            await(foundation
                    .protocol()
                    .serveControl(foundation.vertx(), settings.control().get(), control.get()));
        }
        if (settings.readiness().isPresent()) {
            await(onEventLoop(() -> serveReadiness(settings.readiness().get())));
        }
        if (entry.isPresent()) {
            await(onEventLoop(() -> entry.get().start(settings.callers().get())));
        }
        showState();
        if (settings.metrics().isPresent()) {
            await(onEventLoop(
                    () -> metrics.serve(foundation.vertx(), settings.metrics().get())));
        }
        LOGGER.info(
                "event=vm-started vm={} label={} zone={} control={} entry={} seeds={}",
                foundation.self(),
                settings.label(),
                settings.vm().zone(),
                control.isPresent(),
                entry.isPresent(),
                settings.seeds());
    }

    private void showState() {
        metrics.show("ready", () -> isReady() ? 1 : 0);
        metrics.show("log_lines_dropped", BoundedAppender::dropped);
        metrics.show(
                "known_servers",
                () -> foundation.membership().registry().current().size());
        entry.ifPresent(serving -> {
            metrics.show("requests_in_flight", serving::inFlight);
            metrics.show("publication_number", serving::publicationNumber);
            metrics.show("coordinator_known", () -> serving.hasCoordinator() ? 1 : 0);
            metrics.show("server_connections_opened", serving::openedConnections);
        });
        control.ifPresent(part -> {
            metrics.show("leads", () -> part.status().role() == Role.LEADER ? 1 : 0);
            metrics.show("term", () -> part.status().term());
            metrics.show("committed_entries", () -> part.status().commitIndex());
            metrics.show("voters", () -> part.status().members().voters().size());
        });
    }

    private CompletionStage<?> onEventLoop(Supplier<Future<?>> start) {
        CompletableFuture<Object> done = new CompletableFuture<>();
        foundation.context().runOnContext(nothing -> start.get().onComplete(result -> {
            if (result.succeeded()) {
                done.complete(result.result());
            } else {
                done.completeExceptionally(result.cause());
            }
        }));
        return done;
    }

    private static void await(CompletionStage<?> start) throws Exception {
        start.toCompletableFuture().get(START_TIME.toMillis(), TimeUnit.MILLISECONDS);
    }

    private Future<HttpServer> serveReadiness(Endpoint endpoint) {
        HttpServerOptions options =
                new HttpServerOptions().setHost(endpoint.host()).setPort(endpoint.port());
        return foundation
                .vertx()
                .createHttpServer(options)
                .requestHandler(request -> request.response()
                        .setStatusCode(isReady() ? READY_STATUS : NOT_READY_STATUS)
                        .end())
                .listen();
    }

    private boolean isReady() {
        return !stopping.get() && entry.map(GatewayEntry::isReady).orElse(true);
    }

    /**
     * Takes changed settings.
     *
     * @param changed the settings
     */
    public void reload(GatewaySettings changed) {
        boolean isChanged = !changed.equals(foundation.settings());
        LOGGER.info("event=settings-reloaded changed={} seeds={}", isChanged, changed.seeds());
        foundation.reload(changed);
    }

    /**
     * Shuts the VM down gracefully; a second call has no effect of its own.
     *
     * @return completes when the shutdown has ended
     */
    public CompletionStage<Void> shutDown() {
        if (!stopping.compareAndSet(false, true)) {
            return stopped;
        }
        LOGGER.info(
                "event=vm-stopping vm={} in_flight={}",
                foundation.self(),
                entry.map(GatewayEntry::inFlight).orElse(0));
        long nowNanos = foundation.clock().nanoTime();
        Duration grace = Duration.ofMillis(foundation.settings().bounds().graceMillis());
        Deadline noticed = Deadline.after(nowNanos, BALANCER_NOTICE);
        Deadline end = Deadline.after(nowNanos, grace.minus(END_MARGIN));
        foundation.eventLoop().execute(() -> {
            entry.ifPresent(GatewayEntry::beginClosing);
            drain(noticed, end);
        });
        return stopped;
    }

    private void drain(Deadline noticed, Deadline end) {
        long nowNanos = foundation.clock().nanoTime();
        if (noticed.hasPassed(nowNanos)) {
            entry.ifPresent(GatewayEntry::refuseFurther);
        }
        boolean isIdle = entry.map(GatewayEntry::inFlight).orElse(0) == 0;
        boolean isDone = entry.isEmpty() || noticed.hasPassed(nowNanos) && isIdle || end.hasPassed(nowNanos);
        if (!isDone) {
            foundation.timer().schedule(DRAIN_POLL, () -> drain(noticed, end));
            return;
        }
        entry.ifPresent(GatewayEntry::stopRest);
        // The last answers leave before their connections are closed.
        foundation.timer().schedule(DRAIN_POLL, () -> {
            entry.ifPresent(serving -> serving.close(CLOSE_TIME));
            new Thread(this::closeRest, "shutdown").start();
        });
    }

    private void closeRest() {
        control.ifPresent(GatewayControl::close);
        LOGGER.info(
                "event=vm-stopped vm={} cut={}",
                foundation.self(),
                entry.map(GatewayEntry::inFlight).orElse(0));
        stopped.complete(null);
    }

    /**
     * Returns the stage that completes when the shutdown has ended.
     *
     * @return the stage
     */
    public CompletionStage<Void> stopped() {
        return stopped;
    }
}
