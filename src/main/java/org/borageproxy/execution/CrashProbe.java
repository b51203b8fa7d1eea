package org.borageproxy.execution;

import java.net.ConnectException;
import java.time.Duration;
import java.util.List;

import io.netty.channel.ConnectTimeoutException;
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
    Future<Boolean> hasStopped(BackendServer server);

    /**
     * Returns a probe that opens connections. Only a refused connection shows that the server is gone; silence may be a
     * network partition. A dying process may close its connections before its port, so that the probe looks again after
     * a while.
     *
     * @param vertx opens the connections
     * @return the probe
     */
    static CrashProbe overTcp(Vertx vertx) {
        return new TcpProbe(vertx);
    }

    /** Opens connections. Safe for use by any event loop. */
    final class TcpProbe implements CrashProbe {

        /** The time to open a connection. */
        private static final Duration CONNECT_TIME = Duration.ofMillis(300);
        /** The pauses before looks. */
        private static final List<Duration> PAUSES =
                List.of(Duration.ZERO, Duration.ofMillis(50), Duration.ofMillis(100), Duration.ofMillis(200));

        /** Runs timers. */
        private final Vertx vertx;
        /** Opens the connections. */
        private final NetClient client;

        /**
         * Creates a probe.
         *
         * @param vertx opens the connections
         */
        private TcpProbe(Vertx vertx) {
            this.vertx = vertx;
            this.client =
                    vertx.createNetClient(new NetClientOptions().setConnectTimeout((int) CONNECT_TIME.toMillis()));
        }

        @Override
        public Future<Boolean> hasStopped(BackendServer server) {
            return look(server, 0);
        }

        /**
         * Looks, and looks again if the server still listens.
         *
         * @param server the backend server
         * @param number the number of the look, from zero
         * @return {@code true} if a look was refused
         */
        private Future<Boolean> look(BackendServer server, int number) {
            if (number == PAUSES.size()) {
                return Future.succeededFuture(false);
            }
            Future<Void> paused = PAUSES.get(number).isZero()
                    ? Future.succeededFuture()
                    : vertx.timer(PAUSES.get(number).toMillis()).mapEmpty();
            return paused.compose(nothing -> isRefused(server))
                    .compose(refused -> refused ? Future.succeededFuture(true) : look(server, number + 1));
        }

        /**
         * Tells whether the server refuses a connection.
         *
         * @param server the backend server
         * @return {@code true} if it does
         */
        private Future<Boolean> isRefused(BackendServer server) {
            return client.connect(server.port(), server.host())
                    .compose(socket -> socket.close().map(false).otherwise(false))
                    .recover(failure -> Future.succeededFuture(
                            failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException)));
        }
    }
}
