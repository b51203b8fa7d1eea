package org.borageproxy.execution;

import java.time.Duration;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.PoolOptions;

/**
 * The HTTP clients for backend servers. They send one request per connection at a time, follow no redirects, do not
 * decompress responses and never resend a request. A request that must run at most once uses a new connection, since
 * the loss of a stale pooled connection would leave its execution unknown. Immutable and thread safe.
 *
 * @param pooled reuses connections
 * @param unpooled opens a new connection for each request
 */
public record BackendClients(HttpClient pooled, HttpClient unpooled) {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    /** Shorter than the usual keep-alive timeout of servers, so that the client closes idle connections first. */
    private static final int IDLE_TIMEOUT_SECONDS = 4;
    /** The limit for each backend server. */
    private static final int MAXIMUM_CONNECTIONS = 2048;

    /**
     * Creates the clients.
     *
     * @param vertx the Vert.x instance that runs the clients
     * @return the clients
     */
    public static BackendClients of(Vertx vertx) {
        PoolOptions pool =
                new PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS).setMaxWaitQueueSize(MAXIMUM_CONNECTIONS);
        return new BackendClients(
                vertx.createHttpClient(sharedOptions().setKeepAlive(true), pool),
                vertx.createHttpClient(sharedOptions().setKeepAlive(false), pool));
    }

    /**
     * Selects the client for a request.
     *
     * @param repeatable whether the request may run more than once
     * @return the pooled client for a repeatable request, the unpooled client otherwise
     */
    public HttpClient forRequest(boolean repeatable) {
        return repeatable ? pooled : unpooled;
    }

    /** Closes the clients and their connections. */
    public void close() {
        pooled.close();
        unpooled.close();
    }

    private static HttpClientOptions sharedOptions() {
        return new HttpClientOptions()
                .setProtocolVersion(HttpVersion.HTTP_1_1)
                .setHttp2ClearTextUpgrade(false)
                .setPipelining(false)
                .setDecompressionSupported(false)
                .setKeepAliveTimeout(IDLE_TIMEOUT_SECONDS)
                .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis());
    }
}
