package org.borageproxy.wire;

import java.util.List;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.MessageToMessageCodec;
import org.borageproxy.wire.proto.FrameProtocol.Frame;

/**
 * Encodes frames as a length field of four bytes followed by the protobuf message, and decodes them. One instance
 * serves one channel and is confined to its event loop.
 */
final class FrameCodec extends MessageToMessageCodec<ByteBuf, Frame> {

    /** Bounds the memory that a peer can make this VM allocate for one frame; a longer one fails the channel. */
    static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

    private static final int LENGTH_FIELD_BYTES = 4;

    /**
     * Adds the handlers that convert between bytes and frames.
     *
     * @param pipeline the channel's pipeline
     */
    static void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
        pipeline.addLast(new FrameCodec());
    }

    @Override
    protected void encode(ChannelHandlerContext context, Frame frame, List<Object> output) {
        output.add(Unpooled.wrappedBuffer(frame.toByteArray()));
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> output)
            throws InvalidProtocolBufferException {
        byte[] bytes = ByteBufUtil.getBytes(buffer);
        output.add(Frame.parseFrom(UnsafeByteOperations.unsafeWrap(bytes)));
    }
}
