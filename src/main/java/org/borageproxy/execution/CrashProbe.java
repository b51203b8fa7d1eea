package org.borageproxy.execution;

import java.net.ConnectException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import org.borageproxy.membership.BackendServer;

/** Checks whether the process of a backend server has stopped. Implementations are safe for use by any event loop. */
@FunctionalInterface
public interface CrashProbe {

    /**
     * Probes a backend server whose connection was lost.
     *
     * @param server the backend server
     * @return {@code true} if nothing listens on its address any more; never fails
     */
    Future<Boolean> hasStopped(BackendServer server);

    /**
     * Returns a probe that opens TCP connections. Only a refused connection proves that the server has stopped; a
     * timeout may be a network partition. Since a stopping process may close its connections before its listening port,
     * the probe retries for a short time.
     *
     * @param vertx runs the connections and timers
     * @return the probe
     */
    static CrashProbe overTcp(Vertx vertx) {
        return new TcpProbe(vertx);
    }

    /**
     * Returns a probe whose finding another VM has to confirm, since a VM that has lost its links to the servers may be
     * refused by all of them.
     *
     * @param probe the probe of this VM
     * @param confirmation returns whether another VM finds the same
     * @return the probe
     */
    static CrashProbe confirmed(CrashProbe probe, Function<BackendServer, CompletionStage<Boolean>> confirmation) {
        return server -> probe.hasStopped(server)
                .compose(hasStopped -> hasStopped
                        ? Future.fromCompletionStage(confirmation.apply(server))
                        : Future.succeededFuture(false));
    }

    /** Probes by opening TCP connections. Safe for use by any event loop. */
    final class TcpProbe implements CrashProbe {

        private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);
        /** The delay before each connection attempt. */
        private static final List<Duration> PROBE_DELAYS =
                List.of(Duration.ZERO, Duration.ofMillis(50), Duration.ofMillis(100), Duration.ofMillis(200));

        private final Vertx vertx;
        private final NetClient client;

        private TcpProbe(Vertx vertx) {
            this.vertx = vertx;
            this.client =
                    vertx.createNetClient(new NetClientOptions().setConnectTimeout((int) CONNECT_TIMEOUT.toMillis()));
        }

        @Override
        public Future<Boolean> hasStopped(BackendServer server) {
            return probe(server, 0);
        }

        private Future<Boolean> probe(BackendServer server, int index) {
            if (index == PROBE_DELAYS.size()) {
                return Future.succeededFuture(false);
            }
            Future<Void> elapsed = PROBE_DELAYS.get(index).isZero()
                    ? Future.succeededFuture()
                    : vertx.timer(PROBE_DELAYS.get(index).toMillis()).mapEmpty();
            return elapsed.compose(nothing -> isConnectionRefused(server))
                    .compose(refused -> refused ? Future.succeededFuture(true) : probe(server, index + 1));
        }

        private Future<Boolean> isConnectionRefused(BackendServer server) {
            return client.connect(server.port(), server.host())
                    .compose(socket -> socket.close().map(false).otherwise(false))
                    .recover(failure -> Future.succeededFuture(
                            failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException)));
        }
    }
}
