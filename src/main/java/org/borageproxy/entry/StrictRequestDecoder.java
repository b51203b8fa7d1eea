package org.borageproxy.entry;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Decodes requests and refuses those with both Content-Length and Transfer-Encoding, of which the usual decoder drops
 * the former without a trace. Confined to the connection's event loop.
 */
public final class StrictRequestDecoder extends VertxHttpRequestDecoder {

    /** The name of the decoder in the pipeline of a connection. */
    private static final String NAME = "httpDecoder";

    /**
     * Creates a decoder.
     *
     * @param options the options of the server
     */
    private StrictRequestDecoder(HttpServerOptions options) {
        super(options);
    }

    /**
     * Replaces the decoder of a new connection, before any byte was read from it.
     *
     * @param connection the connection
     * @param options the options of the server
     */
    public static void install(HttpConnection connection, HttpServerOptions options) {
        ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
        pipeline.replace(NAME, NAME, new StrictRequestDecoder(options));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new AmbiguousFramingException();
    }
}
