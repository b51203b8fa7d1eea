package org.borageproxy.answer;

import io.netty.buffer.ByteBuf;

/**
 * Finds a whole status line, or the begin of one at the end, in a body that ends with its connection, where nothing
 * else tells a second copy of the answer from the rest of the body. A body that quotes an answer in text has other line
 * ends and is not affected, unless it ends with the quoted status line. The line may be split between reads. Not thread
 * safe.
 */
final class StatusScan {

    /** A status line up to its code; a nought stands for any digit. */
    private static final byte[] PATTERN = {'H', 'T', 'T', 'P', '/', '0', '.', '0', ' ', '0', '0', '0'};
    /** Length of the begin of a status line that is found at the end of a body. */
    private static final int VERSION_BYTES = 5;
    /** Largest reason after the code. */
    private static final int MAX_REASON_BYTES = 32;

    private int matched;
    private int reasonBytes;
    private boolean hasCarriageReturn;

    /** Begins a body. */
    void begin() {
        reset();
    }

    private void reset() {
        matched = 0;
        reasonBytes = 0;
        hasCarriageReturn = false;
    }

    /**
     * Reads bytes of the body.
     *
     * @param bytes the bytes, whose indices are not changed
     * @param start the index of the first byte
     * @param end the index after the last byte
     * @return whether the body holds a whole status line
     */
    boolean find(ByteBuf bytes, int start, int end) {
        for (int index = start; index < end; index++) {
            if (read(bytes.getByte(index))) {
                return true;
            }
        }
        return false;
    }

    private boolean read(byte value) {
        if (matched < PATTERN.length) {
            readPattern(value);
            return false;
        }
        if (hasCarriageReturn && value == '\n') {
            return true;
        }
        boolean isReason = AnswerHead.isText(value) || value == '\r';
        reasonBytes++;
        if (hasCarriageReturn || !isReason || reasonBytes > MAX_REASON_BYTES) {
            reset();
            readPattern(value);
        } else {
            hasCarriageReturn = value == '\r';
        }
        return false;
    }

    private void readPattern(byte value) {
        if (matches(value, PATTERN[matched])) {
            matched++;
        } else {
            matched = value == PATTERN[0] ? 1 : 0;
        }
    }

    private static boolean matches(byte value, byte expected) {
        return expected == '0' ? value >= '0' && value <= '9' : value == expected;
    }

    /**
     * Returns whether the body read so far ends within a status line.
     *
     * @return {@code true} if it may end with a part of a second copy of the answer
     */
    boolean endsWithin() {
        return matched >= VERSION_BYTES;
    }
}
