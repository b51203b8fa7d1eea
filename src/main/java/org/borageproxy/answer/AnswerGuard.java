package org.borageproxy.answer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import io.netty.util.ReferenceCountUtil;

/**
 * Stands before the decoder of a connection to a backend server and passes on only bytes that belong to the expected
 * answer, so that nothing of one answer remains in the decoder when the next one begins. Fires a
 * {@link MalformedAnswerException} at the first other byte and drops what follows. Not thread safe; confined to the
 * event loop of the channel.
 */
public final class AnswerGuard extends ChannelInboundHandlerAdapter {

    private static final byte[] ANSWER_BEGIN = {'H', 'T', 'T', 'P', '/', '1', '.'};

    private final AnswerReader reader = new AnswerReader();
    private boolean isFaultFired;

    /** Reports bytes that are no part of an answer. */
    public static final class MalformedAnswerException extends DecoderException {

        private static final long serialVersionUID = 1;

        MalformedAnswerException(String reason) {
            super(reason);
        }
    }

    /** Creates a guard that expects no answer. */
    public AnswerGuard() {
        // The reader is created with the guard.
    }

    /**
     * Expects the answer to a request that is about to be sent.
     *
     * @param isHeadRequest whether the method of the request is HEAD
     */
    public void expectAnswer(boolean isHeadRequest) {
        reader.begin(isHeadRequest);
    }

    /**
     * Returns whether all bytes on the connection belonged to answers.
     *
     * @return {@code false} if the connection must not carry another exchange
     */
    public boolean isSound() {
        return reader.fault().isEmpty();
    }

    /**
     * Returns whether the expected answer has ended.
     *
     * @param hasInputEnded whether the server has ended the connection, which also ends an answer without a length
     * @return {@code true} for a whole answer, also if bytes followed it
     */
    public boolean hasAnswerEnded(boolean hasInputEnded) {
        return reader.isWhole(hasInputEnded);
    }

    /** Returns whether the bytes after an answer may be the begin of another one, as of a whole copy of it. */
    private static boolean beginsAnswer(ByteBuf bytes, int offset) {
        int start = bytes.readerIndex() + offset;
        int count = Math.min(ANSWER_BEGIN.length, bytes.writerIndex() - start);
        for (int index = 0; index < count; index++) {
            if (bytes.getByte(start + index) != ANSWER_BEGIN[index]) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof ByteBuf bytes)) {
            context.fireChannelRead(message);
            return;
        }
        int length = isFaultFired ? 0 : reader.read(bytes);
        if (reader.fault().isPresent() && reader.isWhole(false) && !beginsAnswer(bytes, length)) {
            // The last bytes may be the begin of a copy that follows a part of the body.
            length = 0;
        }
        if (length > 0) {
            bytes.writerIndex(bytes.readerIndex() + length);
            context.fireChannelRead(bytes);
        } else {
            ReferenceCountUtil.release(bytes);
        }
        if (!isFaultFired && reader.fault().isPresent()) {
            isFaultFired = true;
            context.fireExceptionCaught(
                    new MalformedAnswerException(reader.fault().get()));
        }
    }
}
