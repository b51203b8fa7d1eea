package org.borageproxy.server;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.util.internal.PlatformDependent;
import io.vertx.core.Future;
import org.borageproxy.buffer.BufferAccount;
import org.borageproxy.buffer.BufferLimits;
import org.borageproxy.control.ControlClient;
import org.borageproxy.control.ControlGroupCrashRegistry;
import org.borageproxy.control.RepeatedTask;
import org.borageproxy.coordination.CoordinationClient;
import org.borageproxy.coordination.EntrySpeeds;
import org.borageproxy.coordination.InventoryProgress;
import org.borageproxy.coordination.ModelInventory;
import org.borageproxy.execution.CrashProbe;
import org.borageproxy.execution.RetryBudgets;
import org.borageproxy.forward.ForwardContext;
import org.borageproxy.forward.ForwardMetrics;
import org.borageproxy.forward.ForwardServer;
import org.borageproxy.forward.RefusalNotices;
import org.borageproxy.forward.ServerConnectionPool;
import org.borageproxy.forward.ServerLinks;
import org.borageproxy.forward.ServerPool;
import org.borageproxy.forward.ServerRelay;
import org.borageproxy.forward.SlotClient;
import org.borageproxy.forward.StreamOriginClient;
import org.borageproxy.forward.StreamOrigins;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.publication.Publication;
import org.borageproxy.publication.PublishedWorkspace;
import org.borageproxy.publication.ServedPublication;
import org.borageproxy.quarantine.CrashReports;
import org.borageproxy.quota.RateShares;
import org.borageproxy.saturation.EntrySaturation;
import org.borageproxy.settings.Endpoint;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmName;
import org.borageproxy.warmup.WarmUpRules;
import org.borageproxy.wire.proto.CoordinationProtocol.CoordinationUpdate;
import org.borageproxy.wire.proto.CoordinationProtocol.ModelPace;
import org.borageproxy.wire.proto.CoordinationProtocol.UsageReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Entry role of a gateway VM, which serves callers. All state is confined to the event loop of the runtime. */
final class GatewayEntry {

    private static final Logger LOGGER = LoggerFactory.getLogger(GatewayEntry.class);
    /**
     * Fraction of a server's request limit that the entries without coordinator share; the coordinator may still grant
     * the whole limit to the others.
     */
    private static final double LOCAL_LIMIT_FRACTION = 0.3;

    private static final Duration CLEANUP_INTERVAL = Duration.ofSeconds(5);

    private final GatewayRuntime runtime;
    private final ServerPool pool;
    private final EntrySpeeds speeds;
    private final EntrySaturation saturation;
    private final RateShares rateShares;
    private final RetryBudgets retryBudgets;
    private final CoordinationClient coordination;
    private final SlotClient slotClient;
    private final StreamOrigins streamOrigins;
    private final ServerConnectionPool connectionPool;
    private final ServerRelay relay;
    private final RefusalNotices refusalNotices;
    private final PublicationReader publicationReader;
    private final ForwardServer server;
    private final BufferAccount buffers;
    private final CrashReports crashReports;
    private final String session = UUID.randomUUID().toString();
    private Optional<ServedPublication> servedPublication = Optional.empty();
    /** Time at which the document to be read arrived at this VM. */
    private long documentArrivedAtNanos;

    private int entryCount = RetryBudgets.ASSUMED_ENTRY_COUNT;
    private InventoryProgress inventoryProgress = InventoryProgress.NONE;
    /** Other entries through which the servers can be reached. */
    private List<VmName> relays = List.of();

    private boolean isStopping;
    private long limitsVersion;

    /**
     * Creates an entry.
     *
     * @param runtime the shared resources of the VM
     * @param metrics counts requests
     * @param memberView supplies the leader that this VM's member of the control group follows, if it has one
     */
    GatewayEntry(GatewayRuntime runtime, ForwardMetrics metrics, Supplier<Optional<VmName>> memberView) {
        this.runtime = runtime;
        retryBudgets = createRetryBudgets();
        Random random = new Random();
        pool = createPool(random);
        speeds = new EntrySpeeds(runtime.clock());
        pool.setSpeeds(speeds);
        saturation = new EntrySaturation(runtime.clock());
        coordination = new CoordinationClient(
                runtime.network(),
                runtime::controlVms,
                runtime.clock(),
                saturation.measuring(runtime.timer()),
                runtime.eventLoop(),
                this::createUsageReport,
                this::applyUpdate);
        streamOrigins = new StreamOrigins(runtime.clock());
        pool.onUrgentDemand(coordination::requestUrgentReport);
        pool.statements().onChange(coordination::requestUrgentReport);
        pool.onLoadChange(coordination::requestUrgentReport);
        rateShares = new RateShares(runtime.clock().nanoTime(), random, this::registeredEntryCount);
        rateShares.onShortage(coordination::requestUrgentReport);
        coordination.onUnanswered(
                () -> rateShares.recordUnanswered(runtime.clock().nanoTime()));
        ControlClient client = new ControlClient(
                runtime.self(), runtime.network(), runtime::controlVms, runtime.clock(), runtime.timer(), memberView);
        slotClient = createSlotClient();
        ServerLinks links = createLinks();
        relay = createRelay(links);
        refusalNotices = exchangeNotices(links);
        links.refusals().onEnd(pool::retryQueued);
        connectionPool = new ServerConnectionPool(links, runtime.clock());
        buffers = createBuffers();
        crashReports = createCrashReports(client, links, random);
        ForwardContext context = new ForwardContext(
                runtime.eventLoop(),
                runtime.clock(),
                runtime.protocol().callerProtocol(),
                pool,
                slotClient,
                new StreamOriginClient(
                        streamOrigins,
                        runtime.network(),
                        coordination::coordinator,
                        runtime.clock(),
                        runtime.eventLoop()),
                connectionPool,
                rateShares,
                retryBudgets::of,
                crashReports,
                buffers,
                metrics);
        publicationReader = new PublicationReader(runtime.protocol()::parsePublication, runtime.timer(), this::serve);
        server = createServer(context, random);
        subscribe();
    }

    private ForwardServer createServer(ForwardContext context, Random random) {
        return new ForwardServer(
                runtime.vertx(),
                context,
                () -> servedPublication,
                this::isPublicationCurrent,
                this::isPublicationOverdue,
                random);
    }

    private void subscribe() {
        runtime.spread().subscribeDrainedZones(zones -> runtime.eventLoop().execute(() -> applyDrains(zones)));
        runtime.spread().subscribeSuspectParts(parts -> runtime.eventLoop().execute(() -> crashReports.vouch(parts)));
        runtime.spread().subscribeDocument(document -> {
            long arrivedAtNanos = runtime.clock().nanoTime();
            runtime.eventLoop().execute(() -> {
                documentArrivedAtNanos = arrivedAtNanos;
                publicationReader.read(document);
            });
        });
    }

    private CrashReports createCrashReports(ControlClient client, ServerLinks links, Random random) {
        return new CrashReports(new CrashReports.Environment(
                new ControlGroupCrashRegistry(
                        client, fingerprint -> runtime.spread().suspicions().of(fingerprint)),
                fingerprint -> runtime.spread().suspicions().versionOf(fingerprint),
                CrashProbe.confirmed(CrashProbe.overTcp(runtime.vertx()), links::isRefusedElsewhere),
                pool::mayHaveLackedMemory,
                runtime.clock(),
                runtime.timer(),
                random));
    }

    private BufferAccount createBuffers() {
        BufferLimits limits = BufferLimits.of(Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory());
        LOGGER.info(
                "event=buffer-limits total_bytes={} workspace_bytes={} caller_bytes={} server_bytes={} spool_bytes={}",
                limits.totalBytes(),
                limits.workspaceBytes(),
                limits.callerBytes(),
                limits.serverBytes(),
                limits.spoolBytes());
        return new BufferAccount(limits, runtime.clock());
    }

    private ServerPool createPool(Random random) {
        ServerPool created = new ServerPool(
                runtime.membership().registry(),
                runtime.clock(),
                runtime.settings().vm().zone(),
                random,
                () -> LOCAL_LIMIT_FRACTION / entryCount);
        created.onGone(runtime::suspectServer);
        created.availability().restrict(runtime.zoneRules());
        created.availability().restrictRelays(this::mayPass);
        created.statements()
                .limitColdServers(
                        service -> servedPublication
                                .map(current -> current.publication().warmUp(service))
                                .orElse(WarmUpRules.NONE),
                        runtime.settings().bounds().warmUpShares().entriesFactor(),
                        () -> 1.0 / Math.max(entryCount, registeredEntryCount()),
                        System::currentTimeMillis);
        return created;
    }

    /**
     * Returns whether the body of a request may be sent to a VM; a VM of an unknown zone gets none with a restriction.
     */
    private boolean mayPass(VmName relay, Set<String> allowedRegions) {
        return allowedRegions.isEmpty()
                || runtime.spread().vms().stream()
                        .anyMatch(vm ->
                                vm.name().equals(relay) && runtime.zoneRules().isAllowed(vm.zone(), allowedRegions));
    }

    /** Prefers VMs of this region, through which restricted requests can usually be sent. */
    private List<VmName> preferOwnRegion(List<VmName> offered) {
        List<VmName> own = offered.stream()
                .filter(relay -> mayPass(
                        relay,
                        runtime.zoneRules().regionOf(runtime.settings().vm().zone())))
                .toList();
        return own.isEmpty() ? offered : own;
    }

    /** Entries that do not report to the coordinator now may be cut off and send nevertheless. */
    private int registeredEntryCount() {
        return runtime.spread().registeredDataPlaneVms().size();
    }

    private SlotClient createSlotClient() {
        return new SlotClient(
                runtime.network(),
                coordination::coordinator,
                runtime.settings().vm().zone(),
                runtime.clock(),
                runtime.eventLoop());
    }

    private ServerRelay createRelay(ServerLinks links) {
        ServerRelay created = new ServerRelay(runtime.membership().registry(), links, () -> isStopping);
        created.restrict(runtime.zoneRules());
        runtime.network().acceptStreams(created);
        return created;
    }

    private RefusalNotices exchangeNotices(ServerLinks links) {
        return RefusalNotices.exchange(
                runtime.network(),
                links.refusals(),
                relay,
                leaving -> runtime.membership().leave(leaving.name(), leaving.incarnation()),
                runtime.eventLoop());
    }

    private RetryBudgets createRetryBudgets() {
        GatewaySettings.FleetBounds bounds = runtime.settings().bounds();
        return new RetryBudgets(bounds.retryRatio(), bounds.retryBurst());
    }

    private ServerLinks createLinks() {
        ServerLinks.Environment environment = new ServerLinks.Environment(
                runtime.network(), () -> relays, runtime.membership().registry());
        return new ServerLinks(runtime.eventLoop(), runtime.clock(), environment);
    }

    private void applyDrains(Set<AvailabilityZone> zones) {
        LOGGER.info("event=zone-drains-obeyed zones={}", zones);
        pool.retryQueued();
    }

    private void serve(Publication publication) {
        servedPublication = Optional.of(new ServedPublication(publication));
        LOGGER.info(
                "event=publication-served vm={} number={} routes={} workspaces={} read_ms={}",
                runtime.self(),
                publication.number(),
                publication.routes().size(),
                publication.workspaces().size(),
                TimeUnit.NANOSECONDS.toMillis(runtime.clock().nanoTime() - documentArrivedAtNanos));
    }

    /**
     * Returns whether each publication that was acknowledged longer ago than entries may take to obey it is in force
     * here.
     */
    private boolean isPublicationCurrent() {
        return publicationReader.isCurrent() && isStateConfirmedInTime();
    }

    /**
     * Returns whether a newer publication is known and entries may take no longer to obey it. An entry that is cut off
     * from the control group knows of none and goes on.
     */
    private boolean isPublicationOverdue() {
        return runtime.spread().isDocumentMissing() && !isStateConfirmedInTime();
    }

    private boolean isStateConfirmedInTime() {
        long applyNanos =
                TimeUnit.MILLISECONDS.toNanos(runtime.settings().bounds().publicationDelayMillis());
        return runtime.spread().isConfirmedAfter(runtime.clock().nanoTime() - applyNanos);
    }

    private UsageReport createUsageReport() {
        UsageReport.Builder report = UsageReport.newBuilder()
                .setSession(session)
                .addAllServers(pool.drainUsage())
                .addAllWorkspaces(rateShares.collectUsage(runtime.clock().nanoTime()))
                .addAllDemands(pool.demand().drain())
                .setLastSlot(slotClient.lastSlot())
                .addAllPaces(latencyRatios())
                .addAllBegunStreams(streamOrigins.collectUnreported())
                .addAllStatedLimits(pool.statements().collectUnreported())
                .setLimitsVersion(limitsVersion)
                .setRelays(relay.isAvailable());
        inventoryProgress.addTo(report);
        speeds.addTo(report);
        report.setSaturated(saturation.sample(server.connectionCount(), server.unsentConnectionCount()));
        return report.build();
    }

    private List<ModelPace> latencyRatios() {
        List<ModelPace> ratios = new ArrayList<>();
        pool.modelLatencyRatios()
                .forEach((model, pace) -> ratios.add(
                        ModelPace.newBuilder().setModel(model).setPace(pace).build()));
        return ratios;
    }

    private void applyUpdate(CoordinationUpdate update, long reportedAtNanos) {
        if (update.getEntries() > 0) {
            entryCount = update.getEntries();
            retryBudgets.setEntryCount(entryCount);
            streamOrigins.confirmReport(update.getTerm());
            pool.statements().confirmReport(update.getTerm());
            limitsVersion = update.getLimitsVersion();
            speeds.apply(update);
            saturation.apply(update.getWithdraws(), reportedAtNanos);
            pool.statements().merge(update.getStatedLimitsList());
            pool.updateOtherVmUsage(update.getServersList(), update.getAllServers());
            if (update.getAllServers()) {
                relays = preferOwnRegion(
                        update.getRelaysList().stream().map(VmName::new).toList());
            }
            Map<String, PublishedWorkspace> workspaces = servedPublication
                    .map(current -> current.publication().workspaces())
                    .orElse(Map.of());
            rateShares.applyShares(workspaces, update.getSharesList(), reportedAtNanos);
        }
        inventoryProgress = inventoryProgress.advance(update);
        if (inventoryProgress.isPartial()) {
            coordination.requestUrgentReport();
        }
        Map<BackendServerName, ModelInventory> inventories = new HashMap<>();
        update.getContentsList()
                .forEach(content ->
                        inventories.put(new BackendServerName(content.getName()), ModelInventory.decode(content)));
        pool.updateInventories(inventories);
    }

    /**
     * Starts to serve callers. Must be called on the event loop.
     *
     * @param callers the address to listen on
     * @return completes when the server listens; fails if the port cannot be opened
     */
    Future<?> start(Endpoint callers) {
        coordination.start();
        RepeatedTask.start("cleanup", runtime.timer(), CLEANUP_INTERVAL, CLEANUP_INTERVAL, this::removeObsoleteState);
        return server.listen(callers);
    }

    private boolean removeObsoleteState() {
        pool.removeUnknownServers();
        speeds.removeUnknownServers(runtime.membership().registry());
        connectionPool.closeObsolete(pool::isKnown);
        connectionPool.links().refusals().removeUnknownServers();
        return true;
    }

    /**
     * Returns whether the load balancer should send callers.
     *
     * @return {@code true} if a publication is in force, the registry of backend servers is synchronized and the VM is
     *     not withdrawn because of saturation
     */
    boolean isReady() {
        return !saturation.isWithdrawn()
                && servedPublication.isPresent()
                && runtime.membership().isSynchronized();
    }

    long publicationNumber() {
        return servedPublication.map(current -> current.publication().number()).orElse(0L);
    }

    double timerDelayMillis() {
        return saturation.timerDelayMillis();
    }

    boolean isWithdrawn() {
        return saturation.isWithdrawn();
    }

    boolean hasCoordinator() {
        return coordination.coordinator().isPresent();
    }

    long openedConnectionCount() {
        return connectionPool.openedCount();
    }

    long confirmedEndCount() {
        return connectionPool.confirmedEndCount();
    }

    long unconfirmedEndCount() {
        return connectionPool.unconfirmedEndCount();
    }

    BufferAccount buffers() {
        return buffers;
    }

    int inFlightCount() {
        return server.inFlight() + relay.openCount();
    }

    /** Returns the number of connections whose callers have not taken all that was written to them. */
    int unsentConnectionCount() {
        return server.unsentConnectionCount();
    }

    /**
     * Closes each connection after its next answer and connects no other VMs, since this one stops; those that are
     * connected are told to send nothing more through it.
     *
     * @param answersEnd when requests in flight are aborted
     */
    void beginStop(Deadline answersEnd) {
        isStopping = true;
        refusalNotices.tellStopping(answersEnd);
        server.beginStop(answersEnd);
    }

    /** Refuses new requests, and those that no server can have started, as not run. */
    void refuseNewRequests() {
        server.refuseNewRequests();
    }

    /** Aborts answers that have begun and refuses all other requests in flight. */
    void abortInFlight() {
        server.abortInFlight();
    }

    /**
     * Stops listening and closes the connections.
     *
     * @param timeout the maximum time for closing the connections
     * @return completes when they are closed; fails after the timeout
     */
    Future<?> close(Duration timeout) {
        coordination.stop();
        return server.close().timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }
}
