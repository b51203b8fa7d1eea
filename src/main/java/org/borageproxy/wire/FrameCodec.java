package org.borageproxy.wire;

import java.util.List;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.TooLongFrameException;
import org.borageproxy.wire.proto.FrameProtocol.Frame;

/**
 * Encodes frames as a length field of four bytes followed by the protobuf message, and decodes them. A single handler
 * does both, and a frame is a single buffer, because each further handler and buffer costs CPU time for every message.
 * One instance serves one channel and is confined to its event loop.
 */
final class FrameCodec extends ByteToMessageCodec<Frame> {

    /** Bounds the memory that a peer can make this VM allocate for one frame; a longer one fails the channel. */
    static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

    private static final int LENGTH_FIELD_BYTES = 4;

    FrameCodec() {
        super(Frame.class);
    }

    @Override
    protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf output) {
        byte[] bytes = frame.toByteArray();
        output.ensureWritable(LENGTH_FIELD_BYTES + bytes.length);
        output.writeInt(bytes.length).writeBytes(bytes);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output)
            throws InvalidProtocolBufferException {
        if (input.readableBytes() < LENGTH_FIELD_BYTES) {
            return;
        }
        int length = input.getInt(input.readerIndex());
        if (length < 0 || length > MAX_FRAME_BYTES - LENGTH_FIELD_BYTES) {
            input.skipBytes(input.readableBytes());
            throw new TooLongFrameException("frame of " + Integer.toUnsignedString(length) + " bytes");
        }
        if (input.readableBytes() < LENGTH_FIELD_BYTES + length) {
            return;
        }
        byte[] bytes = new byte[length];
        input.skipBytes(LENGTH_FIELD_BYTES).readBytes(bytes);
        output.add(Frame.parseFrom(UnsafeByteOperations.unsafeWrap(bytes)));
    }
}
