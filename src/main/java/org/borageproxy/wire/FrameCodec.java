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
 * Translates frames to and from bytes: a length of four bytes, then the protobuf form. One instance serves one channel
 * and is used on its event loop only.
 */
final class FrameCodec extends MessageToMessageCodec<ByteBuf, Frame> {

    /** The largest frame in bytes. */
    static final int LARGEST_FRAME_BYTES = 16 * 1024 * 1024;
    /** The length of the length field in bytes. */
    private static final int LENGTH_BYTES = 4;

    /**
     * Adds the handlers that turn bytes into frames and back.
     *
     * @param pipeline the channel's pipeline
     */
    static void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new LengthFieldBasedFrameDecoder(LARGEST_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
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
