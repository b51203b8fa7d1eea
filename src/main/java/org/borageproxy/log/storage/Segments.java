package org.borageproxy.log.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.borageproxy.wire.proto.LogProtocol.Record;

/**
 * The segment files of a log, numbered in order of creation without gaps. A batch of records lies within one segment.
 * Used by one thread.
 */
final class Segments implements AutoCloseable {

    private static final String SEGMENT_PREFIX = "segment-";

    /** The file with the number of the last segment, so that a missing last segment is detected. */
    private static final String LAST_SEGMENT_FILE = "last-segment";

    private static final String SEGMENT_SUFFIX = ".log";

    /**
     * A closed segment.
     *
     * @param number the number of the segment
     * @param highestIndex the highest index of an entry in this or an earlier segment
     */
    private record Segment(long number, long highestIndex) {}

    private final Path folder;

    private final DiskFile.Opener opener;

    private final int segmentBytes;

    /** The closed segments, oldest first. */
    private final List<Segment> closedSegments = new ArrayList<>();

    /** The records found when the files were opened, until they are drained. */
    private final List<Record> restoredRecords = new ArrayList<>();

    private long openNumber;

    private long openBytes;

    private long highestIndex;

    private long lastBatch;

    private DiskFile openSegment;

    /**
     * Opens the segments of a folder.
     *
     * @throws IOException if a segment is damaged or missing
     */
    Segments(Path folder, DiskFile.Opener opener, int segmentBytes) throws IOException {
        this.folder = folder;
        this.opener = opener;
        this.segmentBytes = segmentBytes;
        restore();
    }

    /**
     * Creates the first segment of a new member.
     *
     * @throws IOException if it cannot be created
     */
    static void create(Path folder, DiskFile.Opener opener) throws IOException {
        try (DiskFile file = opener.open(path(folder, 1))) {
            file.sync();
        }
        AtomicFile.syncFolder(folder);
        writeLastNumber(folder, 1, opener);
    }

    private static void writeLastNumber(Path folder, long number, DiskFile.Opener opener) throws IOException {
        byte[] content = ByteBuffer.allocate(Long.BYTES).putLong(number).array();
        AtomicFile.replace(folder.resolve(LAST_SEGMENT_FILE), content, opener);
    }

    private long readLastNumber() throws IOException {
        return ByteBuffer.wrap(AtomicFile.read(folder.resolve(LAST_SEGMENT_FILE)))
                .getLong();
    }

    private static Path path(Path folder, long number) {
        return folder.resolve(SEGMENT_PREFIX + String.format("%012d", number) + SEGMENT_SUFFIX);
    }

    /**
     * Reads all segments, truncates an incomplete batch at the end of the last one, and opens that one for appending.
     *
     * @throws IOException if a segment is damaged or missing
     */
    private void restore() throws IOException {
        List<Long> numbers = listNumbers();
        long recordedLast = readLastNumber();
        if (numbers.isEmpty() || numbers.get(numbers.size() - 1) < recordedLast) {
            throw StorageException.missing(path(folder, recordedLast));
        }
        long expected = numbers.get(0);
        for (long number : numbers) {
            if (number != expected) {
                throw StorageException.missing(path(folder, expected));
            }
            boolean isLast = number == numbers.get(numbers.size() - 1);
            restore(number, isLast);
            expected++;
        }
        openSegment = opener.open(path(folder, openNumber));
    }

    private void restore(long number, boolean isLast) throws IOException {
        Path path = path(folder, number);
        SegmentReader.Content content = SegmentReader.read(path, isLast, lastBatch);
        for (Record record : content.records()) {
            updatePosition(record);
            restoredRecords.add(record);
        }
        if (isLast) {
            openNumber = number;
            openBytes = content.validBytes();
            truncate(path, content.validBytes());
        } else {
            closedSegments.add(new Segment(number, highestIndex));
        }
    }

    private static void truncate(Path path, long length) throws IOException {
        if (Files.size(path) > length) {
            try (FileChannel channel = FileChannel.open(path, StandardOpenOption.WRITE)) {
                channel.truncate(length);
                channel.force(true);
            }
        }
    }

    private List<Long> listNumbers() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> name.startsWith(SEGMENT_PREFIX) && name.endsWith(SEGMENT_SUFFIX))
                    .map(name -> Long.parseLong(
                            name.substring(SEGMENT_PREFIX.length(), name.length() - SEGMENT_SUFFIX.length())))
                    .sorted()
                    .toList();
        }
    }

    /** Updates the number of the last batch and the highest index for a record that is in the files. */
    private void updatePosition(Record record) {
        lastBatch = record.getBatch();
        highestIndex = Math.max(highestIndex, record.getEntry().getIndex());
        highestIndex = Math.max(highestIndex, record.getReset().getIndex());
    }

    /**
     * Returns the records found when the files were opened, in order, and releases them; later calls return an empty
     * list.
     */
    List<Record> drainRestored() {
        List<Record> records = List.copyOf(restoredRecords);
        restoredRecords.clear();
        return records;
    }

    /**
     * Appends records as one batch, which is durable on return.
     *
     * @param records the records, without batch number, position and batch size
     * @throws IOException if durability of the whole batch is not certain
     */
    void append(List<Record.Builder> records) throws IOException {
        if (openBytes >= segmentBytes) {
            roll();
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        long number = lastBatch + 1;
        int position = 0;
        for (Record.Builder builder : records) {
            Record record = builder.setBatch(number)
                    .setPosition(position)
                    .setBatchSize(records.size())
                    .build();
            bytes.write(RecordFormat.encode(record));
            updatePosition(record);
            position++;
        }
        openSegment.append(ByteBuffer.wrap(bytes.toByteArray()));
        openSegment.sync();
        openBytes += bytes.size();
    }

    /**
     * Closes the open segment and creates the next one.
     *
     * @throws IOException if the next segment cannot be created
     */
    private void roll() throws IOException {
        openSegment.close();
        closedSegments.add(new Segment(openNumber, highestIndex));
        openNumber++;
        openBytes = 0;
        openSegment = opener.open(path(folder, openNumber));
        AtomicFile.syncFolder(folder);
        writeLastNumber(folder, openNumber, opener);
    }

    /**
     * Deletes closed segments, oldest first, as long as a snapshot covers all their entries.
     *
     * @param index the index of the snapshot
     * @throws IOException if a file cannot be deleted
     */
    void deleteUpTo(long index) throws IOException {
        while (!closedSegments.isEmpty() && closedSegments.get(0).highestIndex() <= index) {
            Files.deleteIfExists(path(folder, closedSegments.remove(0).number()));
        }
    }

    /**
     * Removes what was appended to the open segment and is not known to be durable.
     *
     * @throws IOException if the segment cannot be truncated
     */
    void discardUnsynced() throws IOException {
        Path path = path(folder, openNumber);
        if (Files.exists(path)) {
            truncate(path, openBytes);
        }
    }

    /**
     * Waits until the open segment is durable.
     *
     * @throws IOException if durability is not certain
     */
    void sync() throws IOException {
        openSegment.sync();
    }

    @Override
    public void close() throws IOException {
        openSegment.close();
    }
}
