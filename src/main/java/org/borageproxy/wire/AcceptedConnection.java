package org.borageproxy.wire;

import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.FrameProtocol.Frame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The accepting end of a connection between two VMs. It authenticates the peer by a challenge and a proof, dispatches
 * the peer's messages to the handlers and sends back their answers. A channel on which a message arrives before the
 * peer is authenticated, or on which no frame arrives within the idle timeout, is closed. One instance serves one
 * channel and is confined to its event loop.
 */
final class AcceptedConnection extends SimpleChannelInboundHandler<Frame> {

    private static final Logger LOGGER = LoggerFactory.getLogger(AcceptedConnection.class);

    private final Frames frames;
    private final MessageHandlers handlers;
    private final VmStreams.Acceptor streamAcceptor;
    /** The nonce that the peer has to sign. */
    private final byte[] challenge = PeerCredential.newChallenge();
    /** The authenticated peer, {@code null} before the handshake is complete. */
    private VmName peer;

    /**
     * Creates the handler of a new channel.
     *
     * @param frames creates and verifies frames
     * @param handlers the message handlers of this VM
     * @param streamAcceptor connects to the targets of streams
     */
    AcceptedConnection(Frames frames, MessageHandlers handlers, VmStreams.Acceptor streamAcceptor) {
        this.frames = frames;
        this.handlers = handlers;
        this.streamAcceptor = streamAcceptor;
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
     * Answers the peer's first frame with the proof and a challenge of this VM, and verifies the proof in its second
     * one.
     *
     * @param context the channel's context
     * @param frame the frame
     */
    private void handshake(ChannelHandlerContext context, Frame frame) {
        if (frame.getProof().isEmpty()) {
            context.writeAndFlush(frames.proof(Frames.ACCEPTING_SIDE, frame.getNonce(), challenge));
            return;
        }
        if (!frames.hasValidProof(Frames.DIALING_SIDE, challenge, frame)) {
            LOGGER.warn(
                    "event=peer-refused reason=wrong-proof remote={}",
                    context.channel().remoteAddress());
            context.close();
            return;
        }
        peer = new VmName(frame.getSender());
    }

    /**
     * Handles a frame of the authenticated peer.
     *
     * @param context the channel's context
     * @param frame the frame
     */
    private void receive(ChannelHandlerContext context, Frame frame) {
        switch (frame.getForm()) {
            case ONE_WAY -> handlers.dispatch(peer, frame);
            case REQUEST -> {
                if (frame.getKind() == MessageKind.STREAM.number()) {
                    openStream(context, frame);
                } else {
                    answer(context, frame);
                }
            }
            case PING -> context.writeAndFlush(frames.empty(Frame.Form.PONG));
            default -> LOGGER.warn("event=frame-ignored form={} peer={}", frame.getForm(), peer);
        }
    }

    /**
     * Connects to the target of a stream and joins the connections, or sends the failure.
     *
     * @param context the channel's context
     * @param frame the request
     */
    private void openStream(ChannelHandlerContext context, Frame frame) {
        Channel channel = context.channel();
        streamAcceptor
                .accept(peer, frame.getBody(), channel.eventLoop())
                .whenComplete((target, failure) -> channel.eventLoop().execute(() -> {
                    if (failure == null) {
                        // The joined channels must carry no further frames, so that this one is written before.
                        channel.writeAndFlush(frames.message(
                                        Frame.Form.RESPONSE, frame.getKind(), frame.getCorrelation(), ByteString.EMPTY))
                                .addListener(written -> StreamJoint.join(channel, target));
                        return;
                    }
                    channel.writeAndFlush(frames.message(
                            Frame.Form.FAILURE,
                            frame.getKind(),
                            frame.getCorrelation(),
                            StreamOpening.describe(failure)));
                }));
    }

    /**
     * Dispatches a request and sends the answer or the failure when its handler completes. The cause of a failure is
     * not sent.
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
