package org.borageproxy.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.borageproxy.claim.Claims;
import org.borageproxy.claim.Target;
import org.borageproxy.control.AdmissionPolicy;
import org.borageproxy.control.AdmissionService;
import org.borageproxy.control.ControlClient;
import org.borageproxy.control.ControlService;
import org.borageproxy.control.ControlState;
import org.borageproxy.control.RepeatedTask;
import org.borageproxy.control.Submission;
import org.borageproxy.coordination.Coordinator;
import org.borageproxy.coordination.LeadershipNotices;
import org.borageproxy.coordination.ModelInventory;
import org.borageproxy.coordination.SpeedCoordinator;
import org.borageproxy.drain.ZoneRules;
import org.borageproxy.forward.ServerPool;
import org.borageproxy.forward.ServerRefusals;
import org.borageproxy.forward.SlotBroker;
import org.borageproxy.forward.StreamOrigins;
import org.borageproxy.log.GroupMember;
import org.borageproxy.log.MemberContext;
import org.borageproxy.log.MemberStatus;
import org.borageproxy.log.consensus.LogSettings;
import org.borageproxy.log.storage.DiskStorage;
import org.borageproxy.membership.Announcement;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.placement.CallPermits;
import org.borageproxy.placement.EngineClient;
import org.borageproxy.placement.FleetPlacement;
import org.borageproxy.publication.Publication;
import org.borageproxy.publication.PublishedWorkspace;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.routing.ServerStatement;
import org.borageproxy.spread.StateReader;
import org.borageproxy.spread.WatchService;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;
import org.borageproxy.warmup.WarmUpRules;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.PublishDocument;
import org.borageproxy.wire.proto.ControlProtocol.RemoveVm;
import org.borageproxy.wire.proto.CoordinationProtocol.CoordinationUpdate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Control role of a gateway VM: a member of the control group with its services, and the handler of the calls of
 * operators and backend servers. Thread safe.
 */
final class GatewayControl implements ControlPlane, AutoCloseable {

    private static final Logger LOGGER = LoggerFactory.getLogger(GatewayControl.class);
    /** The same in every fleet, which has exactly one control group. */
    private static final String GROUP_IDENTITY = "fleet";
    /** Longer than operators wait for the outcome of a publication, which is one second. */
    private static final Duration PUBLISH_TIMEOUT = Duration.ofMillis(1800);

    private static final Duration READ_TIMEOUT = Duration.ofMillis(700);

    /** Delay of a notice to all entries, so that many changes cost one message to each. */
    private static final Duration NOTICE_DELAY = Duration.ofMillis(250);

    /** Longest usual time from a call to an engine to its answer. */
    private static final Duration CALL_TIME = Duration.ofMillis(100);

    private static final Duration CLEANUP_INTERVAL = Duration.ofSeconds(5);

    private static final LogSettings LOG_SETTINGS = LogSettings.STANDARD;

    private final GatewayRuntime runtime;
    private final ControlState state = new ControlState();
    private final GroupMember member;
    private final ControlClient client;
    private final AdmissionService admission;
    private final FleetPlacement placement;
    private final SpeedCoordinator speeds;
    /** The servers with the load of all entries; used by the broker and the placement. */
    private final ServerPool pool;

    /** Refusals of the calls of this VM to engines, which say nothing about the entries. */
    private final ServerRefusals refusals;

    private final SlotBroker slotBroker;
    private final Coordinator coordinator;
    private final LeadershipNotices leadershipNotices;
    private final StreamOrigins streamOrigins;
    /** Changes that the entries have not been told yet; confined to the event loop. */
    private final Map<String, ModelInventory> changedInventories = new LinkedHashMap<>();

    private final ZoneOrders zoneOrders;

    private final PublicationReader publicationReader;

    private volatile Optional<Publication> publication = Optional.empty();

    private GatewayControl(GatewayRuntime runtime, Path folder) throws IOException {
        this.runtime = runtime;
        initializeStorage(folder);
        MemberContext context = new MemberContext(
                runtime.network(), state, runtime.clock(), System::currentTimeMillis, runtime.timeLine());
        member = GroupMember.open(folder, LOG_SETTINGS, context);
        client = new ControlClient(
                runtime.self(),
                runtime.network(),
                runtime::controlVms,
                runtime.clock(),
                runtime.timer(),
                member::leader);
        publicationReader = new PublicationReader(
                runtime.protocol()::parsePublication, runtime.timer(), newest -> publication = Optional.of(newest));
        speeds = new SpeedCoordinator(runtime.membership().registry(), runtime.clock());
        pool = createServerPool();
        refusals = new ServerRefusals(
                runtime.clock(), runtime.timer(), runtime.membership().registry(), () -> List.of(Optional.empty()));
        placement = createPlacement();
        placement.setSpeeds(speeds::lastingSpeedOf);
        streamOrigins = new StreamOrigins(runtime.clock(), new StreamArchive(state, client, runtime.timer()));
        slotBroker = createSlotBroker();
        StateReader reader = new StateReader(runtime.network(), runtime::controlVms, runtime.clock());
        zoneOrders = new ZoneOrders(new ZoneOrders.Environment(
                () -> runtime.settings().zones().keySet(), member, state, client, reader::readServed));
        coordinator = createCoordinator();
        leadershipNotices = new LeadershipNotices(
                member::isLeader, () -> member.status().term(), this::announceCoordinator, runtime.timer());
        admission = new AdmissionService(
                member,
                new AdmissionPolicy(
                        runtime.settings().bounds().targetVoterCount(),
                        Duration.ofMillis(runtime.settings().bounds().catchUpMillis())),
                runtime.network(),
                runtime::controlVms,
                runtime.clock(),
                runtime.timer());
        admission.onRemoved(this::endRegistration);
    }

    /** Ends the registration of a control VM that is gone, so that no VM asks it any more; one that lives registers. */
    private void endRegistration(VmName vm) {
        Command.Builder command =
                Command.newBuilder().setRemoveVm(RemoveVm.newBuilder().setName(vm.value()));
        client.submit(command, Deadline.after(runtime.clock().nanoTime(), PUBLISH_TIMEOUT))
                .thenAccept(submission -> LOGGER.info(
                        "event=control-vm-unregistered vm={} outcome={}",
                        vm,
                        submission.getClass().getSimpleName()));
    }

    /**
     * Opens the durable state, or creates it on an empty disk, and starts the member and its services.
     *
     * @param runtime the shared resources of the VM
     * @return the role, or empty on a VM without a data folder
     * @throws IOException if the durable state cannot be opened or created
     */
    static Optional<GatewayControl> start(GatewayRuntime runtime) throws IOException {
        Optional<Path> folder = runtime.settings().dataFolder();
        if (folder.isEmpty()) {
            return Optional.empty();
        }
        GatewayControl control = new GatewayControl(runtime, folder.get());
        control.startServices();
        return Optional.of(control);
    }

    /**
     * Creates the durable state if the disk has none. Only a seed of a fleet that starts for the first time bootstraps
     * the group; any other VM applies for admission, since an empty disk may be one that has lost its data.
     */
    private void initializeStorage(Path folder) throws IOException {
        if (DiskStorage.hasMember(folder)) {
            LOGGER.info("event=disk-opened folder={}", folder);
            return;
        }
        GatewaySettings settings = runtime.settings();
        Files.createDirectories(folder);
        boolean isFounder = settings.isFirstStart() && settings.seeds().contains(runtime.self());
        if (isFounder) {
            GroupMember.bootstrap(folder, GROUP_IDENTITY, runtime.self(), settings.seeds());
        } else {
            GroupMember.join(folder, GROUP_IDENTITY, runtime.self());
        }
        LOGGER.info(
                "event=disk-created folder={} founder={} first_start={} seeds={}",
                folder,
                isFounder,
                settings.isFirstStart(),
                settings.seeds());
    }

    private FleetPlacement createPlacement() {
        GatewaySettings settings = runtime.settings();
        return new FleetPlacement(new FleetPlacement.Environment(
                member::isLeader,
                () -> member.status().term(),
                settings.label(),
                Duration.ofMillis(settings.bounds().handoverDelayMillis()),
                () -> publication,
                runtime.membership().registry(),
                runtime.zoneRules()::isDrained,
                runtime.protocol().createEngineClient(runtime.vertx(), new EngineAnswers()),
                new EngineCallPermits(),
                this::notifyEntries,
                runtime.clock(),
                runtime.timer(),
                runtime.eventLoop()));
    }

    private ServerPool createServerPool() {
        ServerPool created = new ServerPool(
                runtime.membership().registry(),
                runtime.clock(),
                runtime.settings().vm().zone(),
                new Random(),
                () -> 1);
        created.onGone(runtime::suspectServer);
        created.setSpeeds(speeds);
        // The coordinator leads the control group and is informed; entries check each grant again.
        created.availability()
                .restrict(new ZoneRules(runtime.settings().zones(), runtime.spread()::drainedZones, () -> true));
        created.statements()
                .limitColdServers(
                        service -> publication
                                .map(current -> current.warmUp(service))
                                .orElse(WarmUpRules.NONE),
                        runtime.settings().bounds().warmUpShares().coordinatorFactor(),
                        () -> 1,
                        System::currentTimeMillis);
        return created;
    }

    /** Returns the models and adapters that were not served yet, whose totals may be read by any thread. */
    Claims claims() {
        return placement.claims();
    }

    /** Returns the broker, whose counts may be read by any thread. */
    SlotBroker slotBroker() {
        return slotBroker;
    }

    private SlotBroker createSlotBroker() {
        return new SlotBroker(new SlotBroker.Environment(
                member::isLeader,
                pool,
                streamOrigins,
                service -> publication.flatMap(current -> current.enginePool(service)),
                runtime.clock(),
                runtime.timer(),
                new PlacementDemand()));
    }

    /** Passes the demand of waiting requests to the placement. */
    private final class PlacementDemand implements SlotBroker.Demand {
        @Override
        public void addWaiting(String service, EngineWork work, Optional<String> softwareVersion, int change) {
            placement.adjustWaiting(service, work.model(), work.adapter(), softwareVersion, change);
        }

        @Override
        public Optional<Deadline> earliestAt(String service, EngineWork work, Optional<String> softwareVersion) {
            return placement.estimateEarliest(new Target(service, work.model(), work.adapter(), softwareVersion));
        }

        @Override
        public void recordUnserved(String service, EngineWork work, Optional<String> softwareVersion) {
            placement.recordUnserved(new Target(service, work.model(), work.adapter(), softwareVersion));
        }

        @Override
        public void recordGrant(
                String service, EngineWork work, Optional<String> softwareVersion, BackendServerName server) {
            placement.recordGrant(new Target(service, work.model(), work.adapter(), softwareVersion), server);
        }

        @Override
        public void recordMissingModel(BackendServerName server, EngineWork work) {
            placement.markAbsent(server, work.model(), work.adapter());
        }

        @Override
        public Optional<Deadline> availableAt(String service, EngineWork work, Optional<String> softwareVersion) {
            return placement.estimateAvailability(service, work.model(), work.adapter(), softwareVersion);
        }
    }

    /** Records what engines say of themselves in their answers to the calls of this VM. */
    private final class EngineAnswers implements EngineClient.AnswerListener {
        /** The time of the call is not known here; engines answer calls at once. */
        @Override
        public void onStatement(BackendServer server, ServerStatement statement) {
            runtime.eventLoop().execute(() -> pool.statements()
                    .recordAnswer(server, statement, runtime.clock().nanoTime() - CALL_TIME.toNanos()));
        }

        @Override
        public void onRefusal(BackendServer server, Duration retryAfter) {
            runtime.eventLoop().execute(() -> refusals.recordAnswer(server, Optional.empty(), retryAfter));
        }

        @Override
        public void onLeaving(BackendServer server) {
            runtime.membership().leave(server.name(), server.incarnation());
        }
    }

    /** Lets calls to engines use the permits that the broker grants from. */
    private final class EngineCallPermits implements CallPermits {
        @Override
        public boolean isLimiting(BackendServer engine) {
            return pool.statements().isLimiting(engine);
        }

        @Override
        public boolean isPermitted(BackendServer engine) {
            return pool.statements().isPermitted(engine) && refusals.accepts(engine, Optional.empty());
        }

        @Override
        public void acquirePermit(BackendServer engine) {
            pool.statements().acquirePermit(engine);
        }
    }

    private boolean removeObsoleteState() {
        pool.removeUnknownServers();
        speeds.removeUnknownServers();
        return true;
    }

    private void notifyEntries(String server, ModelInventory inventory) {
        slotBroker.updateInventory(server, inventory);
        boolean isFirst = changedInventories.isEmpty();
        changedInventories.put(server, inventory);
        if (isFirst) {
            runtime.timer().schedule(NOTICE_DELAY, this::sendNotice);
        }
    }

    /** Sends the inventories that changed since the last notice. Entries use them while no coordinator answers. */
    private void sendNotice() {
        CoordinationUpdate.Builder update = CoordinationUpdate.newBuilder().setCoordinates(true);
        changedInventories.forEach((name, changed) -> update.addContents(changed.encode(name)));
        changedInventories.clear();
        if (!member.isLeader()) {
            return;
        }
        sendToEntries(update.build());
    }

    private void announceCoordinator() {
        LOGGER.info("event=coordinator-announced term={}", member.status().term());
        sendToEntries(CoordinationUpdate.newBuilder().setCoordinates(true).build());
    }

    private void sendToEntries(CoordinationUpdate update) {
        ByteString notice = update.toByteString();
        runtime.spread().registeredDataPlaneVms().forEach(entry -> runtime.network()
                .send(entry, MessageKind.COORDINATION_NOTICE, notice));
    }

    private Coordinator createCoordinator() {
        return new Coordinator(
                member,
                runtime.clock(),
                this::workspaces,
                runtime.spread()::registeredDataPlaneVms,
                placement,
                slotBroker::recordReport,
                pool.statements(),
                speeds);
    }

    private void startServices() {
        runtime.network().registerHandler(MessageKind.SLOT, slotBroker);
        runtime.network().registerHandler(MessageKind.STREAM_ORIGIN, streamOrigins);
        runtime.network()
                .registerHandler(MessageKind.CONTROL_COMMAND, new ControlService(member, state, runtime.clock()));
        runtime.network()
                .registerHandler(
                        MessageKind.STATE_WATCH,
                        new WatchService(member, state, client, runtime.clock(), runtime.timer()));
        runtime.network().registerHandler(MessageKind.COORDINATION, coordinator);
        runtime.spread().subscribeDrainedZones(zones -> runtime.eventLoop().execute(pool::retryQueued));
        runtime.spread()
                .subscribeDocument(document -> runtime.eventLoop().execute(() -> publicationReader.read(document)));
        member.failure().thenAccept(failure -> LOGGER.error("event=member-failed", failure));
        member.start();
        admission.start();
        leadershipNotices.start();
        placement.start();
        RepeatedTask.start("cleanup", runtime.timer(), CLEANUP_INTERVAL, CLEANUP_INTERVAL, this::removeObsoleteState);
    }

    private Map<String, PublishedWorkspace> workspaces() {
        return publication.map(Publication::workspaces).orElse(Map.of());
    }

    @Override
    public CompletionStage<PublishResult> publish(byte[] document) {
        Publication submitted;
        try {
            submitted = runtime.protocol().parsePublication(document);
        } catch (IllegalArgumentException exception) {
            return rejectAsInvalid("unreadable: " + exception.getMessage());
        }
        List<String> errors = submitted.errors();
        if (!errors.isEmpty()) {
            return rejectAsInvalid(String.join("; ", errors));
        }
        Command.Builder command = Command.newBuilder()
                .setPublishDocument(PublishDocument.newBuilder()
                        .setNumber(submitted.number())
                        .setContent(ByteString.copyFrom(document)));
        long receivedAtNanos = runtime.clock().nanoTime();
        Deadline deadline = Deadline.after(receivedAtNanos, PUBLISH_TIMEOUT);
        return client.submit(command, deadline)
                .handle((submission, failure) -> toPublishResult(submitted, submission, receivedAtNanos));
    }

    private static CompletionStage<PublishResult> rejectAsInvalid(String reason) {
        LOGGER.info("event=publication-refused reason=\"{}\"", reason);
        return CompletableFuture.completedFuture(new PublishResult.Invalid(reason));
    }

    private PublishResult toPublishResult(Publication submitted, Submission submission, long receivedAtNanos) {
        boolean isInForce = submission instanceof Submission.Replied replied
                && replied.reply().hasDocumentHeld()
                && replied.reply().getDocumentHeld().getNumber() >= submitted.number();
        LOGGER.info(
                "event=publication-submitted number={} routes={} outcome={} took_ms={}",
                submitted.number(),
                submitted.routes().size(),
                isInForce ? "held" : "unknown",
                TimeUnit.NANOSECONDS.toMillis(runtime.clock().nanoTime() - receivedAtNanos));
        return isInForce ? new PublishResult.Accepted(submitted.number()) : new PublishResult.Unknown();
    }

    @Override
    public CompletionStage<Optional<byte[]>> read() {
        Deadline deadline = Deadline.after(runtime.clock().nanoTime(), READ_TIMEOUT);
        return member.confirmRead(deadline).thenApply(isCurrent -> {
            if (!isCurrent) {
                LOGGER.info("event=publication-read outcome=unconfirmed");
                return Optional.empty();
            }
            return state.document().map(document -> document.getContent().toByteArray());
        });
    }

    @Override
    public CompletionStage<ZoneOrderResult> orderZone(String zone, boolean isDrain) {
        return zoneOrders.execute(zone, isDrain);
    }

    @Override
    public CompletionStage<Optional<SortedSet<String>>> readDrainedZones() {
        return member.confirmRead(Deadline.after(runtime.clock().nanoTime(), READ_TIMEOUT))
                .thenApply(
                        isCurrent -> isCurrent ? Optional.of(new TreeSet<>(state.drainedZones())) : Optional.empty());
    }

    @Override
    public void handleHeartbeat(Announcement announcement, boolean isLeaving) {
        runtime.membership().announce(announcement);
        if (isLeaving) {
            runtime.membership().leave(announcement.name(), announcement.incarnation());
        }
    }

    @Override
    public void handleDeparture(BackendServerName name, OptionalLong incarnation) {
        OptionalLong knownIncarnation = runtime.membership().registry().current().stream()
                .filter(server -> server.name().equals(name))
                .mapToLong(BackendServer::incarnation)
                .max();
        OptionalLong leaving = incarnation.isPresent() ? incarnation : knownIncarnation;
        leaving.ifPresent(leavingIncarnation -> runtime.membership().leave(name, leavingIncarnation));
    }

    int withdrawnEntryCount() {
        return coordinator.withdrawnCount();
    }

    long unevenServerCount() {
        return speeds.unevenCount();
    }

    /** Returns the leader of the control group that this VM's member follows. */
    Optional<VmName> leader() {
        return member.leader();
    }

    MemberStatus status() {
        return member.status();
    }

    /** Transfers leadership and closes the durable state. */
    @Override
    public void close() {
        admission.stop();
        leadershipNotices.stop();
        placement.stop();
        member.close();
    }
}
