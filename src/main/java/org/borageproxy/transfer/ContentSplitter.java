package org.borageproxy.transfer;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;

/**
 * Splits contents at positions that depend only on the bytes before them, so that contents which differ in a few places
 * share most of their chunks. The table and the bounds are the same in all builds: another split would make the chunks
 * that VMs keep useless. Not instantiable.
 */
final class ContentSplitter {

    /** Maximum size of a chunk in bytes. */
    static final int MAXIMUM_BYTES = 32 << 10;

    private static final int MINIMUM_BYTES = 2 << 10;

    /** Bits of the rolling hash that are zero at the end of a chunk: one position in 8,192. */
    private static final long END_MASK = 0x1FFFL << 48;

    private static final long[] TABLE = createTable();

    private ContentSplitter() {}

    private static long[] createTable() {
        long[] table = new long[256];
        for (int value = 0; value < table.length; value++) {
            long mixed = (value + 1) * 0x9E3779B97F4A7C15L;
            mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
            mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
            table[value] = mixed ^ (mixed >>> 31);
        }
        return table;
    }

    /**
     * Splits a content.
     *
     * @param content the content
     * @return the chunks in order; none for an empty content
     */
    static List<ByteString> split(ByteString content) {
        byte[] bytes = content.toByteArray();
        List<ByteString> chunks = new ArrayList<>();
        int start = 0;
        while (start < bytes.length) {
            int end = endOfChunk(bytes, start);
            chunks.add(content.substring(start, end));
            start = end;
        }
        return chunks;
    }

    /** Returns the end of the chunk that begins at a position: the hash covers the last 64 bytes before it. */
    private static int endOfChunk(byte[] bytes, int start) {
        int last = Math.min(bytes.length, start + MAXIMUM_BYTES);
        long hash = 0;
        for (int position = Math.min(start + MINIMUM_BYTES - Long.SIZE, last); position < last; position++) {
            hash = (hash << 1) + TABLE[bytes[position] & 0xFF];
            if (position >= start + MINIMUM_BYTES && (hash & END_MASK) == 0) {
                return position + 1;
            }
        }
        return last;
    }
}
