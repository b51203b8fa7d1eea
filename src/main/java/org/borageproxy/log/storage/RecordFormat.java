package org.borageproxy.log.storage;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.wire.proto.LogProtocol.Record;

/**
 * The layout of a record in a segment file: magic number, payload length, checksum of length and payload, payload.
 * Stateless and thread safe.
 */
final class RecordFormat {

    /** The first four bytes of each record, "BRGL". */
    private static final int MAGIC = 0x4252474C;

    /** The size of magic number, length and checksum. */
    static final int HEADER_BYTES = 3 * Integer.BYTES;

    private RecordFormat() {}

    static byte[] encode(Record record) {
        byte[] payload = record.toByteArray();
        ByteBuffer bytes = ByteBuffer.allocate(HEADER_BYTES + payload.length);
        bytes.putInt(MAGIC).putInt(payload.length);
        bytes.putInt(checksum(payload.length, ByteBuffer.wrap(payload))).put(payload);
        return bytes.array();
    }

    /**
     * Decodes the record at an offset of a file's content.
     *
     * @return the record, or empty if no complete and intact record starts there
     */
    static Optional<Record> decode(ByteBuffer bytes, int offset) {
        if (bytes.limit() - offset < HEADER_BYTES || bytes.getInt(offset) != MAGIC) {
            return Optional.empty();
        }
        int length = bytes.getInt(offset + Integer.BYTES);
        if (length < 0 || length > bytes.limit() - offset - HEADER_BYTES) {
            return Optional.empty();
        }
        ByteBuffer payload = bytes.slice(offset + HEADER_BYTES, length);
        if (checksum(length, payload.duplicate()) != bytes.getInt(offset + 2 * Integer.BYTES)) {
            return Optional.empty();
        }
        try {
            return Optional.of(Record.parseFrom(payload));
        } catch (InvalidProtocolBufferException exception) {
            return Optional.empty();
        }
    }

    /** Returns the offset after the intact record at an offset. */
    static int endOffset(ByteBuffer bytes, int offset) {
        return offset + HEADER_BYTES + bytes.getInt(offset + Integer.BYTES);
    }

    private static int checksum(int length, ByteBuffer payload) {
        CRC32C checksum = new CRC32C();
        checksum.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).flip());
        checksum.update(payload);
        return (int) checksum.getValue();
    }
}
