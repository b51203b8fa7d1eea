package org.borageproxy.wire;

import java.util.concurrent.CompletableFuture;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import org.borageproxy.wire.proto.FrameProtocol.Frame;

/**
 * Runs the handshake of the dialing end, then hands answers to the connection, and pings while nothing is read. A
 * channel on which several pings stay without answer is closed. Used on the channel's event loop only.
 */
final class DialingHandler extends SimpleChannelInboundHandler<Frame> {

    /** The number of idle periods after which the channel is closed. */
    private static final int MOST_IDLE_PERIODS = 3;

    /** Makes the frames. */
    private final Frames frames;
    /** The connection that uses the channel. */
    private final DialedConnection connection;
    /** Completes when the other end has proved itself. */
    private final CompletableFuture<Channel> ready;
    /** The challenge to the other end. */
    private final byte[] challenge = PeerCredential.challenge();
    /** Idle periods since a frame was read. */
    private int idlePeriods;

    /**
     * Creates a handler.
     *
     * @param frames makes the frames
     * @param connection the connection that uses the channel
     * @param ready completes when the other end has proved itself
     */
    DialingHandler(Frames frames, DialedConnection connection, CompletableFuture<Channel> ready) {
        this.frames = frames;
        this.connection = connection;
        this.ready = ready;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.writeAndFlush(frames.hello(challenge));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        idlePeriods = 0;
        if (frame.getForm() == Frame.Form.HELLO) {
            handshake(context, frame);
            return;
        }
        if (frame.getForm() != Frame.Form.PONG && ready.isDone()) {
            connection.receive(frame);
        }
    }

    /**
     * Checks the other end and proves this one.
     *
     * @param context the channel's context
     * @param frame the other end's proof
     */
    private void handshake(ChannelHandlerContext context, Frame frame) {
        boolean expected = frame.getSender().equals(connection.peer().value());
        if (!expected || !frames.proves(Frames.ACCEPTING_SIDE, challenge, frame)) {
            ready.completeExceptionally(new UnreachableException("Wrong proof from " + connection.peer()));
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
        idlePeriods++;
        if (idlePeriods >= MOST_IDLE_PERIODS) {
            context.close();
        } else {
            context.writeAndFlush(frames.bare(Frame.Form.PING));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        ready.completeExceptionally(new UnreachableException("Connection closed by " + connection.peer()));
        connection.closed(context.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        ready.completeExceptionally(cause);
        context.close();
    }
}
