package org.borageproxy.answer;

import java.util.Optional;

import io.netty.buffer.ByteBuf;

/**
 * Checks the bytes of the answers on one connection, one answer after another, without keeping more than one line of
 * them. Stricter than a decoder, which accepts much that only a faulty server sends. Once a byte does not belong to an
 * answer, no further answer is read: where the next one begins is unknown. Not thread safe.
 */
public final class AnswerReader {

    /** Largest line of a head, of trailers and of the framing of chunks, without its end. */
    public static final int MAX_LINE_BYTES = 8 << 10;
    /** Largest head, and largest trailers. */
    public static final int MAX_HEAD_BYTES = 64 << 10;
    /** Number of interim answers after which an answer counts as malformed. */
    static final int MAX_INTERIM_ANSWERS = 16;
    /** Hexadecimal digits of the largest size of a chunk that the decoder accepts without overflow. */
    private static final int MAX_CHUNK_SIZE_DIGITS = 7;

    /** Largest capacity of the line buffer that an idle connection keeps. */
    private static final int MAX_KEPT_LINE_BYTES = 1 << 10;

    private static final int SWITCHING_PROTOCOLS_STATUS = 101;
    private static final int NO_CONTENT_STATUS = 204;
    private static final int NOT_MODIFIED_STATUS = 304;
    private static final int FIRST_FINAL_STATUS = 200;

    private Part part = Part.NONE;
    private StringBuilder line = new StringBuilder();
    private boolean hasCarriageReturn;
    private AnswerHead head = new AnswerHead();
    private boolean isAnswerToHead;
    private int headBytes;
    private int interimCount;
    private long remainingBytes;
    private final StatusScan statusScan = new StatusScan();
    private Optional<String> fault = Optional.empty();

    /** What the next byte is part of. */
    private enum Part {
        NONE,
        STATUS_LINE,
        FIELDS,
        BODY_WITH_LENGTH,
        BODY_UNTIL_END,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS
    }

    /**
     * Expects the answer to a request that is about to be sent. The answer before must have ended.
     *
     * @param isHeadRequest whether the method of the request is HEAD, to which no body is sent
     */
    public void begin(boolean isHeadRequest) {
        isAnswerToHead = isHeadRequest;
        interimCount = 0;
        beginHead();
    }

    private void beginHead() {
        part = Part.STATUS_LINE;
        head = new AnswerHead();
        headBytes = 0;
    }

    /**
     * Reads bytes that arrived, without changing the indices of the buffer.
     *
     * @param bytes the bytes
     * @return the number of bytes that belong to the expected answer; fewer than there are exactly if {@link #fault} is
     *     set
     */
    public int read(ByteBuf bytes) {
        int start = bytes.readerIndex();
        int end = bytes.writerIndex();
        int index = start;
        while (index < end && fault.isEmpty()) {
            switch (part) {
                case NONE -> fault = Optional.of("data received without a request in flight");
                case BODY_UNTIL_END -> {
                    if (statusScan.find(bytes, index, end)) {
                        setMalformed("second answer within a body without a length");
                    } else {
                        index = end;
                    }
                }
                case BODY_WITH_LENGTH, CHUNK -> {
                    int count = (int) Math.min(remainingBytes, end - index);
                    index += count;
                    remainingBytes -= count;
                    if (remainingBytes == 0) {
                        part = part == Part.CHUNK ? Part.CHUNK_END : Part.NONE;
                    }
                }
                default -> {
                    readLineByte(bytes.getByte(index));
                    index += fault.isEmpty() ? 1 : 0;
                }
            }
        }
        return index - start;
    }

    private void readLineByte(byte next) {
        if (hasCarriageReturn) {
            hasCarriageReturn = false;
            if (next != '\n') {
                setMalformed("line not ended by CR LF");
                return;
            }
            String ended = line.toString();
            line.setLength(0);
            if (line.capacity() > MAX_KEPT_LINE_BYTES) {
                line = new StringBuilder();
            }
            readLine(ended);
        } else if (next == '\r') {
            hasCarriageReturn = true;
        } else if (!AnswerHead.isText(next)) {
            setMalformed("control character");
        } else if (line.length() >= MAX_LINE_BYTES) {
            setMalformed("line too long");
        } else {
            line.append((char) (next & 0xff));
            if (part == Part.STATUS_LINE && !AnswerHead.mayBeginStatusLine(line)) {
                setMalformed("no status line");
            }
        }
    }

    private void readLine(String text) {
        switch (part) {
            case STATUS_LINE -> {
                if (head.readStatusLine(text)) {
                    part = Part.FIELDS;
                } else {
                    setMalformed("no status line");
                }
            }
            case FIELDS -> readField(text);
            case CHUNK_SIZE -> readChunkSize(text);
            case CHUNK_END -> {
                part = Part.CHUNK_SIZE;
                if (!text.isEmpty()) {
                    setMalformed("chunk longer than its size");
                }
            }
            default -> readTrailer(text);
        }
    }

    private boolean countLine(String text) {
        headBytes += text.length() + 2;
        if (headBytes > MAX_HEAD_BYTES) {
            setMalformed("fields too long");
        }
        return fault.isEmpty();
    }

    private void readField(String text) {
        if (!countLine(text)) {
            return;
        }
        if (text.isEmpty()) {
            endHead();
        } else {
            head.readField(text).ifPresent(this::setMalformed);
        }
    }

    private void readTrailer(String text) {
        if (!countLine(text)) {
            return;
        }
        if (text.isEmpty()) {
            part = Part.NONE;
        } else if (!AnswerHead.isField(text)) {
            setMalformed("malformed trailer");
        }
    }

    private void endHead() {
        int status = head.status();
        if (status == SWITCHING_PROTOCOLS_STATUS) {
            setMalformed("protocol switched without a request for it");
        } else if (status < FIRST_FINAL_STATUS) {
            interimCount++;
            beginHead();
            if (interimCount > MAX_INTERIM_ANSWERS) {
                setMalformed("too many interim responses");
            }
        } else if (head.isLengthAmbiguous()) {
            setMalformed("length together with chunks");
        } else if (isAnswerToHead || status == NO_CONTENT_STATUS || status == NOT_MODIFIED_STATUS) {
            part = Part.NONE;
        } else if (head.isChunked()) {
            part = Part.CHUNK_SIZE;
        } else if (head.length().isPresent()) {
            remainingBytes = head.length().getAsLong();
            part = remainingBytes == 0 ? Part.NONE : Part.BODY_WITH_LENGTH;
        } else {
            part = Part.BODY_UNTIL_END;
            statusScan.begin();
        }
    }

    private void readChunkSize(String text) {
        int digits = 0;
        long size = 0;
        while (digits < text.length() && isHexadecimal(text.charAt(digits))) {
            size = size * 16 + Character.digit(text.charAt(digits), 16);
            digits++;
            if (digits > MAX_CHUNK_SIZE_DIGITS) {
                setMalformed("chunk too long");
                return;
            }
        }
        boolean isFollowedByExtension = digits < text.length() && text.charAt(digits) == ';';
        if (digits == 0 || digits < text.length() && !isFollowedByExtension) {
            setMalformed("malformed size of a chunk");
        } else if (size == 0) {
            headBytes = 0;
            part = Part.TRAILERS;
        } else {
            remainingBytes = size;
            part = Part.CHUNK;
        }
    }

    private static boolean isHexadecimal(char digit) {
        return digit < 0x80 && Character.digit(digit, 16) >= 0;
    }

    private void setMalformed(String reason) {
        fault = Optional.of("malformed answer: " + reason);
    }

    /**
     * Returns why the connection carries no further answer.
     *
     * @return the reason, for logs; empty if all bytes belonged to answers
     */
    public Optional<String> fault() {
        return fault;
    }

    /**
     * Returns whether the expected answer has ended.
     *
     * @param hasInputEnded whether the server has ended the connection, which also ends an answer without a length
     * @return {@code true} for a whole answer, also if bytes followed it; {@code false} for a body without a length
     *     that ends with the begin of a second answer
     */
    public boolean isWhole(boolean hasInputEnded) {
        return part == Part.NONE || part == Part.BODY_UNTIL_END && hasInputEnded && !statusScan.endsWithin();
    }
}
