package org.borageproxy.forward;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.CoordinationProtocol.RefusalNotice;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells VMs that share their ways to the backend servers which of these want no requests for a time, or leave. The VM
 * that reads an answer is not the one that the server refused if a connection leads through another VM, which passes
 * bytes on unread: that VM is told, and tells all VMs that are connected to the server through it. Not thread safe;
 * confined to the event loop of the refusals.
 */
public final class RefusalNotices {

    private static final Logger LOGGER = LoggerFactory.getLogger(RefusalNotices.class);

    private final VmNetwork network;
    private final ServerRefusals refusals;
    private final ServerRelay relay;
    private final Consumer<BackendServer> leavingListener;

    private RefusalNotices(
            VmNetwork network, ServerRefusals refusals, ServerRelay relay, Consumer<BackendServer> leavingListener) {
        this.network = network;
        this.refusals = refusals;
        this.relay = relay;
        this.leavingListener = leavingListener;
    }

    /**
     * Starts to exchange notices.
     *
     * @param network transport to the other VMs
     * @param refusals the refusals of this VM, and of those through which it is connected
     * @param relay knows the VMs that are connected through this one
     * @param leavingListener receives each server that says that it leaves, once
     * @param eventLoop the event loop of the refusals
     * @return the notices that this VM sends
     */
    public static RefusalNotices exchange(
            VmNetwork network,
            ServerRefusals refusals,
            ServerRelay relay,
            Consumer<BackendServer> leavingListener,
            Executor eventLoop) {
        RefusalNotices notices = new RefusalNotices(network, refusals, relay, leavingListener);
        refusals.onRefused(notices::tell);
        refusals.onLeaving(notices::tellLeaving);
        network.registerHandler(MessageKind.SERVER_REFUSAL, (sender, body) -> {
            eventLoop.execute(() -> notices.handle(sender, body));
            return CompletableFuture.completedFuture(ByteString.EMPTY);
        });
        return notices;
    }

    /**
     * Tells the VMs that are connected to servers through this one to send nothing more that way, since this VM stops.
     *
     * @param until when this VM has stopped
     */
    public void tellStopping(Deadline until) {
        for (BackendServer server : relay.usedServers()) {
            RefusalNotice.Builder notice = refusals.encode(server, until).toBuilder();
            relay.usersOf(server).forEach(user -> send(user, notice));
        }
    }

    private void tell(BackendServer server, Optional<VmName> refused, Deadline until, boolean isFromAnswer) {
        RefusalNotice.Builder notice =
                refusals.encode(server, until).toBuilder().setOfRecipient(refused.isPresent());
        if (refused.isEmpty()) {
            relay.usersOf(server).forEach(user -> send(user, notice));
        } else if (isFromAnswer) {
            send(refused.get(), notice);
        }
    }

    private void tellLeaving(BackendServer server, Optional<VmName> answered) {
        RefusalNotice.Builder notice = refusals.encodeLeaving(server).toBuilder();
        answered.ifPresent(through -> send(through, notice));
        relay.usersOf(server).forEach(user -> send(user, notice));
        leavingListener.accept(server);
    }

    private void send(VmName recipient, RefusalNotice.Builder notice) {
        network.send(recipient, MessageKind.SERVER_REFUSAL, notice.build().toByteString());
    }

    private void handle(VmName sender, ByteString body) {
        try {
            RefusalNotice notice = RefusalNotice.parseFrom(body);
            refusals.recordReport(notice, notice.getOfRecipient() ? Optional.empty() : Optional.of(sender));
        } catch (InvalidProtocolBufferException exception) {
            LOGGER.warn("event=refusal-notice-malformed vm={}", sender);
        }
    }
}
