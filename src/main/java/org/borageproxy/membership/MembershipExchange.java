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
import java.util.function.Supplier;

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

/**
 * Spreads what this VM knows of backend servers to the other VMs. Joins, leaves and changes of models go out at once;
 * heartbeats go out in batches; digests repair what was lost. A small fleet hears everything directly; in a larger one
 * each VM passes on what is new to some others. Thread safe: the sets of what to pass on are guarded by this, and no
 * message is sent under the lock.
 */
final class MembershipExchange {

    /** The largest number of other VMs that are all sent every update. */
    private static final int LARGEST_DIRECT_FLEET = 16;
    /** The number of other VMs that an update is passed on to in a larger fleet. */
    private static final int FANOUT = 4;
    /** The largest number of updates in one message. */
    private static final int LARGEST_BATCH = 200;
    /** The time allowed for the answer to a digest. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(2);

    /** What this VM knows. */
    private final BackendServerRegistry registry;
    /** Sends messages to other VMs. */
    private final VmNetwork network;
    /** Returns the other VMs. */
    private final Supplier<List<VmName>> peers;
    /** The clock. */
    private final MonotonicClock clock;
    /** Chooses VMs. */
    private final Random random;
    /** The servers whose heartbeats wait for the next batch; guarded by this. */
    private final Set<BackendServerName> heartbeats = new HashSet<>();
    /** Whether another VM answered a digest since the start. */
    private volatile boolean synchronised;

    /**
     * Creates an exchange and registers it for messages.
     *
     * @param registry what this VM knows
     * @param network sends messages to other VMs
     * @param peers returns the other VMs
     * @param clock the clock
     * @param random chooses VMs
     */
    MembershipExchange(
            BackendServerRegistry registry,
            VmNetwork network,
            Supplier<List<VmName>> peers,
            MonotonicClock clock,
            Random random) {
        this.registry = registry;
        this.network = network;
        this.peers = peers;
        this.clock = clock;
        this.random = random;
        network.handle(MessageKind.MEMBERSHIP, this::receive);
    }

    /**
     * Passes on what an announcement or a leave at this VM changed.
     *
     * @param name the backend server
     * @param change what changed
     */
    void changed(BackendServerName name, BackendServerRegistry.Change change) {
        if (change == BackendServerRegistry.Change.HEARTBEAT) {
            synchronized (this) {
                heartbeats.add(name);
            }
        }
        if (change == BackendServerRegistry.Change.CONTENT) {
            long nowNanos = clock.nanoTime();
            registry.record(name).ifPresent(known -> broadcast(List.of(MembershipCodec.whole(known, nowNanos))));
        }
    }

    /** Sends the heartbeats since the last batch. */
    void sendHeartbeats() {
        List<BackendServerName> names;
        synchronized (this) {
            names = List.copyOf(heartbeats);
            heartbeats.clear();
        }
        long nowNanos = clock.nanoTime();
        List<ServerUpdate> updates = names.stream()
                .flatMap(name -> registry.record(name).stream())
                .map(known -> MembershipCodec.heartbeat(known, nowNanos))
                .toList();
        for (int start = 0; start < updates.size(); start += LARGEST_BATCH) {
            broadcast(updates.subList(start, Math.min(updates.size(), start + LARGEST_BATCH)));
        }
    }

    /** Compares what is known with one other VM, or with all of them until one has answered. */
    void compare() {
        List<VmName> known = new ArrayList<>(peers.get());
        if (known.isEmpty()) {
            synchronised = true;
            return;
        }
        Collections.shuffle(known, random);
        List<VmName> asked = synchronised ? known.subList(0, 1) : known;
        ByteString message =
                MembershipMessage.newBuilder().setDigest(digest()).build().toByteString();
        asked.forEach(peer -> ask(peer, message));
    }

    /**
     * Sends a digest to a VM and takes what it answers.
     *
     * @param peer the VM
     * @param message the encoded digest
     */
    private void ask(VmName peer, ByteString message) {
        network.request(peer, MessageKind.MEMBERSHIP, message, Deadline.after(clock.nanoTime(), ANSWER_TIMEOUT))
                .thenAccept(answer -> {
                    take(peer, answer);
                    synchronised = true;
                });
    }

    /**
     * Tells whether another VM answered since the start, or there is none.
     *
     * @return {@code true} once this VM knows what the others know
     */
    boolean isSynchronised() {
        return synchronised;
    }

    /**
     * Returns the digest of what this VM knows.
     *
     * @return the digest
     */
    private Digest digest() {
        Digest.Builder digest = Digest.newBuilder();
        registry.records().forEach(known -> digest.addLines(MembershipCodec.digestLine(known)));
        return digest.build();
    }

    /**
     * Sends updates to all other VMs, or to some in a large fleet.
     *
     * @param updates the updates
     */
    private void broadcast(List<ServerUpdate> updates) {
        ByteString message =
                MembershipMessage.newBuilder().addAllUpdates(updates).build().toByteString();
        List<VmName> recipients = new ArrayList<>(peers.get());
        if (recipients.size() > LARGEST_DIRECT_FLEET) {
            Collections.shuffle(recipients, random);
            recipients = recipients.subList(0, FANOUT);
        }
        recipients.forEach(recipient -> network.send(recipient, MessageKind.MEMBERSHIP, message));
    }

    /**
     * Handles a message of another VM.
     *
     * @param sender the VM
     * @param body the encoded message
     * @return the answer to a digest, else nothing
     */
    private CompletionStage<ByteString> receive(VmName sender, ByteString body) {
        return CompletableFuture.completedFuture(take(sender, body));
    }

    /**
     * Takes the updates of a message and answers its digest.
     *
     * @param sender the VM that sent it
     * @param body the encoded message
     * @return the answer, empty if none is needed
     */
    private ByteString take(VmName sender, ByteString body) {
        MembershipMessage message;
        try {
            message = MembershipMessage.parseFrom(body);
        } catch (InvalidProtocolBufferException malformed) {
            return ByteString.EMPTY;
        }
        boolean complete = true;
        for (ServerUpdate update : message.getUpdatesList()) {
            complete &= take(update);
        }
        if (!complete) {
            ask(
                    sender,
                    MembershipMessage.newBuilder().setDigest(digest()).build().toByteString());
        }
        return message.hasDigest() ? answer(message.getDigest()) : ByteString.EMPTY;
    }

    /**
     * Takes one update.
     *
     * @param update the update
     * @return {@code false} if it needs a part that this VM does not know
     */
    private boolean take(ServerUpdate update) {
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
            return known.isPresent() && isOld(known.get(), update);
        }
        BackendServerRegistry.Change change = registry.merge(record, nowNanos);
        if (peers.get().size() > LARGEST_DIRECT_FLEET) {
            changed(name, change);
        }
        return true;
    }

    /**
     * Tells whether a heartbeat fits the content that this VM knows.
     *
     * @param known what is known
     * @param update the heartbeat
     * @return {@code true} if incarnation and content are equal
     */
    private static boolean hasSameContent(ServerRecord known, ServerUpdate update) {
        return known.incarnation() == update.getIncarnation()
                && known.announcement().isPresent()
                && MembershipCodec.contentHash(known) == update.getContentHash();
    }

    /**
     * Tells whether a heartbeat is older than what this VM knows.
     *
     * @param known what is known
     * @param update the heartbeat
     * @return {@code true} if it is older
     */
    private static boolean isOld(ServerRecord known, ServerUpdate update) {
        return update.getIncarnation() < known.incarnation()
                || update.getIncarnation() == known.incarnation() && update.getSequence() <= known.sequence();
    }

    /**
     * Answers a digest with everything that its sender lacks.
     *
     * @param digest the digest
     * @return the encoded answer
     */
    private ByteString answer(Digest digest) {
        Map<String, DigestLine> lines = new HashMap<>();
        digest.getLinesList().forEach(line -> lines.put(line.getName(), line));
        long nowNanos = clock.nanoTime();
        MembershipMessage.Builder message = MembershipMessage.newBuilder();
        for (ServerRecord known : registry.records()) {
            DigestLine line = lines.get(known.name().value());
            if (line == null || isNewer(known, line)) {
                message.addUpdates(MembershipCodec.whole(known, nowNanos));
            }
        }
        return message.build().toByteString();
    }

    /**
     * Tells whether a record holds more than a line of a digest.
     *
     * @param known the record
     * @param line the line
     * @return {@code true} if the line's sender lacks something
     */
    private static boolean isNewer(ServerRecord known, DigestLine line) {
        if (known.incarnation() != line.getIncarnation()) {
            return known.incarnation() > line.getIncarnation();
        }
        return known.sequence() > line.getSequence() || known.left() && !line.getLeft();
    }
}
