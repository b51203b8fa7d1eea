package org.borageproxy.wire;

import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.FrameProtocol.Frame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The accepting end of a connection between two VMs: checks the other end's proof, then hands its messages to the
 * handlers and sends their answers back. One instance serves one channel and is used on its event loop only.
 */
final class AcceptedConnection extends SimpleChannelInboundHandler<Frame> {

    /** The log of connections. */
    private static final Logger LOGGER = LoggerFactory.getLogger(AcceptedConnection.class);

    /** Makes the frames. */
    private final Frames frames;
    /** Finds the handlers of messages. */
    private final MessageHandlers handlers;
    /** The challenge to the other end. */
    private final byte[] challenge = PeerCredential.challenge();
    /** The other end once it has proved itself, otherwise {@code null}. */
    private VmName peer;

    /**
     * Creates the accepting end.
     *
     * @param frames makes the frames
     * @param handlers finds the handlers of messages
     */
    AcceptedConnection(Frames frames, MessageHandlers handlers) {
        this.frames = frames;
        this.handlers = handlers;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (frame.getForm() == Frame.Form.HELLO) {
            handshake(context, frame);
            return;
        }
        if (peer == null) {
            LOGGER.warn(
                    "event=peer-refused reason=no-proof remote={}",
                    context.channel().remoteAddress());
            context.close();
            return;
        }
        frames.observe(frame);
        receive(context, frame);
    }

    /**
     * Handles a frame of the handshake.
     *
     * @param context the channel's context
     * @param frame the frame
     */
    private void handshake(ChannelHandlerContext context, Frame frame) {
        if (frame.getProof().isEmpty()) {
            context.writeAndFlush(frames.proof(Frames.ACCEPTING_SIDE, frame.getNonce(), challenge));
            return;
        }
        if (!frames.proves(Frames.DIALING_SIDE, challenge, frame)) {
            LOGGER.warn(
                    "event=peer-refused reason=wrong-proof remote={}",
                    context.channel().remoteAddress());
            context.close();
            return;
        }
        peer = new VmName(frame.getSender());
    }

    /**
     * Handles a frame of a peer that has proved itself.
     *
     * @param context the channel's context
     * @param frame the frame
     */
    private void receive(ChannelHandlerContext context, Frame frame) {
        switch (frame.getForm()) {
            case ONE_WAY -> handlers.dispatch(peer, frame);
            case REQUEST -> answer(context, frame);
            case PING -> context.writeAndFlush(frames.bare(Frame.Form.PONG));
            default -> LOGGER.warn("event=frame-ignored form={} peer={}", frame.getForm(), peer);
        }
    }

    /**
     * Answers a request once its handler is done.
     *
     * @param context the channel's context
     * @param frame the request
     */
    private void answer(ChannelHandlerContext context, Frame frame) {
        CompletionStage<ByteString> answer = handlers.dispatch(peer, frame);
        answer.whenComplete((body, failure) -> {
            Frame.Form form = failure == null ? Frame.Form.RESPONSE : Frame.Form.FAILURE;
            ByteString content = failure == null ? body : ByteString.EMPTY;
            context.writeAndFlush(frames.message(form, frame.getKind(), frame.getCorrelation(), content));
        });
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (event instanceof IdleStateEvent) {
            context.close();
            return;
        }
        super.userEventTriggered(context, event);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.debug("event=connection-failed side=accepting peer={}", peer, cause);
        context.close();
    }
}
