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
 * Reads segment files. An incomplete batch at the end of the last segment was never acknowledged and is discarded; any
 * other damage is a fault. Stateless and thread safe.
 */
final class SegmentReader {

    /**
     * The complete batches of a segment.
     *
     * @param records the records in order
     * @param validBytes the length of the file up to the end of the last complete batch
     */
    record Content(List<Record> records, long validBytes) {}

    private SegmentReader() {}

    /**
     * Reads a segment.
     *
     * @param path the segment file
     * @param isLastSegment whether it is the last segment
     * @param previousBatch the number of the last batch in earlier segments
     * @throws StorageException if the file is damaged
     */
    static Content read(Path path, boolean isLastSegment, long previousBatch) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(path));
        List<Record> complete = new ArrayList<>();
        List<Record> incomplete = new ArrayList<>();
        int completeEnd = 0;
        int offset = 0;
        Optional<Record> next = RecordFormat.decode(bytes, offset);
        while (next.isPresent()) {
            Record record = next.get();
            if (record.getPosition() != incomplete.size()) {
                throw StorageException.damaged(path, offset, "records are out of order");
            }
            incomplete.add(record);
            offset = RecordFormat.endOffset(bytes, offset);
            if (incomplete.size() == record.getBatchSize()) {
                complete.addAll(incomplete);
                incomplete.clear();
                completeEnd = offset;
            }
            next = RecordFormat.decode(bytes, offset);
        }
        if (completeEnd < bytes.limit()) {
            long lastCompleteBatch = complete.isEmpty()
                    ? previousBatch
                    : complete.get(complete.size() - 1).getBatch();
            checkTail(path, bytes, offset, isLastSegment, lastCompleteBatch + 1);
        }
        return new Content(List.copyOf(complete), completeEnd);
    }

    /**
     * Rejects damage that a crash during the last write does not explain: damage in an earlier segment, or before a
     * later batch that is intact.
     *
     * @param offset the first byte that is not part of an intact record
     * @param damagedBatch the number of the incomplete batch
     * @throws StorageException if the damage is not at the end of the log
     */
    private static void checkTail(Path path, ByteBuffer bytes, int offset, boolean isLastSegment, long damagedBatch)
            throws IOException {
        if (!isLastSegment) {
            throw StorageException.damaged(path, offset, "a record is damaged although a later segment exists");
        }
        for (int later = offset + 1; later < bytes.limit() - RecordFormat.HEADER_BYTES; later++) {
            Optional<Record> record = RecordFormat.decode(bytes, later);
            if (record.isPresent() && record.get().getBatch() > damagedBatch) {
                throw StorageException.damaged(path, offset, "a record is damaged although a later one is intact");
            }
        }
    }
}
