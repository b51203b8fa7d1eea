package org.borageproxy.wire;

import java.util.concurrent.CompletableFuture;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.timeout.IdleStateEvent;
import org.borageproxy.wire.proto.FrameProtocol.Frame;

/**
 * Performs the handshake of the dialing end, passes received frames to the connection, and sends a ping after each
 * period in which no frame was received since the last one was sent. After several such periods in a row the channel is
 * closed. A channel on which nothing was sent costs no messages. One instance serves one channel and is confined to its
 * event loop.
 */
final class DialingHandler extends ChannelDuplexHandler {

    private static final int MAX_IDLE_PERIODS = 3;

    private final Frames frames;
    private final FrameReceiver connection;
    private final CompletableFuture<Channel> ready;
    /** The nonce that the peer has to sign. */
    private final byte[] challenge = PeerCredential.newChallenge();
    /** Periods without received bytes since the last ones were received. */
    private int idlePeriods;
    /** Whether a frame was sent and none was received since. */
    private boolean isAwaitingFrame;

    /**
     * Creates the handler of a new channel.
     *
     * @param frames creates and verifies frames
     * @param connection the connection that receives the channel's frames
     * @param ready completed with the channel once the peer is authenticated, or with the failure
     */
    DialingHandler(Frames frames, FrameReceiver connection, CompletableFuture<Channel> ready) {
        this.frames = frames;
        this.connection = connection;
        this.ready = ready;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.writeAndFlush(frames.hello(challenge));
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        isAwaitingFrame = true;
        context.write(message, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof Frame frame) {
            read(context, frame);
        } else {
            context.fireChannelRead(message);
        }
    }

    /** Bytes have arrived, if not a whole frame: a large one may take several periods. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        idlePeriods = 0;
        context.fireChannelReadComplete();
    }

    private void read(ChannelHandlerContext context, Frame frame) {
        idlePeriods = 0;
        isAwaitingFrame = false;
        if (frame.getForm() == Frame.Form.HELLO) {
            handshake(context, frame);
            return;
        }
        if (frame.getForm() != Frame.Form.PONG && ready.isDone()) {
            connection.onFrame(frame);
        }
    }

    /**
     * Verifies the peer's name and proof, and sends the proof of this VM.
     *
     * @param context the channel's context
     * @param frame the frame with the peer's proof and challenge
     */
    private void handshake(ChannelHandlerContext context, Frame frame) {
        boolean expected = frame.getSender().equals(connection.peer().value());
        if (!expected || !frames.hasValidProof(Frames.ACCEPTING_SIDE, challenge, frame)) {
            ready.completeExceptionally(new UnreachableException("Authentication failed for " + connection.peer()));
            context.close();
            return;
        }
        context.writeAndFlush(frames.proof(Frames.DIALING_SIDE, frame.getNonce(), new byte[0]));
        ready.complete(context.channel());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (!(event instanceof IdleStateEvent)) {
            super.userEventTriggered(context, event);
            return;
        }
        if (!isAwaitingFrame) {
            return;
        }
        idlePeriods++;
        if (idlePeriods >= MAX_IDLE_PERIODS) {
            context.close();
        } else {
            context.writeAndFlush(frames.empty(Frame.Form.PING));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        ready.completeExceptionally(new UnreachableException("Connection closed by " + connection.peer()));
        connection.onChannelClosed(context.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        ready.completeExceptionally(cause);
        context.close();
    }
}
