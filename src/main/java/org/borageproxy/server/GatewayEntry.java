package org.borageproxy.server;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import org.borageproxy.control.ControlClient;
import org.borageproxy.coordination.CoordinationClient;
import org.borageproxy.coordination.ModelInventory;
import org.borageproxy.execution.CrashProbe;
import org.borageproxy.execution.RetryBudget;
import org.borageproxy.forward.ForwardContext;
import org.borageproxy.forward.ForwardMetrics;
import org.borageproxy.forward.ForwardServer;
import org.borageproxy.forward.ServerConnectionPool;
import org.borageproxy.forward.ServerPool;
import org.borageproxy.forward.SlotClient;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.publication.Publication;
import org.borageproxy.publication.PublishedWorkspace;
import org.borageproxy.publication.ServedPublication;
import org.borageproxy.quota.RateShares;
import org.borageproxy.settings.Endpoint;
import org.borageproxy.wire.proto.ControlProtocol.DocumentState;
import org.borageproxy.wire.proto.CoordinationProtocol.CoordinationUpdate;
import org.borageproxy.wire.proto.CoordinationProtocol.ModelPace;
import org.borageproxy.wire.proto.CoordinationProtocol.UsageReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A gateway VM's part in serving callers. All state belongs to the foundation's event loop. */
final class GatewayEntry {

    private static final Logger LOGGER = LoggerFactory.getLogger(GatewayEntry.class);
    /** The part of the fleet's retries that entries divide; the rest covers entries that are not counted yet. */
    private static final double DIVIDED_SLACK = 0.6;
    /** The part of the allowed share of retries that is used; the rest covers windows cut unluckily. */
    private static final double USED_SHARE = 0.75;
    /** The time between two looks for servers that are gone. */
    private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(5);
    /** The number of entries that is supposed before the coordinator tells it. */
    private static final int SUPPOSED_ENTRIES = 16;

    private final GatewayFoundation foundation;
    private final ServerPool pool;
    private final RateShares rates;
    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private final CoordinationClient coordination;
    private final SlotClient slots;
    private final ServerConnectionPool connections;
    private final ForwardServer server;
    private final String session = UUID.randomUUID().toString();
    private Optional<ServedPublication> served = Optional.empty();
    private int entries = SUPPOSED_ENTRIES;
    private long contentsVersion;

    GatewayEntry(GatewayFoundation foundation, ForwardMetrics metrics) {
        this.foundation = foundation;
        Random random = new Random();
        pool = new ServerPool(
                foundation.membership().registry(),
                foundation.clock(),
                foundation.settings().vm().zone(),
                random);
        coordination = new CoordinationClient(
                foundation.network(),
                foundation::controlVms,
                foundation.clock(),
                foundation.timer(),
                foundation.eventLoop(),
                this::report,
                this::take);
        pool.onGone(foundation::serverGone);
        pool.onUrgentDemand(coordination::requestUrgentReport);
        pool.onLoadChange(coordination::requestUrgentReport);
        rates = new RateShares(foundation.clock().nanoTime());
        rates.onShortage(coordination::requestUrgentReport);
        ControlClient client = new ControlClient(
                foundation.self(),
                foundation.network(),
                foundation::controlVms,
                foundation.clock(),
                foundation.timer());
        slots = new SlotClient(
                foundation.network(),
                coordination::coordinator,
                foundation.settings().vm().zone(),
                foundation.clock(),
                foundation.eventLoop());
        connections = new ServerConnectionPool(foundation.eventLoop(), foundation.clock());
        ForwardContext parts = new ForwardContext(
                foundation.eventLoop(),
                foundation.clock(),
                foundation.protocol().callers(),
                pool,
                slots,
                connections,
                rates,
                this::budget,
                new CrashReports(foundation, client, CrashProbe.overTcp(foundation.vertx())),
                metrics);
        server = new ForwardServer(foundation.vertx(), parts, () -> served, random);
        foundation.spread().subscribeDocument(document -> foundation.eventLoop().execute(() -> take(document)));
    }

    private void take(DocumentState document) {
        boolean isNewer = served.map(known -> known.publication().number() < document.getNumber())
                .orElse(true);
        if (!isNewer) {
            return;
        }
        try {
            Publication publication =
                    foundation.protocol().publication(document.getContent().toByteArray());
            served = Optional.of(new ServedPublication(publication));
            LOGGER.info(
                    "event=publication-served number={} routes={} workspaces={}",
                    publication.number(),
                    publication.routes().size(),
                    publication.workspaces().size());
        } catch (IllegalArgumentException exception) {
            LOGGER.error("event=publication-unreadable number={}", document.getNumber(), exception);
        }
    }

    private RetryBudget budget(String service) {
        return budgets.computeIfAbsent(
                service,
                name -> new RetryBudget(foundation.settings().bounds().retryShare() * USED_SHARE, retrySlack()));
    }

    private double retrySlack() {
        return foundation.settings().bounds().retrySlack() * DIVIDED_SLACK / entries;
    }

    private UsageReport report() {
        return UsageReport.newBuilder()
                .setSession(session)
                .addAllServers(pool.drainUsage())
                .addAllWorkspaces(rates.collectUsage(foundation.clock().nanoTime()))
                .addAllDemands(pool.drainDemand())
                .setLastSlot(slots.lastSlot())
                .setContentsVersion(contentsVersion)
                .addAllPaces(paces())
                .build();
    }

    private List<ModelPace> paces() {
        List<ModelPace> paces = new ArrayList<>();
        pool.modelLatencyRatios()
                .forEach((model, pace) -> paces.add(
                        ModelPace.newBuilder().setModel(model).setPace(pace).build()));
        return paces;
    }

    private void take(CoordinationUpdate update, long askedAtNanos) {
        if (update.getEntries() > 0 && update.getEntries() != entries) {
            entries = update.getEntries();
            budgets.values().forEach(budget -> budget.setMaximum(retrySlack()));
        }
        if (update.getEntries() > 0) {
            pool.updateOtherVmUsage(update.getServersList());
            Map<String, PublishedWorkspace> workspaces =
                    served.map(known -> known.publication().workspaces()).orElse(Map.of());
            rates.applyShares(workspaces, update.getSharesList(), askedAtNanos);
        }
        if (update.getContentsVersion() != 0) {
            contentsVersion = update.getContentsVersion();
        }
        Map<BackendServerName, ModelInventory> contents = new HashMap<>();
        update.getContentsList()
                .forEach(content ->
                        contents.put(new BackendServerName(content.getName()), ModelInventory.decode(content)));
        pool.updateInventories(contents);
    }

    /**
     * Begins to serve; called on the event loop.
     *
     * @param callers where callers connect
     * @return completes when connections are taken
     */
    Future<?> start(Endpoint callers) {
        coordination.start();
        foundation.timer().schedule(SWEEP_INTERVAL, this::sweep);
        return server.listen(callers);
    }

    private void sweep() {
        pool.removeUnknownServers();
        connections.closeObsolete(pool::isKnown);
        foundation.timer().schedule(SWEEP_INTERVAL, this::sweep);
    }

    /**
     * Tells whether callers can be served.
     *
     * @return {@code true} once a publication is known
     */
    boolean isReady() {
        return served.isPresent() && foundation.membership().isSynchronised();
    }

    long publicationNumber() {
        return served.map(known -> known.publication().number()).orElse(0L);
    }

    boolean hasCoordinator() {
        return coordination.coordinator().isPresent();
    }

    long openedConnections() {
        return connections.openedCount();
    }

    int inFlight() {
        return server.inFlight();
    }

    /** Asks callers to leave with their next answer. */
    void beginClosing() {
        server.disableKeepAlive();
    }

    /** Refuses further requests as not run. */
    void refuseFurther() {
        server.refuseNewRequests();
    }

    /** Ends what is in flight with an answer. */
    void stopRest() {
        server.abortInFlight();
    }

    /**
     * Stops listening.
     *
     * @param limit how long connections may take to close
     * @return completes when they are closed
     */
    Future<?> close(Duration limit) {
        coordination.stop();
        return server.close().timeout(limit.toMillis(), TimeUnit.MILLISECONDS);
    }
}
