package org.borageproxy.log.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.borageproxy.wire.proto.LogProtocol.Record;

/**
 * Reads segment files. A batch that was not written whole at the end of the last segment was never acknowledged and is
 * left out; any other damage is a fault. Stateless and thread safe.
 */
final class SegmentReader {

    /**
     * The whole batches of a segment.
     *
     * @param records the records in order
     * @param validBytes the length of the file up to the end of the last whole batch
     */
    record Content(List<Record> records, long validBytes) {}

    /** Not instantiated. */
    private SegmentReader() {}

    /**
     * Reads a segment.
     *
     * @param path the file
     * @param last whether it is the last segment
     * @param previousBatch the number of the last batch in earlier segments
     * @return the content
     * @throws IOException if the file is damaged
     */
    static Content read(Path path, boolean last, long previousBatch) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(path));
        List<Record> whole = new ArrayList<>();
        List<Record> open = new ArrayList<>();
        int wholeEnd = 0;
        int offset = 0;
        Optional<Record> next = RecordFormat.decode(bytes, offset);
        while (next.isPresent()) {
            Record record = next.get();
            if (record.getPosition() != open.size()) {
                throw StorageException.damaged(path, offset, "records are out of order");
            }
            open.add(record);
            offset = RecordFormat.endOffset(bytes, offset);
            if (open.size() == record.getBatchSize()) {
                whole.addAll(open);
                open.clear();
                wholeEnd = offset;
            }
            next = RecordFormat.decode(bytes, offset);
        }
        if (wholeEnd < bytes.limit()) {
            long wholeBatch = whole.isEmpty()
                    ? previousBatch
                    : whole.get(whole.size() - 1).getBatch();
            checkTail(path, bytes, offset, last, wholeBatch + 1);
        }
        return new Content(List.copyOf(whole), wholeEnd);
    }

    /**
     * Refuses damage that a crash during the last write does not explain.
     *
     * @param path the file
     * @param bytes its content
     * @param offset the first byte that is not part of a whole record
     * @param last whether it is the last segment
     * @param damagedBatch the number of the batch that is not whole
     * @throws IOException if the damage lies before a later batch
     */
    private static void checkTail(Path path, ByteBuffer bytes, int offset, boolean last, long damagedBatch)
            throws IOException {
        if (!last) {
            throw StorageException.damaged(path, offset, "a record is damaged and a later segment exists");
        }
        for (int later = offset + 1; later < bytes.limit() - RecordFormat.HEADER_BYTES; later++) {
            Optional<Record> record = RecordFormat.decode(bytes, later);
            if (record.isPresent() && record.get().getBatch() > damagedBatch) {
                throw StorageException.damaged(path, offset, "a record is damaged and a later one is whole");
            }
        }
    }
}
