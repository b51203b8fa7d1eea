package org.borageproxy.execution;

import java.time.Duration;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.PoolOptions;

/**
 * The HTTP clients towards backend servers. They run one request per connection at a time, follow no redirects,
 * decompress nothing and never send a request again. A request that must run at most once gets a new connection, so
 * that a stale pooled connection cannot leave its execution in doubt. Immutable and safe for use by any thread.
 *
 * @param pooled reuses connections
 * @param unpooled opens a new connection for each request
 */
public record BackendClients(HttpClient pooled, HttpClient unpooled) {

    /** The time to open a connection. */
    private static final Duration CONNECT_TIME = Duration.ofSeconds(1);
    /** Seconds for which an idle connection is kept, less than servers usually keep theirs. */
    private static final int KEEP_ALIVE_SECONDS = 4;
    /** The largest number of connections to one backend server. */
    private static final int MAXIMUM_CONNECTIONS = 2048;

    /**
     * Creates the clients.
     *
     * @param vertx runs the clients
     * @return the clients
     */
    public static BackendClients of(Vertx vertx) {
        PoolOptions pool =
                new PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS).setMaxWaitQueueSize(MAXIMUM_CONNECTIONS);
        return new BackendClients(
                vertx.createHttpClient(options().setKeepAlive(true), pool),
                vertx.createHttpClient(options().setKeepAlive(false), pool));
    }

    /**
     * Returns the client for a request.
     *
     * @param repeatable whether the request may run more than once
     * @return the client
     */
    public HttpClient forRequest(boolean repeatable) {
        return repeatable ? pooled : unpooled;
    }

    /** Closes the clients. */
    public void close() {
        pooled.close();
        unpooled.close();
    }

    /**
     * Returns the options that both clients share.
     *
     * @return the options
     */
    private static HttpClientOptions options() {
        return new HttpClientOptions()
                .setProtocolVersion(HttpVersion.HTTP_1_1)
                .setHttp2ClearTextUpgrade(false)
                .setPipelining(false)
                .setDecompressionSupported(false)
                .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
                .setConnectTimeout((int) CONNECT_TIME.toMillis());
    }
}
