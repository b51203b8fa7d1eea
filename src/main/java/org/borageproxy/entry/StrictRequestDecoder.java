package org.borageproxy.entry;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Refuses requests with both Content-Length and Transfer-Encoding. The default decoder silently drops Content-Length of
 * such requests. Confined to the connection's event loop.
 */
public final class StrictRequestDecoder extends VertxHttpRequestDecoder {

    /** The name under which Vert.x registers its decoder in the pipeline. */
    private static final String DECODER_NAME = "httpDecoder";

    private StrictRequestDecoder(HttpServerOptions options) {
        super(options);
    }

    /**
     * Replaces the decoder of a new connection. Must be called before any byte is read from it.
     *
     * @param connection the connection
     * @param options the options of the server
     */
    public static void install(HttpConnection connection, HttpServerOptions options) {
        ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
        pipeline.replace(DECODER_NAME, DECODER_NAME, new StrictRequestDecoder(options));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new AmbiguousFramingException();
    }
}
