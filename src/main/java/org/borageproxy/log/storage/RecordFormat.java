package org.borageproxy.log.storage;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.wire.proto.LogProtocol.Record;

/**
 * The layout of a record in a segment file: magic number, length, checksum of length and payload, payload. Stateless
 * and thread safe.
 */
final class RecordFormat {

    /** The first bytes of each record. */
    private static final int MAGIC = 0x4252474C;

    /** The bytes before the payload. */
    static final int HEADER_BYTES = 3 * Integer.BYTES;

    /** Not instantiated. */
    private RecordFormat() {}

    /**
     * Encodes a record.
     *
     * @param record the record
     * @return the bytes for the file
     */
    static byte[] encode(Record record) {
        byte[] payload = record.toByteArray();
        ByteBuffer bytes = ByteBuffer.allocate(HEADER_BYTES + payload.length);
        bytes.putInt(MAGIC).putInt(payload.length);
        bytes.putInt(checksum(payload.length, ByteBuffer.wrap(payload))).put(payload);
        return bytes.array();
    }

    /**
     * Decodes the record at an offset.
     *
     * @param bytes the content of the file
     * @param offset where the record begins
     * @return the record, or empty if none is whole there
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

    /**
     * Returns where the record after a whole one begins.
     *
     * @param bytes the content of the file
     * @param offset where the whole record begins
     * @return the offset after it
     */
    static int endOffset(ByteBuffer bytes, int offset) {
        return offset + HEADER_BYTES + bytes.getInt(offset + Integer.BYTES);
    }

    /**
     * Computes the checksum of a record.
     *
     * @param length the length of the payload
     * @param payload the payload
     * @return the checksum
     */
    private static int checksum(int length, ByteBuffer payload) {
        CRC32C checksum = new CRC32C();
        checksum.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).flip());
        checksum.update(payload);
        return (int) checksum.getValue();
    }
}
