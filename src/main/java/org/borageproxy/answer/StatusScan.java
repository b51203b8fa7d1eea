package org.borageproxy.answer;

import io.netty.buffer.ByteBuf;

/**
 * Finds the begin of a status line in the bytes of a body that ends with its connection, where nothing else tells a
 * second copy of the answer from the rest of the body. The line may be split between reads. Not thread safe.
 */
final class StatusScan {

    /** A status line up to its code; a nought stands for any digit. */
    private static final byte[] PATTERN = {'H', 'T', 'T', 'P', '/', '0', '.', '0', ' ', '0', '0', '0'};

    private int matched;

    /** Begins a body. */
    void begin() {
        matched = 0;
    }

    /**
     * Reads bytes of the body.
     *
     * @param bytes the bytes, whose indices are not changed
     * @param start the index of the first byte
     * @param end the index after the last byte
     * @return whether a status line has begun in the body
     */
    boolean find(ByteBuf bytes, int start, int end) {
        for (int index = start; index < end && matched < PATTERN.length; index++) {
            byte value = bytes.getByte(index);
            if (matches(value, PATTERN[matched])) {
                matched++;
            } else {
                matched = value == PATTERN[0] ? 1 : 0;
            }
        }
        return matched == PATTERN.length;
    }

    private static boolean matches(byte value, byte expected) {
        return expected == '0' ? value >= '0' && value <= '9' : value == expected;
    }
}
