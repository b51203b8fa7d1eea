package org.borageproxy.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Refuses requests with both Content-Length and Transfer-Encoding. The default decoder silently drops Content-Length of
 * such requests. Closes a connection on which bytes arrive for a head that has not ended in time; this needs no timer,
 * since a connection on which nothing arrives is closed when it has been idle too long. Confined to the connection's
 * event loop.
 */
public final class StrictRequestDecoder extends VertxHttpRequestDecoder {

    /** The name under which Vert.x registers its decoder in the pipeline. */
    private static final String DECODER_NAME = "httpDecoder";

    private static final Logger LOGGER = LoggerFactory.getLogger(StrictRequestDecoder.class);
    /** Timeout of heads where another one, on the connection, applies. */
    private static final Duration NO_TIMEOUT = Duration.ofDays(1);

    private final MonotonicClock clock;
    private final HeadTimeout headTimeout;
    /** The time at which a head must have ended; empty while none is being read. */
    private Optional<Deadline> headDeadline = Optional.empty();

    private boolean isReadingBody;

    /** The time in which the head of a request must arrive. */
    @FunctionalInterface
    public interface HeadTimeout {

        /**
         * Returns the deadline of a head whose first bytes arrive now.
         *
         * @param nowNanos the clock reading in nanoseconds
         * @return the deadline
         */
        Deadline deadline(long nowNanos);
    }

    StrictRequestDecoder(HttpServerOptions options, HeadTimeout headTimeout, MonotonicClock clock) {
        super(options);
        this.headTimeout = headTimeout;
        this.clock = clock;
    }

    /**
     * Replaces the decoder of a new connection. Must be called before any byte is read from it.
     *
     * @param connection the connection
     * @param options the options of the server
     */
    public static void install(HttpConnection connection, HttpServerOptions options) {
        install(connection, options, nowNanos -> Deadline.after(nowNanos, NO_TIMEOUT), MonotonicClock.ofSystem());
    }

    /**
     * Replaces the decoder of a new connection. Must be called before any byte is read from it.
     *
     * @param connection the connection
     * @param options the options of the server
     * @param headTimeout the time in which each head must arrive
     * @param clock the clock
     */
    public static void install(
            HttpConnection connection, HttpServerOptions options, HeadTimeout headTimeout, MonotonicClock clock) {
        ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
        pipeline.replace(DECODER_NAME, DECODER_NAME, new StrictRequestDecoder(options, headTimeout, clock));
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) throws Exception {
        int firstIndex = out.size();
        boolean hasBytes = bytes.isReadable();
        super.decode(context, bytes, out);
        for (Object part : out.subList(firstIndex, out.size())) {
            isReadingBody = !(part instanceof LastHttpContent);
            headDeadline = Optional.empty();
        }
        if (hasBytes && out.size() == firstIndex && !isReadingBody) {
            closeIfOverdue(context);
        }
    }

    private void closeIfOverdue(ChannelHandlerContext context) {
        long nowNanos = clock.nanoTime();
        if (headDeadline.isEmpty()) {
            headDeadline = Optional.of(headTimeout.deadline(nowNanos));
        } else if (headDeadline.get().hasPassed(nowNanos)) {
            LOGGER.info("event=head-incomplete remote={}", context.channel().remoteAddress());
            context.close();
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new AmbiguousFramingException();
    }
}
