package org.borageproxy.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import org.borageproxy.control.AdmissionPolicy;
import org.borageproxy.control.AdmissionService;
import org.borageproxy.control.ControlClient;
import org.borageproxy.control.ControlService;
import org.borageproxy.control.ControlState;
import org.borageproxy.control.Submission;
import org.borageproxy.coordination.Coordinator;
import org.borageproxy.coordination.ModelInventory;
import org.borageproxy.forward.ServerPool;
import org.borageproxy.forward.SlotBroker;
import org.borageproxy.log.GroupMember;
import org.borageproxy.log.MemberContext;
import org.borageproxy.log.MemberStatus;
import org.borageproxy.log.consensus.LogSettings;
import org.borageproxy.log.storage.DiskStorage;
import org.borageproxy.membership.Announcement;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.placement.FleetPlacement;
import org.borageproxy.publication.Publication;
import org.borageproxy.publication.PublishedWorkspace;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.spread.WatchService;
import org.borageproxy.time.Deadline;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.PublishDocument;
import org.borageproxy.wire.proto.CoordinationProtocol.CoordinationUpdate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A gateway VM's part in the control group, and what operators and backend servers ask of it. Safe for use by any
 * thread.
 */
final class GatewayControl implements ControlPlane, AutoCloseable {

    private static final Logger LOGGER = LoggerFactory.getLogger(GatewayControl.class);
    /** The identity of the only group of a fleet. */
    private static final String GROUP = "fleet";
    /** The time allowed to a publication; callers move on after a second. */
    private static final Duration PUBLISH_TIME = Duration.ofMillis(1800);
    /** The time allowed to the confirmation of a read. */
    private static final Duration READ_TIME = Duration.ofMillis(700);

    private static final LogSettings LOG_SETTINGS = LogSettings.STANDARD;

    private final GatewayFoundation foundation;
    private final ControlState state = new ControlState();
    private final GroupMember member;
    private final ControlClient client;
    private final AdmissionService admission;
    private final FleetPlacement placement;
    private final SlotBroker broker;
    private volatile Optional<Publication> publication = Optional.empty();

    private GatewayControl(GatewayFoundation foundation, Path folder) throws IOException {
        this.foundation = foundation;
        found(folder);
        MemberContext context = new MemberContext(
                foundation.network(), state, foundation.clock(), System::currentTimeMillis, foundation.timeLine());
        member = GroupMember.open(folder, LOG_SETTINGS, context);
        client = new ControlClient(
                foundation.self(),
                foundation.network(),
                foundation::controlVms,
                foundation.clock(),
                foundation.timer());
        placement = placement();
        broker = broker();
        admission = new AdmissionService(
                member,
                new AdmissionPolicy(foundation.settings().bounds().wantedVoters()),
                foundation.network(),
                foundation::controlVms,
                foundation.clock(),
                foundation.timer());
    }

    /**
     * Opens the durable state, or makes it on an empty disk, and takes part in the group.
     *
     * @param foundation what the role stands on
     * @return the role, empty on a VM without a data folder
     * @throws IOException if the disk cannot be used
     */
    static Optional<GatewayControl> start(GatewayFoundation foundation) throws IOException {
        Optional<Path> folder = foundation.settings().dataFolder();
        if (folder.isEmpty()) {
            return Optional.empty();
        }
        GatewayControl control = new GatewayControl(foundation, folder.get());
        control.serve();
        return Optional.of(control);
    }

    /**
     * Makes the durable state on an empty disk. Only a seed of a fleet that starts for the first time founds the group;
     * any other VM applies for admission, since an empty disk may be a lost one.
     */
    private void found(Path folder) throws IOException {
        if (DiskStorage.hasMember(folder)) {
            LOGGER.info("event=disk-opened folder={}", folder);
            return;
        }
        GatewaySettings settings = foundation.settings();
        Files.createDirectories(folder);
        boolean isFounder = settings.founds() && settings.seeds().contains(foundation.self());
        if (isFounder) {
            GroupMember.bootstrap(folder, GROUP, foundation.self(), settings.seeds());
        } else {
            GroupMember.join(folder, GROUP, foundation.self());
        }
        LOGGER.info(
                "event=disk-created folder={} founder={} first_start={} seeds={}",
                folder,
                isFounder,
                settings.founds(),
                settings.seeds());
    }

    private FleetPlacement placement() {
        GatewaySettings settings = foundation.settings();
        return new FleetPlacement(new FleetPlacement.Environment(
                member::isLeader,
                () -> member.status().term(),
                settings.label(),
                Duration.ofMillis(settings.bounds().holderTurnMillis()),
                () -> publication,
                foundation.membership().registry(),
                foundation.protocol().engines(foundation.vertx()),
                this::tellEntries,
                foundation.clock(),
                foundation.timer(),
                foundation.eventLoop()));
    }

    private SlotBroker broker() {
        ServerPool pool = new ServerPool(
                foundation.membership().registry(),
                foundation.clock(),
                foundation.settings().vm().zone(),
                new Random());
        pool.onGone(foundation::serverGone);
        return new SlotBroker(new SlotBroker.Environment(
                member::isLeader,
                pool,
                service -> publication.flatMap(known -> known.enginePool(service)),
                foundation.clock(),
                foundation.timer(),
                new OrderedDemand()));
    }

    /** Brings what requests lack to the placement. */
    private final class OrderedDemand implements SlotBroker.Demand {
        @Override
        public void addWaiting(String service, EngineWork work, int change) {
            placement.adjustWaiting(service, work.model(), work.adapter(), change);
        }

        @Override
        public void recordMissingModel(BackendServerName server, EngineWork work) {
            placement.markAbsent(server, work.model(), work.adapter());
        }

        @Override
        public Optional<Deadline> availableAt(String service, EngineWork work) {
            return placement.estimateAvailability(service, work.model(), work.adapter());
        }
    }

    private void tellEntries(String server, ModelInventory held) {
        broker.updateInventory(server, held);
        ByteString notice = CoordinationUpdate.newBuilder()
                .setCoordinates(true)
                .addContents(held.encode(server))
                .build()
                .toByteString();
        foundation.spread().registeredEntries().forEach(entry -> foundation
                .network()
                .send(entry, MessageKind.COORDINATION_NOTICE, notice));
    }

    private void serve() {
        Coordinator coordinator = new Coordinator(
                member,
                foundation.clock(),
                this::workspaces,
                foundation.spread()::registeredEntries,
                placement,
                broker::recordReport);
        foundation.network().handle(MessageKind.SLOT, broker);
        foundation.network().handle(MessageKind.CONTROL_COMMAND, new ControlService(member, state, foundation.clock()));
        foundation
                .network()
                .handle(
                        MessageKind.STATE_WATCH,
                        new WatchService(member, state, client, foundation.clock(), foundation.timer()));
        foundation.network().handle(MessageKind.COORDINATION, coordinator);
        foundation
                .spread()
                .subscribeDocument(document ->
                        take(document.getNumber(), document.getContent().toByteArray()));
        member.failure().thenAccept(failure -> LOGGER.error("event=member-failed", failure));
        member.start();
        admission.start();
        placement.start();
    }

    private void take(long number, byte[] document) {
        try {
            publication = Optional.of(foundation.protocol().publication(document));
        } catch (IllegalArgumentException exception) {
            LOGGER.error("event=publication-unreadable number={}", number, exception);
        }
    }

    private Map<String, PublishedWorkspace> workspaces() {
        return publication.map(Publication::workspaces).orElse(Map.of());
    }

    @Override
    public CompletionStage<Published> publish(byte[] document) {
        Publication offered;
        try {
            offered = foundation.protocol().publication(document);
        } catch (IllegalArgumentException exception) {
            return invalid("unreadable: " + exception.getMessage());
        }
        List<String> errors = offered.errors();
        if (!errors.isEmpty()) {
            return invalid(String.join("; ", errors));
        }
        Command.Builder command = Command.newBuilder()
                .setPublishDocument(PublishDocument.newBuilder()
                        .setNumber(offered.number())
                        .setContent(ByteString.copyFrom(document)));
        Deadline deadline = Deadline.after(foundation.clock().nanoTime(), PUBLISH_TIME);
        return client.submit(command, deadline).handle((submission, failure) -> published(offered, submission));
    }

    private static CompletionStage<Published> invalid(String reason) {
        LOGGER.info("event=publication-refused reason=\"{}\"", reason);
        return CompletableFuture.completedFuture(new Published.Invalid(reason));
    }

    private static Published published(Publication offered, Submission submission) {
        boolean isHeld = submission instanceof Submission.Replied replied
                && replied.reply().hasDocumentHeld()
                && replied.reply().getDocumentHeld().getNumber() >= offered.number();
        LOGGER.info(
                "event=publication-submitted number={} routes={} outcome={}",
                offered.number(),
                offered.routes().size(),
                isHeld ? "held" : "unknown");
        return isHeld ? new Published.Accepted(offered.number()) : new Published.Unknown();
    }

    @Override
    public CompletionStage<Optional<byte[]>> read() {
        Deadline deadline = Deadline.after(foundation.clock().nanoTime(), READ_TIME);
        return member.confirmRead(deadline).thenApply(isCurrent -> {
            if (!isCurrent) {
                LOGGER.info("event=publication-read outcome=unconfirmed");
                return Optional.empty();
            }
            return state.document().map(document -> document.getContent().toByteArray());
        });
    }

    @Override
    public void announced(Announcement announcement, boolean leaves) {
        foundation.membership().announced(announcement);
        if (leaves) {
            foundation.membership().left(announcement.name(), announcement.incarnation());
        }
    }

    @Override
    public void left(BackendServerName name, OptionalLong incarnation) {
        OptionalLong known = foundation.membership().registry().current().stream()
                .filter(server -> server.name().equals(name))
                .mapToLong(BackendServer::incarnation)
                .max();
        OptionalLong leaving = incarnation.isPresent() ? incarnation : known;
        leaving.ifPresent(which -> foundation.membership().left(name, which));
    }

    MemberStatus status() {
        return member.status();
    }

    /** Hands leadership over and closes the durable state. */
    @Override
    public void close() {
        admission.stop();
        placement.stop();
        member.close();
    }
}
