package org.borageproxy.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import org.borageproxy.drain.ServerEligibility;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServers;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.StreamDeclinedException;
import org.borageproxy.wire.UnreachableException;
import org.borageproxy.wire.VmStreams;
import org.borageproxy.wire.proto.CoordinationProtocol.RefusalNotice;
import org.borageproxy.wire.proto.CoordinationProtocol.RelayRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connects other VMs, whose links to the backend servers are lost, to announced servers. What they send is not read
 * here. Does not connect while the links of this VM are lost or it stops, nor to servers that want no requests of it.
 * Not thread safe; confined to the event loop of the links.
 */
public final class ServerRelay implements VmStreams.Acceptor {

    private static final Logger LOGGER = LoggerFactory.getLogger(ServerRelay.class);

    private final BackendServers servers;
    private final ServerLinks links;
    private final BooleanSupplier isStopping;
    private ServerEligibility eligibility = ServerEligibility.ANY;
    private final List<Connection> connections = new ArrayList<>();

    /** A connection of another VM to a server. */
    private record Connection(VmName user, BackendServerName server, Channel channel) {}

    /**
     * Creates a relay.
     *
     * @param servers the announced servers
     * @param links the links of this VM to the servers
     * @param isStopping whether this VM stops, so that connections through it would be cut
     */
    public ServerRelay(BackendServers servers, ServerLinks links, BooleanSupplier isStopping) {
        this.servers = servers;
        this.links = links;
        this.isStopping = isStopping;
    }

    /**
     * Restricts the servers to which other VMs are connected.
     *
     * @param rules decides for each server; asked for each connection
     */
    public void restrict(ServerEligibility rules) {
        eligibility = rules;
    }

    /**
     * Returns whether other VMs can be connected.
     *
     * @return {@code false} if their requests are refused
     */
    public boolean isAvailable() {
        return !links.areLost() && !isStopping.getAsBoolean();
    }

    /**
     * Returns the number of connections of other VMs.
     *
     * @return the number of open connections, idle ones included
     */
    public int openCount() {
        return connections.size();
    }

    /** Returns the announced servers to which other VMs are connected through this one. */
    List<BackendServer> usedServers() {
        return servers.current().stream()
                .filter(server -> !usersOf(server).isEmpty())
                .toList();
    }

    /**
     * Returns the VMs that are connected to a server through this one.
     *
     * @param server the server
     * @return the VMs, each once
     */
    Set<VmName> usersOf(BackendServer server) {
        return connections.stream()
                .filter(connection -> connection.server().equals(server.name()))
                .map(Connection::user)
                .collect(Collectors.toSet());
    }

    @Override
    public CompletionStage<Channel> accept(VmName sender, ByteString request, EventLoop eventLoop) {
        Optional<BackendServer> server = find(sender, request).filter(found -> eligibility.mayReceive(found, Set.of()));
        if (server.isEmpty() || !isAvailable()) {
            return CompletableFuture.failedFuture(new UnreachableException("No connection for " + sender));
        }
        Optional<RefusalNotice> refusal = links.refusals().noticeOf(server.get());
        if (refusal.isPresent()) {
            return CompletableFuture.failedFuture(
                    new StreamDeclinedException(refusal.get().toByteString()));
        }
        CompletableFuture<Channel> accepted = new CompletableFuture<>();
        links.openDirectly(server.get()).whenComplete((channel, failure) -> {
            if (failure == null) {
                Connection connection = new Connection(sender, server.get().name(), channel);
                connections.add(connection);
                channel.closeFuture().addListener(closed -> connections.remove(connection));
                accepted.complete(channel);
                return;
            }
            links.recordDirectFailure(server.get());
            // A refusal says nothing about the server if this VM is refused by several.
            accepted.completeExceptionally(
                    links.areLost() ? new UnreachableException("Links of this VM are lost") : failure);
        });
        return accepted;
    }

    private Optional<BackendServer> find(VmName sender, ByteString request) {
        try {
            RelayRequest relayRequest = RelayRequest.parseFrom(request);
            return servers.current().stream()
                    .filter(server -> server.name().value().equals(relayRequest.getServer())
                            && server.incarnation() == relayRequest.getIncarnation())
                    .findFirst();
        } catch (InvalidProtocolBufferException exception) {
            LOGGER.warn("event=relay-malformed vm={}", sender);
            return Optional.empty();
        }
    }
}
