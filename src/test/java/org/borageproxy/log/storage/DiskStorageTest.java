package org.borageproxy.log.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.borageproxy.log.consensus.Effect;
import org.borageproxy.log.consensus.MemberId;
import org.borageproxy.log.consensus.Members;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.LogProtocol.Entry;
import org.borageproxy.wire.proto.LogProtocol.HardState;
import org.borageproxy.wire.proto.LogProtocol.Snapshot;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link DiskStorage} on files in a temporary folder. */
class DiskStorageTest {

    private static final MemberId SELF = MemberId.initial("group", new VmName("a"));

    private static final int SEGMENT_BYTES = 300;

    @TempDir
    private Path folder;

    private long writeNumber;

    @BeforeEach
    void createFolder() throws IOException {
        DiskStorage.create(folder, "group", SELF, Members.ofVoters(List.of(SELF)));
    }

    @Test
    void restoresEntriesTermAndVoteAfterRestart() throws IOException {
        HardState vote =
                HardState.newBuilder().setTerm(7).setVotedFor(SELF.encode()).build();
        try (DiskStorage storage = open()) {
            storage.write(
                    List.of(new Effect.Persist(1, Optional.of(vote), Optional.empty(), false, entries(1, 40, 7))));
        }
        try (DiskStorage storage = open()) {
            assertEquals(entries(1, 40, 7), storage.restoredState().entries());
            assertEquals(vote, storage.restoredState().hardState());
            assertEquals(SELF, storage.restoredState().self());
        }
    }

    @Test
    void laterEntriesReplaceConflictingOnes() throws IOException {
        append(entries(1, 10, 1));
        append(entries(6, 8, 2));
        assertEquals(concat(entries(1, 5, 1), entries(6, 8, 2)), restored());
    }

    @Test
    void truncatesTornTailAndAcceptsNewEntries() throws IOException {
        append(entries(1, 2, 1));
        append(entries(3, 3, 1));
        Path last = lastSegment();
        truncate(last, Files.size(last) - 3);
        assertEquals(entries(1, 2, 1), restored());
        append(entries(3, 4, 2));
        assertEquals(concat(entries(1, 2, 1), entries(3, 4, 2)), restored());
    }

    @Property(seed = "42", tries = 150)
    void partiallyWrittenLastBatchIsDiscardedEntirely(@ForAll @IntRange(min = 1, max = 200) int lostBytes)
            throws IOException {
        Path own = Files.createTempDirectory("torn");
        DiskStorage.create(own, "group", SELF, Members.ofVoters(List.of(SELF)));
        folder = own;
        append(entries(1, 1, 1));
        Path last = lastSegment();
        long before = Files.size(last);
        append(entries(2, 4, 1));
        long written = Files.size(last) - before;
        truncate(last, before + Math.max(0, written - lostBytes));
        assertEquals(entries(1, 1, 1), restored());
    }

    @Test
    void rejectsCorruptionBeforeLastRecordNamingFileAndOffset() throws IOException {
        append(entries(1, 1, 1));
        append(entries(2, 2, 1));
        Path last = lastSegment();
        flipBit(last, RecordFormat.HEADER_BYTES + 2);
        StorageFault fault = assertThrows(StorageException.class, this::open).fault();
        assertEquals(StorageFault.Kind.DAMAGED, fault.kind());
        assertEquals(last, fault.file());
        assertEquals(0, fault.offset());
    }

    @Test
    void rejectsTruncatedEarlierSegment() throws IOException {
        LongStream.rangeClosed(1, 30).forEach(index -> append(entries(index, index, 1)));
        Path first = segments().get(0);
        truncate(first, Files.size(first) - 1);
        assertEquals(
                first, assertThrows(StorageException.class, this::open).fault().file());
    }

    @Test
    void rejectsMissingSegmentVoteOrSnapshot() throws IOException {
        LongStream.rangeClosed(1, 30).forEach(index -> append(entries(index, index, 1)));
        snapshot(25, false);
        for (Path requiredFile : List.of(segments().get(1), folder.resolve("vote"), snapshotFile())) {
            byte[] content = Files.readAllBytes(requiredFile);
            Files.delete(requiredFile);
            assertThrows(StorageException.class, this::open, requiredFile.toString());
            Files.write(requiredFile, content);
        }
        open().close();
    }

    @Test
    void rejectsCorruptVoteIdentityOrSnapshot() throws IOException {
        append(entries(1, 5, 1));
        snapshot(5, false);
        for (Path requiredFile : List.of(folder.resolve("vote"), folder.resolve("identity"), snapshotFile())) {
            byte[] content = Files.readAllBytes(requiredFile);
            flipBit(requiredFile, content.length - 1);
            assertEquals(
                    requiredFile,
                    assertThrows(StorageException.class, this::open).fault().file());
            Files.write(requiredFile, content);
        }
        open().close();
    }

    @Test
    void snapshotReplacesPrecedingEntries() throws IOException {
        LongStream.rangeClosed(1, 60).forEach(index -> append(entries(index, index, 1)));
        int before = segments().size();
        snapshot(50, false);
        assertTrue(segments().size() < before);
        assertEquals(entries(51, 60, 1), restored());
    }

    @Test
    void receivedSnapshotReplacesEntireLog() throws IOException {
        append(entries(1, 10, 1));
        snapshot(100, true);
        append(entries(101, 103, 3));
        assertEquals(entries(101, 103, 3), restored());
    }

    @Test
    void crashBetweenReceivedSnapshotAndLogResetDiscardsOldEntries() throws IOException {
        append(entries(1, 10, 1));
        snapshot(8, false, 3);
        assertEquals(List.of(), restored());
        append(entries(9, 9, 3));
        assertEquals(entries(9, 9, 3), restored());
    }

    @Test
    void rejectsFurtherWritesAfterDiskWasFull() throws IOException {
        AtomicLong freeBytes = new AtomicLong(200);
        DiskStorage storage =
                DiskStorage.open(folder, 1 << 20, path -> withLimitedSpace(DiskFile.ChannelFile.open(path), freeBytes));
        storage.write(List.of(write(entries(1, 1, 1))));
        assertThrows(IOException.class, () -> storage.write(List.of(write(entries(2, 9, 1)))));
        freeBytes.set(Long.MAX_VALUE);
        assertThrows(IOException.class, () -> storage.write(List.of(write(entries(2, 2, 1)))));
        storage.close();
        assertEquals(entries(1, 1, 1), restored());
    }

    @Test
    void rejectsOpeningFolderInUse() throws IOException {
        DiskStorage first = open();
        assertEquals(
                StorageFault.Kind.IN_USE,
                assertThrows(StorageException.class, this::open).fault().kind());
        first.close();
    }

    @Test
    void rejectsOpenWithoutIdentityAndRepeatedCreate() throws IOException {
        assertThrows(StorageException.class, () -> DiskStorage.create(folder, "group", SELF, Members.EMPTY));
        Files.delete(folder.resolve("identity"));
        assertEquals(
                StorageFault.Kind.NO_IDENTITY,
                assertThrows(StorageException.class, this::open).fault().kind());
    }

    private DiskStorage open() throws IOException {
        return DiskStorage.open(folder, SEGMENT_BYTES);
    }

    private List<Entry> restored() throws IOException {
        try (DiskStorage storage = open()) {
            return storage.restoredState().entries();
        }
    }

    private Effect.Persist write(List<Entry> entries) {
        writeNumber++;
        return new Effect.Persist(writeNumber, Optional.empty(), Optional.empty(), false, entries);
    }

    private void append(List<Entry> entries) {
        try (DiskStorage storage = open()) {
            storage.write(List.of(write(entries)));
        } catch (IOException exception) {
            throw new AssertionError(exception);
        }
    }

    private void snapshot(long index, boolean replacesLog) throws IOException {
        snapshot(index, replacesLog, 1);
    }

    private void snapshot(long index, boolean replacesLog, long term) throws IOException {
        Snapshot snapshot = Snapshot.newBuilder()
                .setIndex(index)
                .setTerm(term)
                .setMembers(Members.EMPTY.encode())
                .build();
        writeNumber++;
        try (DiskStorage storage = open()) {
            storage.write(List.of(
                    new Effect.Persist(writeNumber, Optional.empty(), Optional.of(snapshot), replacesLog, List.of())));
        }
    }

    private static List<Entry> entries(long from, long to, long term) {
        return LongStream.rangeClosed(from, to)
                .mapToObj(index -> Entry.newBuilder()
                        .setIndex(index)
                        .setTerm(term)
                        .setKind(Entry.Kind.COMMAND)
                        .setCommand(ByteString.copyFromUtf8("command " + index))
                        .build())
                .toList();
    }

    private static List<Entry> concat(List<Entry> first, List<Entry> second) {
        List<Entry> all = new ArrayList<>(first);
        all.addAll(second);
        return all;
    }

    private List<Path> segments() throws IOException {
        return list("segment-");
    }

    private Path lastSegment() throws IOException {
        List<Path> segments = segments();
        return segments.get(segments.size() - 1);
    }

    private Path snapshotFile() throws IOException {
        return list("snapshot-").get(0);
    }

    private List<Path> list(String prefix) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> file.getFileName().toString().startsWith(prefix))
                    .sorted()
                    .toList();
        }
    }

    private static void flipBit(Path file, int offset) throws IOException {
        byte[] content = Files.readAllBytes(file);
        content[offset] ^= 0x40;
        Files.write(file, content, StandardOpenOption.TRUNCATE_EXISTING);
    }

    private static void truncate(Path file, long length) throws IOException {
        Files.write(file, Arrays.copyOf(Files.readAllBytes(file), (int) length), StandardOpenOption.TRUNCATE_EXISTING);
    }

    /** Returns a file on a disk with limited space: a write that exceeds it is written in part and then fails. */
    private static DiskFile withLimitedSpace(DiskFile file, AtomicLong freeBytes) {
        return new DiskFile() {
            @Override
            public void append(ByteBuffer bytes) throws IOException {
                int fits = (int) Math.min(freeBytes.get(), bytes.remaining());
                freeBytes.addAndGet(-fits);
                file.append(bytes.slice(bytes.position(), fits));
                if (fits < bytes.remaining()) {
                    throw new IOException("No space left on device");
                }
            }

            @Override
            public void sync() throws IOException {
                file.sync();
            }

            @Override
            public void close() throws IOException {
                file.close();
            }
        };
    }
}
