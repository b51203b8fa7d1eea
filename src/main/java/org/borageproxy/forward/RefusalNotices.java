package org.borageproxy.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServers;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.CoordinationProtocol.RefusalNotice;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells VMs that share their ways to the backend servers which of these want no requests. The VM that reads an answer
 * is not the one that the server refused if a connection leads through another VM, which passes bytes on unread: that
 * VM is told, and tells all VMs that are connected to the server through it. Not thread safe; confined to the event
 * loop of the refusals.
 */
public final class RefusalNotices {

    private static final Logger LOGGER = LoggerFactory.getLogger(RefusalNotices.class);

    private final VmNetwork network;
    private final BackendServers servers;
    private final ServerRefusals refusals;
    private final ServerRelay relay;
    private final MonotonicClock clock;

    private RefusalNotices(
            VmNetwork network,
            BackendServers servers,
            ServerRefusals refusals,
            ServerRelay relay,
            MonotonicClock clock) {
        this.network = network;
        this.servers = servers;
        this.refusals = refusals;
        this.relay = relay;
        this.clock = clock;
    }

    /**
     * Starts to exchange notices.
     *
     * @param network transport to the other VMs
     * @param servers the announced servers
     * @param refusals the refusals of this VM, and of those through which it is connected
     * @param relay knows the VMs that are connected through this one
     * @param clock the clock
     * @param eventLoop the event loop of the refusals
     */
    public static void exchange(
            VmNetwork network,
            BackendServers servers,
            ServerRefusals refusals,
            ServerRelay relay,
            MonotonicClock clock,
            Executor eventLoop) {
        RefusalNotices notices = new RefusalNotices(network, servers, refusals, relay, clock);
        refusals.onRefused(notices::tell);
        network.registerHandler(MessageKind.SERVER_REFUSAL, (sender, body) -> {
            eventLoop.execute(() -> notices.handle(sender, body));
            return CompletableFuture.completedFuture(ByteString.EMPTY);
        });
    }

    private void tell(BackendServer server, Optional<VmName> refused, Deadline until, boolean isFromAnswer) {
        RefusalNotice.Builder notice = RefusalNotice.newBuilder()
                .setServer(server.name().value())
                .setIncarnation(server.incarnation())
                .setRemainingMillis(until.remainingMillis(clock.nanoTime()))
                .setOfRecipient(refused.isPresent());
        if (refused.isEmpty()) {
            relay.usersOf(server).forEach(user -> send(user, notice));
        } else if (isFromAnswer) {
            send(refused.get(), notice);
        }
    }

    private void send(VmName recipient, RefusalNotice.Builder notice) {
        network.send(recipient, MessageKind.SERVER_REFUSAL, notice.build().toByteString());
    }

    private void handle(VmName sender, ByteString body) {
        try {
            RefusalNotice notice = RefusalNotice.parseFrom(body);
            Optional<VmName> refused = notice.getOfRecipient() ? Optional.empty() : Optional.of(sender);
            servers.current().stream()
                    .filter(server -> server.name().value().equals(notice.getServer())
                            && server.incarnation() == notice.getIncarnation())
                    .forEach(server -> refusals.recordReport(
                            server, refused, Duration.ofMillis(Math.max(0, notice.getRemainingMillis()))));
        } catch (InvalidProtocolBufferException exception) {
            LOGGER.warn("event=refusal-notice-malformed vm={}", sender);
        }
    }
}
