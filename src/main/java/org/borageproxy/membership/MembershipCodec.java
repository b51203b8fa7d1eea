package org.borageproxy.membership;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.wire.proto.MembershipProtocol.AcceleratorState;
import org.borageproxy.wire.proto.MembershipProtocol.Content;
import org.borageproxy.wire.proto.MembershipProtocol.DigestLine;
import org.borageproxy.wire.proto.MembershipProtocol.LoadState;
import org.borageproxy.wire.proto.MembershipProtocol.LoadedModelState;
import org.borageproxy.wire.proto.MembershipProtocol.ServerUpdate;

/** Encodes records of backend servers as messages between VMs and decodes them. Stateless and thread safe. */
final class MembershipCodec {

    private static final long NANOS_PER_MILLISECOND = 1_000_000L;
    /** Offset basis of the 64-bit FNV-1a hash. */
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    /** Prime of the 64-bit FNV-1a hash. */
    private static final long FNV_PRIME = 0x100000001b3L;

    private static final int BYTE_MASK = 0xff;

    private MembershipCodec() {}

    /** Encodes a record with its content. */
    static ServerUpdate encodeFull(ServerRecord known, long nowNanos) {
        ServerUpdate.Builder update = encodeHeartbeat(known, nowNanos).toBuilder();
        known.announcement().ifPresent(announcement -> update.setContent(encode(announcement.content())));
        return update.build();
    }

    /**
     * Encodes a record without its content, which is represented by its hash. The time since the last message is sent
     * as a duration, since the clocks of VMs are not comparable.
     */
    static ServerUpdate encodeHeartbeat(ServerRecord known, long nowNanos) {
        ServerUpdate.Builder update = ServerUpdate.newBuilder()
                .setName(known.name().value())
                .setIncarnation(known.incarnation())
                .setLeft(known.left())
                .setContentHash(contentHash(known))
                .setSilentMillis(Math.max(0, (nowNanos - known.lastMessageNanos()) / NANOS_PER_MILLISECOND));
        known.announcement().ifPresent(announcement -> update.setSequence(announcement.sequence())
                .setLoad(encode(announcement.load())));
        return update.build();
    }

    /** Encodes the line of a digest. */
    static DigestLine encodeDigestLine(ServerRecord known) {
        return DigestLine.newBuilder()
                .setName(known.name().value())
                .setIncarnation(known.incarnation())
                .setSequence(Math.max(0, known.sequence()))
                .setLeft(known.left())
                .build();
    }

    /** Decodes a record. Without content, it has no announcement. */
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
        long lastMessageNanos = nowNanos - update.getSilentMillis() * NANOS_PER_MILLISECOND;
        return new ServerRecord(name, update.getIncarnation(), update.getLeft(), announcement, lastMessageNanos, false);
    }

    /** Decodes a heartbeat with the content of a known announcement of the same incarnation. */
    static ServerRecord decodeHeartbeat(ServerUpdate update, Announcement known, long nowNanos) {
        Announcement later = known.withHeartbeat(update.getSequence(), decode(update.getLoad()));
        long lastMessageNanos = nowNanos - update.getSilentMillis() * NANOS_PER_MILLISECOND;
        return new ServerRecord(
                known.name(), update.getIncarnation(), update.getLeft(), Optional.of(later), lastMessageNanos, false);
    }

    /** Returns the hash of the content of a record, zero without an announcement. */
    static long contentHash(ServerRecord known) {
        if (known.announcement().isEmpty()) {
            return 0;
        }
        byte[] encoded = encode(known.announcement().get().content()).toByteArray();
        long hash = FNV_OFFSET_BASIS;
        for (byte octet : encoded) {
            hash = (hash ^ (octet & BYTE_MASK)) * FNV_PRIME;
        }
        return hash;
    }

    /** Encodes content. Equal content has equal encodings, because sets are sorted. */
    private static Content encode(Announcement.Content content) {
        Content.Builder encoded = Content.newBuilder()
                .setEngine(content.kind() == BackendServerKind.ENGINE)
                .setZone(content.zone().value())
                .setHost(content.host())
                .setPort(content.port())
                .setChecksFencing(content.checksFencing())
                .setIntervalMillis(content.intervalMillis())
                .setSoftwareVersion(content.softwareVersion())
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
        encoded.addAllInMemory(
                        content.localWeights().inMemory().stream().sorted().toList())
                .addAllOnDisk(content.localWeights().onDisk().stream().sorted().toList());
        return encoded.build();
    }

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
                new LocalWeights(Set.copyOf(encoded.getInMemoryList()), Set.copyOf(encoded.getOnDiskList())),
                encoded.getSoftwareVersion());
    }

    private static LoadState encode(LoadReport load) {
        return LoadState.newBuilder()
                .setRunning(load.running())
                .setWaiting(load.waiting())
                .setBatchLimit(load.batchLimit())
                .setTokensPerSecond(load.tokensPerSecond())
                .setPrefillTokensPerSecond(load.prefillTokensPerSecond())
                .setColdMillisPlusOne((int)
                        load.coldMillis().stream().map(millis -> millis + 1).sum())
                .build();
    }

    private static LoadReport decode(LoadState encoded) {
        return new LoadReport(
                encoded.getRunning(),
                encoded.getWaiting(),
                encoded.getBatchLimit(),
                encoded.getTokensPerSecond(),
                encoded.getPrefillTokensPerSecond(),
                encoded.getColdMillisPlusOne() > 0
                        ? OptionalLong.of(encoded.getColdMillisPlusOne() - 1L)
                        : OptionalLong.empty());
    }
}
