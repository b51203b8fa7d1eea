package org.borageproxy.forward;

import java.util.Optional;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.borageproxy.liveness.EndConfirmation;

/** Asks a backend server for its name over a connection. Not thread safe; confined to one event loop. */
final class IdentityExchange implements EndConfirmation.Link {

    private static final byte[] NO_BODY = {};

    private final ServerConnection connection;

    /**
     * Creates an exchange.
     *
     * @param connection a connection without another exchange
     */
    IdentityExchange(ServerConnection connection) {
        this.connection = connection;
    }

    @Override
    public void ask(HttpRequest request, Consumer<HttpResponse> onHead, Consumer<String> onFailure) {
        connection.send(request, NO_BODY, Optional::empty, new ServerConnection.Listener() {
            @Override
            public void onHead(HttpResponse response) {
                onHead.accept(response);
            }

            @Override
            public void onContent(ByteBuf bytes) {
                // Only the head is of interest.
            }

            @Override
            public void onEnd() {
                // The confirmation has closed the connection at the head.
            }

            @Override
            public void onFailure(String reason) {
                onFailure.accept(reason);
            }
        });
    }

    @Override
    public void close() {
        connection.close();
    }
}
