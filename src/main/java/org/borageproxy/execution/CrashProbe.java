package org.borageproxy.execution;

import java.net.ConnectException;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import org.borageproxy.membership.BackendServer;

/** Finds out whether a backend server is gone. Implementations are safe for use by any event loop. */
@FunctionalInterface
public interface CrashProbe {

    /**
     * Probes a backend server whose connection was cut.
     *
     * @param server the backend server
     * @return {@code true} if nothing listens at its address any more; never fails
     */
    Future<Boolean> isGone(BackendServer server);

    /**
     * Returns a probe that opens a connection. Only a refused connection shows that the server is gone; silence may be
     * a network partition.
     *
     * @param vertx opens the connections
     * @return the probe
     */
    static CrashProbe ofConnections(Vertx vertx) {
        NetClient client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(300));
        return server -> client.connect(server.port(), server.host())
                .compose(socket -> socket.close().map(false).otherwise(false))
                .recover(failure -> Future.succeededFuture(failure instanceof ConnectException
                        && !(failure instanceof io.netty.channel.ConnectTimeoutException)));
    }
}
