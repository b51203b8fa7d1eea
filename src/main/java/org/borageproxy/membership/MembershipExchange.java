package org.borageproxy.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.MembershipProtocol.Digest;
import org.borageproxy.wire.proto.MembershipProtocol.DigestLine;
import org.borageproxy.wire.proto.MembershipProtocol.MembershipMessage;
import org.borageproxy.wire.proto.MembershipProtocol.ServerUpdate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Propagates the records of backend servers between VMs by gossip. Joins, leaves and changes of content are sent
 * immediately, heartbeats in batches; a periodic exchange of digests (anti-entropy) repairs lost messages. A small
 * number of peers receives every update directly; if there are more, each VM forwards new updates to some others.
 * Observers receive each update from the VM to which the backend server announced it; the messages to one observer do
 * not depend on the number of observers. Thread safe: this object's monitor guards the pending heartbeats, and no
 * message is sent under it.
 */
final class MembershipExchange {

    private static final Logger LOGGER = LoggerFactory.getLogger(MembershipExchange.class);

    /** Maximum number of other VMs up to which updates are sent to all of them. */
    private static final int MAX_DIRECT_PEERS = 16;
    /** Number of VMs to which an update is forwarded in a larger fleet. */
    private static final int FANOUT = 4;
    /** Maximum number of updates in one message. */
    private static final int MAX_BATCH_UPDATES = 200;
    /** Size of the updates in the answer to a digest from which further ones follow in the next. */
    private static final int MAX_ANSWER_BYTES = 32 << 10;
    /** Maximum time for the answer to a digest. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(2);

    private final BackendServerRegistry registry;
    private final VmNetwork network;
    private final MembershipPeers peers;
    private final MonotonicClock clock;
    /** Selects the recipients. */
    private final Random random;
    /** Servers with a heartbeat for the next batch; guarded by this. */
    private final Set<BackendServerName> pendingHeartbeats = new HashSet<>();
    /** Servers with a heartbeat for the next batch to the observers; guarded by this. */
    private final Set<BackendServerName> pendingObservations = new HashSet<>();
    /** VM that is sent one digest after the other, since its answers leave updates out; guarded by this. */
    private Optional<VmName> continuedPeer = Optional.empty();
    /** Time from which another VM may take its place; guarded by this. */
    private Deadline nextDigestPermittedAt;
    /** Whether a digest has been answered in full since the start, or no other VM was known. */
    private volatile boolean isSynchronized;

    /** Creates an exchange and registers it as the handler of membership messages. */
    MembershipExchange(
            BackendServerRegistry registry,
            VmNetwork network,
            MembershipPeers peers,
            MonotonicClock clock,
            Random random) {
        this.registry = registry;
        this.network = network;
        this.peers = peers;
        this.clock = clock;
        this.random = random;
        this.nextDigestPermittedAt = new Deadline(clock.nanoTime());
        network.registerHandler(MessageKind.MEMBERSHIP, this::receive);
    }

    /**
     * Propagates a change that was announced to this VM. A heartbeat waits for the next batch, other changes are sent
     * immediately; observers receive only changes of presence immediately.
     */
    void propagate(BackendServerName name, BackendServerRegistry.Change change) {
        synchronized (this) {
            if (change == BackendServerRegistry.Change.HEARTBEAT) {
                pendingHeartbeats.add(name);
            }
            if (change != BackendServerRegistry.Change.NONE) {
                pendingObservations.add(name);
            }
        }
        boolean isPresence = change == BackendServerRegistry.Change.PRESENCE;
        if (isPresence || change == BackendServerRegistry.Change.MODELS) {
            long nowNanos = clock.nanoTime();
            registry.record(name)
                    .map(known -> List.of(MembershipCodec.encodeFull(known, nowNanos)))
                    .ifPresent(update -> {
                        broadcast(update);
                        if (isPresence) {
                            send(peers.observers().get(), update);
                        }
                    });
        }
    }

    /** Sends the heartbeats since the last batch, with the latest sequence number and load of each server. */
    void sendHeartbeats() {
        inBatches(encodeHeartbeats(takeAll(pendingHeartbeats)), this::broadcast);
    }

    /** Sends the heartbeats since the last batch to the observers. */
    void sendObservations() {
        List<BackendServerName> names = takeAll(pendingObservations);
        List<VmName> observers = peers.observers().get();
        if (!observers.isEmpty()) {
            inBatches(encodeHeartbeats(names), batch -> send(observers, batch));
        }
    }

    private synchronized List<BackendServerName> takeAll(Set<BackendServerName> pending) {
        List<BackendServerName> names = List.copyOf(pending);
        pending.clear();
        return names;
    }

    private List<ServerUpdate> encodeHeartbeats(List<BackendServerName> names) {
        long nowNanos = clock.nanoTime();
        return names.stream()
                .flatMap(name -> registry.record(name).stream())
                .map(known -> MembershipCodec.encodeHeartbeat(known, nowNanos))
                .toList();
    }

    private static void inBatches(List<ServerUpdate> updates, Consumer<List<ServerUpdate>> sender) {
        for (int start = 0; start < updates.size(); start += MAX_BATCH_UPDATES) {
            sender.accept(updates.subList(start, Math.min(updates.size(), start + MAX_BATCH_UPDATES)));
        }
    }

    /** Sends a digest to one random VM, or to all of them until one has answered. */
    void exchangeDigests() {
        List<VmName> known = new ArrayList<>(peers.peers().get());
        if (known.isEmpty()) {
            isSynchronized = true;
            return;
        }
        Collections.shuffle(known, random);
        List<VmName> recipients = isSynchronized ? known.subList(0, 1) : known;
        ByteString message = encodedDigest();
        recipients.forEach(peer -> sendDigest(peer, message));
    }

    private ByteString encodedDigest() {
        return MembershipMessage.newBuilder()
                .setDigest(digest())
                .setAcceptsPartial(true)
                .build()
                .toByteString();
    }

    /** Sends a digest to a VM and applies the updates of its answer. */
    private void sendDigest(VmName peer, ByteString message) {
        network.request(peer, MessageKind.MEMBERSHIP, message, Deadline.after(clock.nanoTime(), ANSWER_TIMEOUT))
                .thenAccept(answer -> {
                    apply(peer, answer);
                    if (hasMore(answer)) {
                        sendNextDigest(peer);
                    } else {
                        isSynchronized = true;
                    }
                });
    }

    /** Sends the digest that brings the updates left out of an answer, to one VM at a time. */
    private void sendNextDigest(VmName peer) {
        long nowNanos = clock.nanoTime();
        synchronized (this) {
            if (!nextDigestPermittedAt.hasPassed(nowNanos) && !continuedPeer.equals(Optional.of(peer))) {
                return;
            }
            continuedPeer = Optional.of(peer);
            nextDigestPermittedAt = Deadline.after(nowNanos, ANSWER_TIMEOUT);
        }
        sendDigest(peer, encodedDigest());
    }

    private static boolean hasMore(ByteString answer) {
        try {
            return MembershipMessage.parseFrom(answer).getMore();
        } catch (InvalidProtocolBufferException malformed) {
            return false;
        }
    }

    /** Whether another VM has answered a digest in full since the start, or there was none. */
    boolean isSynchronized() {
        return isSynchronized;
    }

    private Digest digest() {
        Digest.Builder digest = Digest.newBuilder();
        registry.records().forEach(known -> digest.addLines(MembershipCodec.encodeDigestLine(known)));
        return digest.setPresenceOnly(peers.isObserver()).build();
    }

    /** Sends updates to all peers if they are few, or to {@link #FANOUT} random ones of them. */
    private void broadcast(List<ServerUpdate> updates) {
        List<VmName> recipients = new ArrayList<>(peers.peers().get());
        if (recipients.size() > MAX_DIRECT_PEERS) {
            Collections.shuffle(recipients, random);
            recipients = recipients.subList(0, FANOUT);
        }
        send(recipients, updates);
    }

    private void send(List<VmName> recipients, List<ServerUpdate> updates) {
        ByteString message =
                MembershipMessage.newBuilder().addAllUpdates(updates).build().toByteString();
        recipients.forEach(recipient -> network.send(recipient, MessageKind.MEMBERSHIP, message));
    }

    private CompletionStage<ByteString> receive(VmName sender, ByteString body) {
        return CompletableFuture.completedFuture(apply(sender, body));
    }

    /**
     * Applies the updates of a message. Requests missing content from the sender, and returns the answer to a digest,
     * empty if the message has none. A malformed message is ignored.
     */
    private ByteString apply(VmName sender, ByteString body) {
        MembershipMessage message;
        try {
            message = MembershipMessage.parseFrom(body);
        } catch (InvalidProtocolBufferException malformed) {
            return ByteString.EMPTY;
        }
        boolean isComplete = true;
        for (ServerUpdate update : message.getUpdatesList()) {
            isComplete &= applyOrIgnore(sender, update);
        }
        if (!isComplete) {
            sendDigest(sender, encodedDigest());
        }
        return message.hasDigest() ? answerDigest(message.getDigest(), message.getAcceptsPartial()) : ByteString.EMPTY;
    }

    /** Applies an update; one that is malformed is ignored, and so hides none of the others. */
    private boolean applyOrIgnore(VmName sender, ServerUpdate update) {
        try {
            return apply(update);
        } catch (IllegalArgumentException exception) {
            LOGGER.warn(
                    "event=server-update-malformed vm={} server={} reason=\"{}\"",
                    sender,
                    update.getName(),
                    exception.getMessage());
            return true;
        }
    }

    /**
     * Applies an update. Returns {@code false} if it is a heartbeat that is not stale and belongs to content that this
     * VM does not have.
     */
    private boolean apply(ServerUpdate update) {
        long nowNanos = clock.nanoTime();
        BackendServerName name = new BackendServerName(update.getName());
        Optional<ServerRecord> known = registry.record(name);
        ServerRecord record;
        if (update.hasContent() || update.getContentHash() == 0) {
            record = MembershipCodec.decode(update, nowNanos);
        } else if (known.isPresent() && hasSameContent(known.get(), update)) {
            record = MembershipCodec.decodeHeartbeat(
                    update, known.get().announcement().orElseThrow(), nowNanos);
        } else {
            return known.isPresent() && isStale(known.get(), update);
        }
        BackendServerRegistry.Change change = registry.merge(record, nowNanos);
        if (peers.peers().get().size() > MAX_DIRECT_PEERS) {
            propagate(name, change);
        }
        return true;
    }

    /** Whether a heartbeat belongs to the incarnation and the content of the local record. */
    private boolean hasSameContent(ServerRecord known, ServerUpdate update) {
        return known.incarnation() == update.getIncarnation()
                && known.announcement().isPresent()
                && (peers.isObserver() || MembershipCodec.contentHash(known) == update.getContentHash());
    }

    /** Whether a heartbeat is not newer than the local record. */
    private static boolean isStale(ServerRecord known, ServerUpdate update) {
        return update.getIncarnation() < known.incarnation()
                || update.getIncarnation() == known.incarnation() && update.getSequence() <= known.sequence();
    }

    /** Answers a digest with the records that are missing at its sender or newer than there. */
    private ByteString answerDigest(Digest digest, boolean acceptsPartial) {
        Map<String, DigestLine> lines = new HashMap<>();
        digest.getLinesList().forEach(line -> lines.put(line.getName(), line));
        long nowNanos = clock.nanoTime();
        MembershipMessage.Builder message = MembershipMessage.newBuilder();
        int bytes = 0;
        for (ServerRecord known : registry.records()) {
            DigestLine line = lines.get(known.name().value());
            if (line == null || isNewer(known, line)) {
                if (acceptsPartial && bytes >= MAX_ANSWER_BYTES) {
                    message.setMore(true);
                    break;
                }
                boolean isContentKnown = digest.getPresenceOnly()
                        && line != null
                        && line.getIncarnation() == known.incarnation()
                        && line.getLeft() == known.left();
                message.addUpdates(
                        isContentKnown
                                ? MembershipCodec.encodeHeartbeat(known, nowNanos)
                                : MembershipCodec.encodeFull(known, nowNanos));
                bytes += message.getUpdates(message.getUpdatesCount() - 1).getSerializedSize();
            }
        }
        return message.build().toByteString();
    }

    /** Whether a local record is newer than the line of a digest. */
    private static boolean isNewer(ServerRecord known, DigestLine line) {
        if (known.incarnation() != line.getIncarnation()) {
            return known.incarnation() > line.getIncarnation();
        }
        return known.sequence() > line.getSequence() || known.left() && !line.getLeft();
    }
}
