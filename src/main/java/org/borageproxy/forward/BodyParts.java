package org.borageproxy.forward;

import java.util.ArrayList;
import java.util.List;

/**
 * Parts of a body that is being received. Small parts are copied into common blocks, so that a body takes up at most
 * twice its size, however small its parts are: an array for each part of one byte would take up 24 times its size. Not
 * thread safe.
 */
final class BodyParts {

    private static final int MAX_SHARED_BLOCK_BYTES = 8 << 10;

    private final List<byte[]> blocks = new ArrayList<>(1);
    /** Bytes of the last block that are not in use. */
    private int room;

    private int size;

    /** Adds a part, which must not be modified afterwards. */
    void add(byte[] part) {
        int fitting = Math.min(room, part.length);
        append(part, 0, fitting);
        int rest = part.length - fitting;
        if (rest == 0) {
            return;
        }
        int sharedBlockBytes = Math.min(size, MAX_SHARED_BLOCK_BYTES);
        if (fitting == 0 && rest >= sharedBlockBytes) {
            blocks.add(part);
            size += rest;
        } else {
            room = Math.max(rest, sharedBlockBytes);
            blocks.add(new byte[room]);
            append(part, fitting, rest);
        }
    }

    private void append(byte[] part, int start, int length) {
        if (length > 0) {
            byte[] last = blocks.get(blocks.size() - 1);
            System.arraycopy(part, start, last, last.length - room, length);
            room -= length;
            size += length;
        }
    }

    /** Returns the whole body and keeps nothing. */
    byte[] take() {
        byte[] body = blocks.size() == 1 && room == 0 ? blocks.get(0) : joined();
        clear();
        return body;
    }

    private byte[] joined() {
        byte[] body = new byte[size];
        int end = 0;
        for (byte[] block : blocks) {
            int length = Math.min(block.length, size - end);
            System.arraycopy(block, 0, body, end, length);
            end += length;
        }
        return body;
    }

    /** Drops all parts. */
    void clear() {
        blocks.clear();
        room = 0;
        size = 0;
    }
}
