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
 * The segment files of a log, numbered in the order of their making. A batch lies in one segment. Used by one thread.
 */
final class Segments implements AutoCloseable {

    /** The beginning of the names of segment files. */
    private static final String PREFIX = "segment-";

    /** The file that holds the number of the last segment, so that its loss is noticed. */
    private static final String LAST = "last-segment";

    /** The end of the names of segment files. */
    private static final String SUFFIX = ".log";

    /**
     * A segment file.
     *
     * @param number the number
     * @param highestIndex the highest index of an entry in it or in an earlier one
     */
    private record Segment(long number, long highestIndex) {}

    /** The folder. */
    private final Path folder;

    /** Opens files. */
    private final DiskFile.Opener opener;

    /** The size after which a segment is closed. */
    private final int segmentBytes;

    /** The closed segments, oldest first. */
    private final List<Segment> closed = new ArrayList<>();

    /** The records found at the start. */
    private final List<Record> restored = new ArrayList<>();

    /** The number of the open segment. */
    private long currentNumber;

    /** The length of the open segment. */
    private long currentBytes;

    /** The highest index of an entry so far. */
    private long highestIndex;

    /** The number of the last batch. */
    private long batch;

    /** The open segment. */
    private DiskFile current;

    /**
     * Opens the segments of a folder.
     *
     * @param folder the folder
     * @param opener opens files
     * @param segmentBytes the size after which a segment is closed
     * @throws IOException if a segment is damaged or missing
     */
    Segments(Path folder, DiskFile.Opener opener, int segmentBytes) throws IOException {
        this.folder = folder;
        this.opener = opener;
        this.segmentBytes = segmentBytes;
        restore();
    }

    /**
     * Makes the first segment of a new member.
     *
     * @param folder the folder
     * @param opener opens files
     * @throws IOException if it cannot be made
     */
    static void create(Path folder, DiskFile.Opener opener) throws IOException {
        try (DiskFile file = opener.open(path(folder, 1))) {
            file.sync();
        }
        AtomicFile.syncFolder(folder);
        writeLast(folder, 1, opener);
    }

    /**
     * Notes the number of the last segment.
     *
     * @param folder the folder
     * @param number the number
     * @param opener opens files
     * @throws IOException if it cannot be written
     */
    private static void writeLast(Path folder, long number, DiskFile.Opener opener) throws IOException {
        byte[] content = ByteBuffer.allocate(Long.BYTES).putLong(number).array();
        AtomicFile.replace(folder.resolve(LAST), content, opener);
    }

    /**
     * Reads the number of the last segment.
     *
     * @return the number
     * @throws IOException if it is gone or damaged
     */
    private long readLast() throws IOException {
        return ByteBuffer.wrap(AtomicFile.read(folder.resolve(LAST))).getLong();
    }

    /**
     * Returns the path of a segment.
     *
     * @param folder the folder
     * @param number the segment's number
     * @return the path
     */
    private static Path path(Path folder, long number) {
        return folder.resolve(PREFIX + String.format("%012d", number) + SUFFIX);
    }

    /**
     * Reads all segments, cuts an unfinished batch off the last, and opens it.
     *
     * @throws IOException if a segment is damaged or missing
     */
    private void restore() throws IOException {
        List<Long> numbers = numbers();
        long noted = readLast();
        if (numbers.isEmpty() || numbers.get(numbers.size() - 1) < noted) {
            throw StorageException.missing(path(folder, noted));
        }
        long expected = numbers.get(0);
        for (long number : numbers) {
            if (number != expected) {
                throw StorageException.missing(path(folder, expected));
            }
            boolean last = number == numbers.get(numbers.size() - 1);
            restore(number, last);
            expected++;
        }
        current = opener.open(path(folder, currentNumber));
    }

    /**
     * Reads a segment.
     *
     * @param number its number
     * @param last whether it is the last
     * @throws IOException if it is damaged
     */
    private void restore(long number, boolean last) throws IOException {
        Path path = path(folder, number);
        SegmentReader.Content content = SegmentReader.read(path, last, batch);
        for (Record record : content.records()) {
            note(record);
            restored.add(record);
        }
        if (last) {
            currentNumber = number;
            currentBytes = content.validBytes();
            cut(path, content.validBytes());
        } else {
            closed.add(new Segment(number, highestIndex));
        }
    }

    /**
     * Cuts a file.
     *
     * @param path the file
     * @param length its new length
     * @throws IOException if it cannot be cut
     */
    private static void cut(Path path, long length) throws IOException {
        if (Files.size(path) > length) {
            try (FileChannel channel = FileChannel.open(path, StandardOpenOption.WRITE)) {
                channel.truncate(length);
                channel.force(true);
            }
        }
    }

    /**
     * Lists the numbers of the segments.
     *
     * @return the numbers in order
     * @throws IOException if the folder cannot be read
     */
    private List<Long> numbers() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> name.startsWith(PREFIX) && name.endsWith(SUFFIX))
                    .map(name -> Long.parseLong(name.substring(PREFIX.length(), name.length() - SUFFIX.length())))
                    .sorted()
                    .toList();
        }
    }

    /**
     * Notes a record that is in the files.
     *
     * @param record the record
     */
    private void note(Record record) {
        batch = record.getBatch();
        highestIndex = Math.max(highestIndex, record.getEntry().getIndex());
        highestIndex = Math.max(highestIndex, record.getReset().getIndex());
    }

    /**
     * Hands out the records found at the start, once.
     *
     * @return the records in order
     */
    List<Record> drainRestored() {
        List<Record> records = List.copyOf(restored);
        restored.clear();
        return records;
    }

    /**
     * Writes records as one batch; they are durable on return.
     *
     * @param records the records without their place in the batch
     * @throws IOException if it is not certain that all are durable
     */
    void append(List<Record.Builder> records) throws IOException {
        if (currentBytes >= segmentBytes) {
            roll();
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        long number = batch + 1;
        int position = 0;
        for (Record.Builder builder : records) {
            Record record = builder.setBatch(number)
                    .setPosition(position)
                    .setBatchSize(records.size())
                    .build();
            bytes.write(RecordFormat.encode(record));
            note(record);
            position++;
        }
        current.append(ByteBuffer.wrap(bytes.toByteArray()));
        current.sync();
        currentBytes += bytes.size();
    }

    /**
     * Closes the open segment and makes the next.
     *
     * @throws IOException if the next cannot be made
     */
    private void roll() throws IOException {
        current.close();
        closed.add(new Segment(currentNumber, highestIndex));
        currentNumber++;
        currentBytes = 0;
        current = opener.open(path(folder, currentNumber));
        AtomicFile.syncFolder(folder);
        writeLast(folder, currentNumber, opener);
    }

    /**
     * Deletes the oldest segments as long as a snapshot holds all their entries.
     *
     * @param index the index of the snapshot
     * @throws IOException if a file cannot be deleted
     */
    void deleteUpTo(long index) throws IOException {
        while (!closed.isEmpty() && closed.get(0).highestIndex() <= index) {
            Files.deleteIfExists(path(folder, closed.remove(0).number()));
        }
    }

    @Override
    public void close() throws IOException {
        current.close();
    }
}
