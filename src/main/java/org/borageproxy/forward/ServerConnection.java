package org.borageproxy.forward;

import java.time.Duration;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResultProvider;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;

/**
 * One connection to a backend server, which carries one exchange at a time. A connection is used again only after a
 * whole answer to a wholly written request, and closed if anything else arrives on it. Used by its event loop only.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {

    /** Idle connections are given up this long before the server closes them, for the way of a request. */
    private static final Duration KEEP_ALIVE_MARGIN = Duration.ofMillis(400);
    /** How long a connection whose server states no limit may be idle. */
    private static final Duration DEFAULT_KEEP_ALIVE = Duration.ofSeconds(4);

    private static final String TIMEOUT_FIELD = "timeout=";
    private static final int CONTINUE_STATUS = 100;
    private static final int FIRST_FINAL_STATUS = 200;

    private final MonotonicClock clock;
    private final Releaser releaser;
    private Channel channel;
    private Optional<Listener> listener = Optional.empty();
    private Optional<ChannelFuture> written = Optional.empty();
    private boolean reusable;
    private boolean broken;
    private Deadline usableUntil = new Deadline(0);
    private int exchanges;

    /** Takes what arrives on a connection during one exchange. */
    interface Listener {

        /**
         * Takes the head of the answer.
         *
         * @param response the head
         */
        void onHead(HttpResponse response);

        /**
         * Takes bytes of the answer's body.
         *
         * @param bytes the bytes, valid during the call
         */
        void onContent(ByteBuf bytes);

        /** Takes the end of a whole answer; the connection is no longer this exchange's. */
        void onEnd();

        /**
         * Takes the loss of the connection before the end of the answer.
         *
         * @param reason why
         */
        void onFailure(String reason);
    }

    /** Takes connections back. */
    @FunctionalInterface
    interface Releaser {

        /**
         * Takes a connection that may carry another exchange.
         *
         * @param connection the connection
         */
        void release(ServerConnection connection);
    }

    ServerConnection(MonotonicClock clock, Releaser releaser) {
        this.clock = clock;
        this.releaser = releaser;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /**
     * Sends a request.
     *
     * @param request the head, with the length of the body
     * @param body the body
     * @param taker takes the answer
     */
    void send(HttpRequest request, byte[] body, Listener taker) {
        listener = Optional.of(taker);
        reusable = false;
        exchanges++;
        DefaultFullHttpRequest whole = new DefaultFullHttpRequest(
                request.protocolVersion(), request.method(), request.uri(), Unpooled.wrappedBuffer(body));
        whole.headers().set(request.headers());
        written = Optional.of(channel.writeAndFlush(whole));
    }

    /**
     * Tells whether the connection carried an exchange before.
     *
     * @return {@code true} for a connection that was kept
     */
    boolean isReused() {
        return exchanges > 1;
    }

    /**
     * Tells whether the connection may carry another exchange.
     *
     * @param nowNanos the reading of the clock
     * @return {@code false} if it is closed or the server is about to close it
     */
    boolean isUsable(long nowNanos) {
        return channel.isActive() && !broken && !usableUntil.hasPassed(nowNanos);
    }

    /**
     * Pauses or resumes reading.
     *
     * @param reads whether to read on
     */
    void setReading(boolean reads) {
        channel.config().setAutoRead(reads);
    }

    /** Closes the connection; its listener hears nothing more. */
    void close() {
        listener = Optional.empty();
        broken = true;
        channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpObject part) {
                read(part);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject part) {
        boolean malformed = ((DecoderResultProvider) part).decoderResult().isFailure();
        if (malformed || listener.isEmpty() || broken) {
            fail(malformed ? "malformed answer" : "bytes without a request");
            return;
        }
        if (part instanceof HttpResponse response) {
            if (isInterim(response)) {
                return;
            }
            reusable = HttpUtil.isKeepAlive(response)
                    && (HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response));
            usableUntil = Deadline.after(clock.nanoTime(), keepAlive(response));
            listener.get().onHead(response);
        }
        if (part instanceof HttpContent content && listener.isPresent()) {
            if (content.content().isReadable()) {
                listener.get().onContent(content.content());
            }
            if (part instanceof LastHttpContent && listener.isPresent()) {
                end();
            }
        }
    }

    private static boolean isInterim(HttpResponse response) {
        int status = response.status().code();
        return status >= CONTINUE_STATUS && status < FIRST_FINAL_STATUS;
    }

    private static Duration keepAlive(HttpResponse response) {
        String field = response.headers().get(HttpHeaderNames.KEEP_ALIVE, "");
        int start = field.indexOf(TIMEOUT_FIELD);
        if (start < 0) {
            return DEFAULT_KEEP_ALIVE;
        }
        int seconds = 0;
        for (int index = start + TIMEOUT_FIELD.length(); index < field.length(); index++) {
            int digit = Character.digit(field.charAt(index), 10);
            if (digit < 0 || seconds > Short.MAX_VALUE) {
                break;
            }
            seconds = seconds * 10 + digit;
        }
        return Duration.ofSeconds(seconds).minus(KEEP_ALIVE_MARGIN);
    }

    private void end() {
        Listener taker = listener.get();
        listener = Optional.empty();
        boolean requestIsWritten = written.map(ChannelFuture::isSuccess).orElse(false);
        if (reusable && requestIsWritten && channel.isActive()) {
            setReading(true);
            taker.onEnd();
            releaser.release(this);
        } else {
            broken = true;
            channel.close();
            taker.onEnd();
        }
    }

    private void fail(String reason) {
        broken = true;
        Optional<Listener> taker = listener;
        listener = Optional.empty();
        channel.close();
        taker.ifPresent(present -> present.onFailure(reason));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(cause.getClass().getSimpleName() + ": " + cause.getMessage());
    }
}
