package org.borageproxy.entry;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.timeout.IdleStateHandler;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Writes chunks of an answer's body straight to the caller's connection, each as a single buffer. The way through
 * Vert.x costs a stream of small events several times as much: a queue, an encoder and three buffers for each chunk. A
 * chunk must be written only while Vert.x has nothing left to write, since it would overtake that; what Vert.x writes
 * later follows. Confined to the connection's event loop.
 */
public final class ChunkWriter {

    /** The name under which Vert.x registers its encoder in the pipeline. */
    private static final String ENCODER_NAME = "httpEncoder";
    /** Length of the longest size line, with the ends of two lines. */
    private static final int FRAMING_BYTES = 12;

    private static final int OK = 200;
    private static final byte[] LINE_END = {HttpConstants.CR, HttpConstants.LF};

    private final ChannelHandlerContext encoder;
    /** Closes idle connections, and sees only what passes it. */
    private final Optional<IdleStateHandler> idleHandler;

    private ChunkWriter(ChannelHandlerContext encoder, Optional<IdleStateHandler> idleHandler) {
        this.encoder = encoder;
        this.idleHandler = idleHandler;
    }

    /**
     * Returns a writer for an answer whose head was written.
     *
     * @param request the request
     * @return empty if the body is not sent in chunks
     */
    public static Optional<ChunkWriter> of(HttpServerRequest request) {
        HttpServerResponse response = request.response();
        boolean isChunked = response.isChunked()
                && response.getStatusCode() == OK
                && request.version() == HttpVersion.HTTP_1_1
                && !request.method().equals(HttpMethod.HEAD);
        if (!isChunked || !(request.connection() instanceof ConnectionBase connection)) {
            return Optional.empty();
        }
        ChannelPipeline pipeline = connection.channel().pipeline();
        return Optional.ofNullable(pipeline.context(ENCODER_NAME))
                .map(encoder -> new ChunkWriter(encoder, Optional.ofNullable(pipeline.get(IdleStateHandler.class))));
    }

    /**
     * Writes a chunk.
     *
     * @param bytes the content, not empty; consumed
     * @return completes when the connection has passed the chunk on or was closed
     */
    public ChannelFuture write(ByteBuf bytes) {
        int size = bytes.readableBytes();
        ByteBuf chunk = encoder.alloc().directBuffer(size + FRAMING_BYTES);
        ByteBufUtil.writeAscii(chunk, Integer.toHexString(size));
        chunk.writeBytes(LINE_END).writeBytes(bytes).writeBytes(LINE_END);
        ChannelFuture written = encoder.writeAndFlush(chunk);
        if (idleHandler.isPresent()) {
            if (written.isSuccess()) {
                idleHandler.get().resetWriteTimeout();
            } else {
                written.addListener(this::recordWritten);
            }
        }
        return written;
    }

    private void recordWritten(io.netty.util.concurrent.Future<? super Void> written) {
        if (written.isSuccess()) {
            idleHandler.ifPresent(IdleStateHandler::resetWriteTimeout);
        }
    }
}
