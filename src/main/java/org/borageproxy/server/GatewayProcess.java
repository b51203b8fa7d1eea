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
import org.borageproxy.buffer.BufferAccount;
import org.borageproxy.log.consensus.Role;
import org.borageproxy.logging.BoundedAppender;
import org.borageproxy.settings.Endpoint;
import org.borageproxy.time.Deadline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One VM that communicates with callers, operators and backend servers over an external protocol. Thread safe; started
 * and shut down once.
 */
public final class GatewayProcess {

    private static final Logger LOGGER = LoggerFactory.getLogger(GatewayProcess.class);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
    /** Time until the load balancer sends no new connections: derived from two readiness checks of one second. */
    private static final Duration BALANCER_NOTICE_PERIOD = Duration.ofMillis(2600);
    /** A short grace period is divided by this for the notice period; the rest is left for the answers. */
    private static final int NOTICE_DIVISOR = 3;
    /** Part of the grace period after the drain deadline, for aborting requests and closing the durable state. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(700);
    /** A short grace period is divided by this for the exit margin; servers have the rest for their answers. */
    private static final int EXIT_MARGIN_DIVISOR = 8;

    private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(50);
    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(200);
    private static final int READY_STATUS = 200;
    private static final int NOT_READY_STATUS = 503;

    private final GatewayRuntime runtime;
    private final Optional<GatewayControl> control;
    private final Optional<GatewayEntry> entry;
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    /** Requests in flight when the shutdown period ended; written before the thread that reads it starts. */
    private int cutCount;
    /** Connections then whose callers had not taken all that was written to them. */
    private int unsentCount;

    private GatewayProcess(GatewaySettings settings, ExternalProtocol protocol) throws Exception {
        runtime = new GatewayRuntime(settings, protocol);
        control = GatewayControl.start(runtime);
        entry = settings.callerEndpoint()
                .map(callers -> new GatewayEntry(runtime, metrics, () -> control.flatMap(GatewayControl::leader)));
    }

    /**
     * Starts a VM. Blocks until all servers listen.
     *
     * @param settings the settings of the VM
     * @param protocol the protocol of callers, operators and backend servers
     * @return the running VM
     * @throws Exception if the durable state cannot be opened or a server cannot start
     */
    public static GatewayProcess start(GatewaySettings settings, ExternalProtocol protocol) throws Exception {
        GatewayProcess process = new GatewayProcess(settings, protocol);
        process.listen();
        return process;
    }

    private void listen() throws Exception {
        GatewaySettings settings = runtime.settings();
        runtime.network().listen(settings.vm().host(), settings.vm().port());
        runtime.spread().start();
        await(runtime.membership().start().toCompletionStage());
        if (control.isPresent() && settings.controlEndpoint().isPresent()) {
            await(runtime.protocol()
                    .startControlServer(
                            runtime.vertx(), settings.controlEndpoint().get(), control.get()));
        }
        if (settings.readinessEndpoint().isPresent()) {
            await(runOnEventLoop(
                    () -> serveReadiness(settings.readinessEndpoint().get())));
        }
        if (entry.isPresent()) {
            await(runOnEventLoop(
                    () -> entry.get().start(settings.callerEndpoint().get())));
        }
        registerGauges();
        if (settings.metricsEndpoint().isPresent()) {
            await(runOnEventLoop(() ->
                    metrics.serve(runtime.vertx(), settings.metricsEndpoint().get())));
        }
        LOGGER.info(
                "event=vm-started vm={} label={} zone={} control={} entry={} seeds={}",
                runtime.self(),
                settings.label(),
                settings.vm().zone(),
                control.isPresent(),
                entry.isPresent(),
                settings.seeds());
    }

    private void registerGauges() {
        metrics.registerGauge("ready", () -> isReady() ? 1 : 0);
        metrics.registerGauge("log_lines_dropped", BoundedAppender::droppedCount);
        metrics.registerGauge(
                "drained_zones", () -> runtime.spread().drainedZones().size());
        metrics.registerGauge("state_age_millis", runtime.spread()::ageMillis);
        metrics.registerGauge("state_requests_failed", runtime.spread()::failureCount);
        metrics.registerGauge("state_bytes_received", runtime.spread()::receivedBytes);
        metrics.registerGauge(
                "known_servers", () -> runtime.membership().registry().current().size());
        entry.ifPresent(entryRole -> {
            metrics.registerGauge("requests_in_flight", entryRole::inFlightCount);
            metrics.registerGauge("timer_delay_millis", entryRole::timerDelayMillis);
            metrics.registerGauge("withdrawn", () -> entryRole.isWithdrawn() ? 1 : 0);
            metrics.registerGauge("publication_number", entryRole::publicationNumber);
            metrics.registerGauge("coordinator_known", () -> entryRole.hasCoordinator() ? 1 : 0);
            metrics.registerGauge("server_connections_opened", entryRole::openedConnectionCount);
            metrics.registerGauge("answer_ends_confirmed", entryRole::confirmedEndCount);
            metrics.registerGauge("answer_ends_unconfirmed", entryRole::unconfirmedEndCount);
            registerBufferGauges(entryRole.buffers());
        });
        control.ifPresent(controlRole -> {
            metrics.registerGauge("leads", () -> controlRole.status().role() == Role.LEADER ? 1 : 0);
            metrics.registerGauge("slot_requests_waiting", controlRole.slotBroker()::waitingCount);
            metrics.registerGauge("slot_requests_put_back", controlRole.slotBroker()::putBackCount);
            metrics.registerGauge("slot_requests_refused", controlRole.slotBroker()::refusedCount);
            metrics.registerGauge("unserved_targets", controlRole.claims()::count);
            metrics.registerGauge("longest_unserved_millis", controlRole.claims()::oldestMillis);
            metrics.registerGauge("withdrawn_entries", controlRole::withdrawnEntryCount);
            metrics.registerGauge("uneven_servers", controlRole::unevenServerCount);
            metrics.registerGauge("term", () -> controlRole.status().term());
            metrics.registerGauge(
                    "committed_entries", () -> controlRole.status().commitIndex());
            metrics.registerGauge(
                    "voters", () -> controlRole.status().members().voters().size());
        });
    }

    private void registerBufferGauges(BufferAccount buffers) {
        metrics.registerGauge("buffer_held_bytes", buffers::heldBytes);
        metrics.registerGauge("buffer_peak_bytes", buffers::peakBytes);
        metrics.registerGauge("buffer_limit_bytes", () -> buffers.limits().totalBytes());
        metrics.registerGauge("buffer_refusals", buffers::refusalCount);
        metrics.registerGauge("buffer_waiting_bodies", buffers::waiterCount);
    }

    private CompletionStage<?> runOnEventLoop(Supplier<Future<?>> start) {
        CompletableFuture<Object> done = new CompletableFuture<>();
        runtime.context().runOnContext(nothing -> start.get().onComplete(result -> {
            if (result.succeeded()) {
                done.complete(result.result());
            } else {
                done.completeExceptionally(result.cause());
            }
        }));
        return done;
    }

    private static void await(CompletionStage<?> start) throws Exception {
        start.toCompletableFuture().get(START_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private Future<HttpServer> serveReadiness(Endpoint endpoint) {
        HttpServerOptions options =
                new HttpServerOptions().setHost(endpoint.host()).setPort(endpoint.port());
        return runtime.vertx()
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
     * Replaces the settings while the VM runs. Intended for changed seeds; most other settings are read only during the
     * start.
     *
     * @param newSettings the new settings
     */
    public void reload(GatewaySettings newSettings) {
        boolean isChanged = !newSettings.equals(runtime.settings());
        LOGGER.info("event=settings-reloaded changed={} seeds={}", isChanged, newSettings.seeds());
        runtime.replaceSettings(newSettings);
    }

    /**
     * Shuts the VM down: reports it as not ready, drains requests in flight within the grace period and closes the
     * durable state. Does not block. Further calls have no effect.
     *
     * @return completes when the shutdown has ended
     */
    public CompletionStage<Void> shutDown() {
        if (!stopping.compareAndSet(false, true)) {
            return stopped;
        }
        LOGGER.info(
                "event=vm-stopping vm={} in_flight={}",
                runtime.self(),
                entry.map(GatewayEntry::inFlightCount).orElse(0));
        long nowNanos = runtime.clock().nanoTime();
        Duration gracePeriod = Duration.ofMillis(runtime.settings().bounds().gracePeriodMillis());
        Duration noticePeriod = shorter(BALANCER_NOTICE_PERIOD, gracePeriod.dividedBy(NOTICE_DIVISOR));
        Duration exitMargin = shorter(EXIT_MARGIN, gracePeriod.dividedBy(EXIT_MARGIN_DIVISOR));
        Deadline noticeEnd = Deadline.after(nowNanos, noticePeriod);
        Deadline drainDeadline = Deadline.after(nowNanos, gracePeriod.minus(exitMargin));
        runtime.eventLoop().execute(() -> {
            entry.ifPresent(entryRole -> entryRole.beginStop(drainDeadline));
            drain(noticeEnd, drainDeadline);
        });
        return stopped;
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }

    private void drain(Deadline noticeEnd, Deadline drainDeadline) {
        long nowNanos = runtime.clock().nanoTime();
        if (noticeEnd.hasPassed(nowNanos)) {
            entry.ifPresent(GatewayEntry::refuseNewRequests);
        }
        boolean isIdle = entry.map(GatewayEntry::inFlightCount).orElse(0) == 0
                && entry.map(GatewayEntry::unsentConnectionCount).orElse(0) == 0;
        boolean isDone =
                entry.isEmpty() || noticeEnd.hasPassed(nowNanos) && isIdle || drainDeadline.hasPassed(nowNanos);
        if (!isDone) {
            runtime.timer().schedule(DRAIN_POLL_INTERVAL, () -> drain(noticeEnd, drainDeadline));
            return;
        }
        cutCount = entry.map(GatewayEntry::inFlightCount).orElse(0);
        unsentCount = entry.map(GatewayEntry::unsentConnectionCount).orElse(0);
        entry.ifPresent(GatewayEntry::abortInFlight);
        // Gives the last answers time to be written before their connections are closed.
        runtime.timer().schedule(DRAIN_POLL_INTERVAL, () -> {
            entry.ifPresent(entryRole -> entryRole.close(CLOSE_TIMEOUT));
            new Thread(this::closeRemaining, "shutdown").start();
        });
    }

    private void closeRemaining() {
        control.ifPresent(GatewayControl::close);
        LOGGER.info("event=vm-stopped vm={} cut={} unsent={}", runtime.self(), cutCount, unsentCount);
        stopped.complete(null);
    }

    /**
     * Returns a stage that completes when a shutdown has ended.
     *
     * @return the same stage for each call
     */
    public CompletionStage<Void> stopped() {
        return stopped;
    }
}
