package org.borageproxy.membership;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.wire.proto.MembershipProtocol.AcceleratorState;
import org.borageproxy.wire.proto.MembershipProtocol.Content;
import org.borageproxy.wire.proto.MembershipProtocol.DigestLine;
import org.borageproxy.wire.proto.MembershipProtocol.LoadState;
import org.borageproxy.wire.proto.MembershipProtocol.LoadedModelState;
import org.borageproxy.wire.proto.MembershipProtocol.ServerUpdate;

/** Translates records of backend servers to and from messages between VMs. Stateless and thread safe. */
final class MembershipCodec {

    /** Nanoseconds in a millisecond. */
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;
    /** The start value of the 64-bit FNV-1a hash. */
    private static final long HASH_START = 0xcbf29ce484222325L;
    /** The factor of the 64-bit FNV-1a hash. */
    private static final long HASH_FACTOR = 0x100000001b3L;
    /** The bits of a byte. */
    private static final int BYTE_MASK = 0xff;

    /** Not instantiated. */
    private MembershipCodec() {}

    /**
     * Encodes a record whole.
     *
     * @param known the record
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return the message
     */
    static ServerUpdate whole(ServerRecord known, long nowNanos) {
        ServerUpdate.Builder update = heartbeat(known, nowNanos).toBuilder();
        known.announcement().ifPresent(announcement -> update.setContent(encode(announcement.content())));
        return update.build();
    }

    /**
     * Encodes a record without the part that rarely changes.
     *
     * @param known the record
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return the message
     */
    static ServerUpdate heartbeat(ServerRecord known, long nowNanos) {
        ServerUpdate.Builder update = ServerUpdate.newBuilder()
                .setName(known.name().value())
                .setIncarnation(known.incarnation())
                .setLeft(known.left())
                .setContentHash(contentHash(known))
                .setSilentMillis(Math.max(0, (nowNanos - known.heardAtNanos()) / NANOS_PER_MILLISECOND));
        known.announcement().ifPresent(announcement -> update.setSequence(announcement.sequence())
                .setLoad(encode(announcement.load())));
        return update.build();
    }

    /**
     * Encodes a line of a digest.
     *
     * @param known the record
     * @return the message
     */
    static DigestLine digestLine(ServerRecord known) {
        return DigestLine.newBuilder()
                .setName(known.name().value())
                .setIncarnation(known.incarnation())
                .setSequence(Math.max(0, known.sequence()))
                .setLeft(known.left())
                .setContentHash(contentHash(known))
                .build();
    }

    /**
     * Decodes a whole record.
     *
     * @param update the message
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return the record
     */
    static ServerRecord decode(ServerUpdate update, long nowNanos) {
        BackendServerName name = new BackendServerName(update.getName());
        Optional<Announcement> announcement = update.hasContent()
                ? Optional.of(new Announcement(
                        name,
                        update.getIncarnation(),
                        update.getSequence(),
                        decode(update.getContent()),
                        decode(update.getLoad())))
                : Optional.empty();
        long heardAtNanos = nowNanos - update.getSilentMillis() * NANOS_PER_MILLISECOND;
        return new ServerRecord(name, update.getIncarnation(), update.getLeft(), announcement, heardAtNanos, false);
    }

    /**
     * Decodes a heartbeat with the part that rarely changes taken from what is known.
     *
     * @param update the message
     * @param known what is known of the same incarnation
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return the record
     */
    static ServerRecord decodeHeartbeat(ServerUpdate update, Announcement known, long nowNanos) {
        Announcement later = known.withHeartbeat(update.getSequence(), decode(update.getLoad()));
        long heardAtNanos = nowNanos - update.getSilentMillis() * NANOS_PER_MILLISECOND;
        return new ServerRecord(
                known.name(), update.getIncarnation(), update.getLeft(), Optional.of(later), heardAtNanos, false);
    }

    /**
     * Returns a hash of the part of a record that rarely changes.
     *
     * @param known the record
     * @return the hash, zero without an announcement
     */
    static long contentHash(ServerRecord known) {
        if (known.announcement().isEmpty()) {
            return 0;
        }
        byte[] encoded = encode(known.announcement().get().content()).toByteArray();
        long hash = HASH_START;
        for (byte octet : encoded) {
            hash = (hash ^ (octet & BYTE_MASK)) * HASH_FACTOR;
        }
        return hash;
    }

    /**
     * Encodes the part that rarely changes, equal parts to equal messages.
     *
     * @param content the part
     * @return the message
     */
    private static Content encode(Announcement.Content content) {
        Content.Builder encoded = Content.newBuilder()
                .setEngine(content.kind() == BackendServerKind.ENGINE)
                .setZone(content.zone().value())
                .setHost(content.host())
                .setPort(content.port())
                .setChecksFencing(content.checksFencing())
                .setIntervalMillis(content.intervalMillis())
                .addAllServices(content.services().stream().sorted().toList());
        content.accelerators()
                .forEach(accelerator -> encoded.addAccelerators(AcceleratorState.newBuilder()
                        .setName(accelerator.name())
                        .setMemoryBytes(accelerator.memoryBytes())));
        content.models()
                .forEach(model -> encoded.addModels(LoadedModelState.newBuilder()
                        .setModel(model.model())
                        .setVersion(model.version())
                        .setAccelerator(model.accelerator())
                        .addAllAdapters(model.adapters().stream().sorted().toList())));
        encoded.addAllInMemory(content.copies().inMemory().stream().sorted().toList())
                .addAllOnDisk(content.copies().onDisk().stream().sorted().toList());
        return encoded.build();
    }

    /**
     * Decodes the part that rarely changes.
     *
     * @param encoded the message
     * @return the part
     */
    private static Announcement.Content decode(Content encoded) {
        List<Accelerator> accelerators = encoded.getAcceleratorsList().stream()
                .map(accelerator -> new Accelerator(accelerator.getName(), accelerator.getMemoryBytes()))
                .toList();
        List<LoadedModel> models = encoded.getModelsList().stream()
                .map(model -> new LoadedModel(
                        model.getModel(),
                        model.getVersion(),
                        model.getAccelerator(),
                        Set.copyOf(model.getAdaptersList())))
                .toList();
        return new Announcement.Content(
                encoded.getEngine() ? BackendServerKind.ENGINE : BackendServerKind.SERVICE,
                new AvailabilityZone(encoded.getZone()),
                encoded.getHost(),
                encoded.getPort(),
                encoded.getChecksFencing(),
                encoded.getIntervalMillis(),
                Set.copyOf(encoded.getServicesList()),
                accelerators,
                models,
                new WeightCopies(Set.copyOf(encoded.getInMemoryList()), Set.copyOf(encoded.getOnDiskList())));
    }

    /**
     * Encodes a load.
     *
     * @param load the load
     * @return the message
     */
    private static LoadState encode(LoadReport load) {
        return LoadState.newBuilder()
                .setRunning(load.running())
                .setWaiting(load.waiting())
                .setBatchLimit(load.batchLimit())
                .setTokensPerSecond(load.tokensPerSecond())
                .setPrefillTokensPerSecond(load.prefillTokensPerSecond())
                .build();
    }

    /**
     * Decodes a load.
     *
     * @param encoded the message
     * @return the load
     */
    private static LoadReport decode(LoadState encoded) {
        return new LoadReport(
                encoded.getRunning(),
                encoded.getWaiting(),
                encoded.getBatchLimit(),
                encoded.getTokensPerSecond(),
                encoded.getPrefillTokensPerSecond());
    }
}
