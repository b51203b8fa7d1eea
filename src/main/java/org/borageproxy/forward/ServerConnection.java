package org.borageproxy.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderResultProvider;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.borageproxy.answer.AnswerGuard;
import org.borageproxy.liveness.IdentityCheck;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;

/**
 * One connection to a backend server, which carries one exchange at a time. A connection is reused only after a
 * complete answer to a completely written request; it is closed if data arrives that belongs to no answer, for which a
 * guard stands before the decoder. Not thread safe; confined to its event loop.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {

    /** Subtracted from a stated keep-alive timeout, to allow for the transit time of a request. */
    private static final Duration KEEP_ALIVE_MARGIN = Duration.ofMillis(400);
    /**
     * Assumed keep-alive timeout of a server that states none; counted, like a stated one, from the head of an answer.
     */
    private static final Duration DEFAULT_KEEP_ALIVE = Duration.ofSeconds(4);

    private static final String TIMEOUT_FIELD = "timeout=";
    private static final int CONTINUE_STATUS = 100;
    private static final int FIRST_FINAL_STATUS = 200;
    /** Time after the end of a connection within which a reset that follows it arrives. */
    private static final Duration RESET_DELAY = Duration.ofMillis(20);
    /** An empty line, which a server ignores where a request may begin. */
    private static final byte[] EMPTY_LINE = {'\r', '\n'};

    private final MonotonicClock clock;
    private final Releaser releaser;
    private final ServerLinks links;
    private final BackendServer server;
    private final Optional<VmName> relay;
    private final InputEnd inputEnd;
    private final AnswerGuard guard;
    private final Function<IdentityCheck, CompletionStage<Void>> endCheck;
    private Channel channel;
    private Optional<Listener> listener = Optional.empty();
    private Optional<ChannelFuture> written = Optional.empty();
    private boolean isReusable;
    /** Whether the answer has neither a length nor chunks, so that it ends with the connection. */
    private boolean isUnframed;
    /** Whether the answer is complete if the server still runs, which is being checked. */
    private boolean isEndChecked;
    /** Supplies the check of the current exchange; empty if the server cannot be asked for its name. */
    private Supplier<Optional<IdentityCheck>> identityCheck = Optional::empty;

    private boolean isBroken;
    private Deadline usableUntil = new Deadline(0);
    private int exchangeCount;
    private boolean isReadingInterim;
    private boolean hasReceived;

    /** Receives the answer of one exchange. No method is called after {@link #onEnd} or {@link #onFailure}. */
    interface Listener {

        /**
         * Called with the head of the answer; interim responses are skipped.
         *
         * @param response the head
         */
        void onHead(HttpResponse response);

        /**
         * Called with a part of the answer's body.
         *
         * @param bytes the bytes, not empty and valid only during the call
         */
        void onContent(ByteBuf bytes);

        /** Called at the end of a complete answer; the connection must no longer be used for this exchange. */
        void onEnd();

        /**
         * Called if the connection failed before the end of the answer.
         *
         * @param reason the reason, for logs
         */
        void onFailure(String reason);

        /** Called if the answer may never arrive, since the links of this VM to the servers are lost. */
        default void onLinksLost() {}
    }

    /** Receives reusable connections. */
    @FunctionalInterface
    interface Releaser {

        /**
         * Called with a connection that may carry another exchange.
         *
         * @param connection the idle connection
         */
        void release(ServerConnection connection);
    }

    /**
     * The collaborators of a connection.
     *
     * @param clock the monotonic clock
     * @param releaser receives the connection when it may carry another exchange
     * @param links the links of this VM to the servers
     * @param endCheck confirms that the server still runs after it has ended the connection; fails if nothing shows it
     */
    record Environment(
            MonotonicClock clock,
            Releaser releaser,
            ServerLinks links,
            Function<IdentityCheck, CompletionStage<Void>> endCheck) {}

    ServerConnection(
            Environment environment,
            BackendServer server,
            Optional<VmName> relay,
            InputEnd inputEnd,
            AnswerGuard guard) {
        this.inputEnd = inputEnd;
        this.guard = guard;
        this.clock = environment.clock();
        this.releaser = environment.releaser();
        this.links = environment.links();
        this.endCheck = environment.endCheck();
        this.server = server;
        this.relay = relay;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /**
     * Sends a request. The previous exchange must have ended.
     *
     * @param request the head, with the length of the body
     * @param body the whole body
     * @param newIdentityCheck supplies the question that the server must answer if its answer has no length; empty if
     *     there is none, so that such an answer is never complete
     * @param newListener receives the answer
     * @return completes when the request is written or the connection is closed
     */
    ChannelFuture send(
            HttpRequest request,
            byte[] body,
            Supplier<Optional<IdentityCheck>> newIdentityCheck,
            Listener newListener) {
        listener = Optional.of(newListener);
        identityCheck = newIdentityCheck;
        isReusable = false;
        exchangeCount++;
        hasReceived = false;
        guard.expectAnswer(request.method().equals(HttpMethod.HEAD));
        if (relay.isEmpty()) {
            links.recordWaiting(this);
        }
        DefaultFullHttpRequest fullRequest = new DefaultFullHttpRequest(
                request.protocolVersion(), request.method(), request.uri(), Unpooled.wrappedBuffer(body));
        fullRequest.headers().set(request.headers());
        ChannelFuture newlyWritten = channel.writeAndFlush(fullRequest);
        written = Optional.of(newlyWritten);
        return newlyWritten;
    }

    /**
     * Returns whether the connection carried an exchange before the current one.
     *
     * @return {@code true} for a reused connection
     */
    boolean isReused() {
        return exchangeCount > 1;
    }

    /**
     * Returns the VM through which the connection leads, which is the one that the server answers.
     *
     * @return empty for a direct connection
     */
    Optional<VmName> relay() {
        return relay;
    }

    /**
     * Returns whether the connection leads to the server while the links of this VM are as they are.
     *
     * @return {@code false} for a direct connection while the links are lost, and for one through a VM of which the
     *     server wants no requests
     */
    boolean isReachable() {
        return relay.isPresent() ? links.refusals().accepts(server, relay) : !links.areLost();
    }

    /** Tells the listener that the answer may never arrive. */
    void handleLostLinks() {
        listener.ifPresent(Listener::onLinksLost);
    }

    /**
     * Returns whether the connection may carry another exchange.
     *
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return {@code false} if it is closed or the server is about to close it
     */
    boolean isUsable(long nowNanos) {
        return channel.isActive() && !isBroken && !usableUntil.hasPassed(nowNanos);
    }

    /**
     * Pauses or resumes reading from the server.
     *
     * @param isReading {@code false} to apply backpressure
     */
    void setReading(boolean isReading) {
        channel.config().setAutoRead(isReading);
    }

    /** Closes the connection without notifying the listener. */
    void close() {
        listener = Optional.empty();
        isBroken = true;
        links.recordEnded(this);
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

    private void recordReceived() {
        hasReceived = true;
        if (relay.isEmpty()) {
            links.recordReceived();
        }
    }

    private void read(HttpObject part) {
        recordReceived();
        boolean isMalformed = ((DecoderResultProvider) part).decoderResult().isFailure();
        if (isMalformed || listener.isEmpty() || isBroken) {
            fail(isMalformed ? "malformed answer" : "data received without a request in flight");
            return;
        }
        if (part instanceof HttpResponse response) {
            isReadingInterim = isInterim(response);
            if (isReadingInterim) {
                return;
            }
            isUnframed = !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response);
            isReusable = HttpUtil.isKeepAlive(response) && !isUnframed;
            usableUntil = Deadline.after(clock.nanoTime(), keepAlive(response));
            listener.get().onHead(response);
        }
        // The decoder also marks the end of an interim response.
        if (part instanceof HttpContent content && listener.isPresent() && !isReadingInterim) {
            if (content.content().isReadable()) {
                listener.get().onContent(content.content());
            }
            if (part instanceof LastHttpContent && listener.isPresent()) {
                if (isCut()) {
                    fail("connection lost within an answer without a length");
                } else if (!guard.hasAnswerEnded(inputEnd.isOrderly())) {
                    fail("answer ended within a second one");
                } else if (isUnframed && inputEnd.isOrderly()) {
                    endAfterCheck();
                } else {
                    end();
                }
            }
        }
    }

    /**
     * Returns whether an answer ended with its connection although the server did not end it, or before the server can
     * have read the request. A server that is killed with unread bytes resets its connections, which can fail the write
     * of the request before it is read.
     */
    private boolean isCut() {
        boolean hasConnectionEnded = inputEnd.isOrderly() || !channel.isActive();
        return isUnframed && hasConnectionEnded && !(inputEnd.isOrderly() && isRequestWritten());
    }

    private boolean isRequestWritten() {
        return written.map(ChannelFuture::isSuccess).orElse(false);
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

    /**
     * Ends an answer that ended with its connection, once it is known that the server still runs: the connections of a
     * server that is killed end in the same way.
     */
    private void endAfterCheck() {
        Optional<IdentityCheck> check = identityCheck.get();
        if (check.isEmpty()) {
            fail("nothing confirms the end of an answer without a length");
            return;
        }
        isEndChecked = true;
        Deadline resetKnownAt = Deadline.after(clock.nanoTime(), RESET_DELAY);
        endCheck.apply(check.get()).whenComplete((confirmed, failure) -> {
            if (listener.isPresent() && failure != null) {
                fail("end of an answer without a length is not confirmed: " + failure.getMessage());
            } else if (listener.isPresent()) {
                links.schedule(resetKnownAt, this::endUnlessReset);
            }
        });
    }

    private void endUnlessReset() {
        if (listener.isEmpty()) {
            return;
        }
        if (isReset()) {
            fail("connection reset after the end of an answer without a length");
        } else {
            end();
        }
    }

    /** Returns whether the server has reset the connection since its end, which only a write shows. */
    private boolean isReset() {
        ChannelFuture probe = channel.pipeline().firstContext().writeAndFlush(Unpooled.copiedBuffer(EMPTY_LINE));
        return probe.isDone() && !probe.isSuccess();
    }

    private void end() {
        links.recordEnded(this);
        Listener endedListener = listener.get();
        listener = Optional.empty();
        identityCheck = Optional::empty;
        if (isReusable && guard.isSound() && isRequestWritten() && channel.isActive()) {
            setReading(true);
            endedListener.onEnd();
            releaser.release(this);
        } else {
            isBroken = true;
            channel.close();
            endedListener.onEnd();
        }
    }

    private void fail(String reason) {
        isBroken = true;
        links.recordEnded(this);
        Optional<Listener> failedListener = listener;
        listener = Optional.empty();
        if (failedListener.isPresent() && !hasReceived && relay.isEmpty()) {
            links.recordDirectFailure(server);
        }
        channel.close();
        failedListener.ifPresent(present -> present.onFailure(reason));
    }

    /** The connection carries nothing more once the server has ended its output. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent && !isEndChecked) {
            fail("connection closed");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (!isEndChecked) {
            fail("connection closed");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof AnswerGuard.MalformedAnswerException) {
            recordReceived();
            fail(cause.getMessage());
        } else {
            fail(cause.getClass().getSimpleName() + ": " + cause.getMessage());
        }
    }
}
