package org.borageproxy.forward;

import java.util.Optional;

import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpRequest;
import org.borageproxy.buffer.Reservation;
import org.borageproxy.membership.BackendServer;

/**
 * Accounts for the copies of bodies that lie in direct memory until backend servers have taken them. Stateless; its
 * methods are called on the event loop of the account.
 */
final class ServerWrites {

    private ServerWrites() {}

    /**
     * Sends a request, and accounts for its body until that is written or the connection is closed. From now on the
     * request is not refused to make room for others.
     *
     * @param context the collaborators of forwarding
     * @param buffered the request
     * @param server the server
     * @param connection a connection to the server
     * @param relayedEvent the identity of the last event that was relayed; empty if there is none
     * @param listener receives the answer
     */
    static void send(
            ForwardContext context,
            BufferedRequest buffered,
            BackendServer server,
            ServerConnection connection,
            Optional<String> relayedEvent,
            ServerConnection.Listener listener) {
        buffered.reservation().forbidEviction();
        HttpRequest head = ForwardedHead.of(context, buffered, server, relayedEvent);
        ChannelFuture written = connection.send(
                head,
                buffered.body().bytes(),
                () -> buffered.identityPath().map(path -> context.protocol().identityCheck(server.name(), path)),
                listener);
        if (written.isDone() || buffered.body().length() == 0) {
            return;
        }
        Reservation copy =
                context.buffers().open(buffered.owner().withServer(server.name().value()));
        copy.record(buffered.body().length());
        written.addListener(done -> copy.release());
    }

    /**
     * Returns whether the server takes the bodies of other requests so slowly that no more may be buffered for it.
     *
     * @param context the collaborators of forwarding
     * @param buffered the request
     * @param server the server
     * @return the reason for which the request is not sent there, for logs; empty if it may be sent
     */
    static Optional<String> obstacle(ForwardContext context, BufferedRequest buffered, BackendServer server) {
        return context.buffers()
                        .hasRoomFor(
                                buffered.reservation(),
                                server.name().value(),
                                buffered.body().length())
                ? Optional.empty()
                : Optional.of("server takes the bodies of other requests too slowly");
    }
}
