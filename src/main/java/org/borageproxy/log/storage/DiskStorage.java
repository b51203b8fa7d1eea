package org.borageproxy.log.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.borageproxy.log.consensus.Effect;
import org.borageproxy.log.consensus.MemberId;
import org.borageproxy.log.consensus.Members;
import org.borageproxy.log.consensus.RestoredState;
import org.borageproxy.wire.proto.LogProtocol.Entry;
import org.borageproxy.wire.proto.LogProtocol.HardState;
import org.borageproxy.wire.proto.LogProtocol.IdentityFile;
import org.borageproxy.wire.proto.LogProtocol.Position;
import org.borageproxy.wire.proto.LogProtocol.Record;
import org.borageproxy.wire.proto.LogProtocol.Snapshot;

/**
 * Stores a member in one data folder, which is locked against other processes. A snapshot is durable before the log
 * entries that it replaces are deleted. After a failed write or sync, all further writes are rejected. Used by one
 * thread at a time.
 */
public final class DiskStorage implements LogStorage {

    /** The file whose presence marks the folder as a member's. */
    private static final String IDENTITY_FILE = "identity";

    /** The file with the term and the vote. */
    private static final String HARD_STATE_FILE = "vote";

    private static final String LOCK_FILE = "lock";

    private static final String SNAPSHOT_PREFIX = "snapshot-";

    private final Path folder;

    private final DiskFile.Opener opener;

    private final FileChannel lock;

    private final Segments segments;

    private final RestoredState restoredState;

    private Optional<String> snapshotName;

    /** Set during each write and cleared once it succeeds, so that it stays set after a failure. */
    private boolean hasFailed;

    private volatile long syncCount;

    private DiskStorage(Path folder, int segmentBytes, DiskFile.Opener opener) throws IOException {
        this.folder = folder;
        this.opener = opener;
        this.lock = lock(folder);
        try {
            IdentityFile identity = IdentityFile.parseFrom(AtomicFile.read(folder.resolve(IDENTITY_FILE)));
            HardState hardState = HardState.parseFrom(AtomicFile.read(folder.resolve(HARD_STATE_FILE)));
            this.snapshotName = latestSnapshot();
            Snapshot snapshot = readSnapshot();
            this.segments = new Segments(folder, opener, segmentBytes);
            this.restoredState = restore(identity, hardState, snapshot);
        } catch (IOException exception) {
            lock.close();
            throw exception;
        }
    }

    /**
     * Opens the storage of a member.
     *
     * @param folder the data folder
     * @param segmentBytes the size in bytes after which a segment is closed
     * @return the storage
     * @throws IOException if the folder holds no member, is damaged, or is in use by another process
     */
    public static DiskStorage open(Path folder, int segmentBytes) throws IOException {
        return open(folder, segmentBytes, DiskFile.ChannelFile::open);
    }

    /**
     * Opens the storage of a member, with a given way to open the files that it writes.
     *
     * @param folder the data folder
     * @param segmentBytes the size in bytes after which a segment is closed
     * @param opener opens the files to write
     * @return the storage
     * @throws IOException if the folder holds no member, is damaged, or is in use by another process
     */
    public static DiskStorage open(Path folder, int segmentBytes, DiskFile.Opener opener) throws IOException {
        if (!Files.exists(folder.resolve(IDENTITY_FILE))) {
            throw new StorageException(new StorageFault(
                    StorageFault.Kind.NO_IDENTITY,
                    folder.resolve(IDENTITY_FILE),
                    0,
                    "the folder was not created by bootstrap or join"));
        }
        return new DiskStorage(folder, segmentBytes, opener);
    }

    /**
     * Opens the storage of a member after one of its writes failed, and makes durable what it holds: an earlier sync
     * may have failed, and its error is reported only once.
     *
     * @param folder the data folder, whose failed storage has been closed
     * @param segmentBytes the size in bytes after which a segment is closed
     * @param opener opens the files to write
     * @return the storage
     * @throws IOException if the folder cannot be read, is damaged, or still refuses writes
     */
    public static DiskStorage reopen(Path folder, int segmentBytes, DiskFile.Opener opener) throws IOException {
        DiskStorage storage = open(folder, segmentBytes, opener);
        try {
            storage.segments.sync();
            AtomicFile.replace(
                    folder.resolve(HARD_STATE_FILE),
                    storage.restoredState.hardState().toByteArray(),
                    opener);
            return storage;
        } catch (IOException exception) {
            storage.close();
            throw exception;
        }
    }

    /**
     * Returns whether a folder holds a member.
     *
     * @param folder the data folder
     * @return {@code true} once bootstrap or join has completed there
     */
    public static boolean hasMember(Path folder) {
        return Files.exists(folder.resolve(IDENTITY_FILE));
    }

    /**
     * Creates the data folder of a new member. The identity file is written last, so that an incomplete folder does not
     * count as a member.
     *
     * @param folder the data folder
     * @param group the identity of the group
     * @param self the identity of the member
     * @param initialMembers the members at the beginning of the log; empty for a member that joins
     * @throws IOException if the folder already holds a member or cannot be written
     */
    public static void create(Path folder, String group, MemberId self, Members initialMembers) throws IOException {
        Files.createDirectories(folder);
        if (hasMember(folder)) {
            throw new StorageException(new StorageFault(
                    StorageFault.Kind.ALREADY_MEMBER,
                    folder.resolve(IDENTITY_FILE),
                    0,
                    "the folder already holds a member"));
        }
        IdentityFile identity = IdentityFile.newBuilder()
                .setGroup(group)
                .setSelf(self.encode())
                .setInitial(initialMembers.encode())
                .build();
        AtomicFile.replace(
                folder.resolve(HARD_STATE_FILE),
                HardState.getDefaultInstance().toByteArray(),
                DiskFile.ChannelFile::open);
        Segments.create(folder, DiskFile.ChannelFile::open);
        AtomicFile.replace(folder.resolve(IDENTITY_FILE), identity.toByteArray(), DiskFile.ChannelFile::open);
    }

    /**
     * Turns the member of a folder into the only voter of a new group. The group identity is replaced first: after a
     * crash in between, the member cannot win an election, since the other voters drop its messages, and the call can
     * be repeated.
     *
     * @param folder the data folder, not in use
     * @param newGroup the identity of the new group
     * @return the identity of the member
     * @throws IOException if the folder holds no member, is damaged, or cannot be written
     */
    public static MemberId recoverAsOnlyVoter(Path folder, String newGroup) throws IOException {
        try (DiskStorage storage = open(folder, Integer.MAX_VALUE)) {
            RestoredState state = storage.restoredState();
            IdentityFile identity = IdentityFile.newBuilder()
                    .setGroup(newGroup)
                    .setSelf(state.self().encode())
                    .setInitial(state.initialMembers().encode())
                    .build();
            AtomicFile.replace(folder.resolve(IDENTITY_FILE), identity.toByteArray(), DiskFile.ChannelFile::open);
            HardState hardState = HardState.newBuilder()
                    .setTerm(state.hardState().getTerm() + 1)
                    .setCaughtUp(true)
                    .build();
            storage.write(List.of(new Effect.Persist(
                    1,
                    Optional.of(hardState),
                    Optional.empty(),
                    false,
                    List.of(onlyVoterEntry(state, hardState.getTerm())))));
            return state.self();
        }
    }

    /** Returns the entry, placed after the last one, that makes a member the only voter. */
    private static Entry onlyVoterEntry(RestoredState state, long term) {
        List<Entry> entries = state.entries();
        boolean hasNoEntries = entries.isEmpty();
        Snapshot snapshot = state.snapshot();
        Entry last = hasNoEntries ? Entry.getDefaultInstance() : entries.get(entries.size() - 1);
        return Entry.newBuilder()
                .setIndex((hasNoEntries ? snapshot.getIndex() : last.getIndex()) + 1)
                .setTerm(term)
                .setKind(Entry.Kind.MEMBERS)
                .setStateMillis(hasNoEntries ? snapshot.getStateMillis() : last.getStateMillis())
                .setMembers(Members.ofVoters(List.of(state.self())).encode())
                .build();
    }

    /**
     * Locks a folder for this process.
     *
     * @throws IOException if another process uses the folder
     */
    private static FileChannel lock(Path folder) throws IOException {
        Path path = folder.resolve(LOCK_FILE);
        FileChannel channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock acquired;
        try {
            acquired = channel.tryLock();
        } catch (OverlappingFileLockException exception) {
            acquired = null;
        }
        if (acquired == null) {
            channel.close();
            throw new StorageException(
                    new StorageFault(StorageFault.Kind.IN_USE, path, 0, "another process uses the folder"));
        }
        return channel;
    }

    /**
     * Returns the name of the latest snapshot file. Indexes in the names have a fixed width, so that names sort by
     * index.
     */
    private Optional<String> latestSnapshot() throws IOException {
        return snapshotNames().stream().max(Comparator.naturalOrder());
    }

    private List<String> snapshotNames() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> name.startsWith(SNAPSHOT_PREFIX) && !name.endsWith(".new"))
                    .toList();
        }
    }

    /** Reads the latest snapshot; one with index 0 stands for none. */
    private Snapshot readSnapshot() throws IOException {
        if (snapshotName.isEmpty()) {
            return Snapshot.getDefaultInstance();
        }
        return Snapshot.parseFrom(AtomicFile.read(folder.resolve(snapshotName.get())));
    }

    /**
     * Restores the member's state from its files.
     *
     * @throws IOException if the log does not continue the snapshot
     */
    private RestoredState restore(IdentityFile identity, HardState hardState, Snapshot snapshot) throws IOException {
        LogReplay replay = new LogReplay(folder, snapshot);
        for (Record record : segments.drainRestored()) {
            replay.add(record);
        }
        if (replay.hasSnapshotConflict()) {
            segments.append(List.of(resetRecord(snapshot)));
        }
        return new RestoredState(
                identity.getGroup(),
                MemberId.decode(identity.getSelf()),
                Members.decode(identity.getInitial()),
                hardState,
                snapshot,
                replay.entries());
    }

    /** Returns the record after which the log continues from a snapshot. */
    private static Record.Builder resetRecord(Snapshot snapshot) {
        return Record.newBuilder()
                .setReset(Position.newBuilder().setIndex(snapshot.getIndex()).setTerm(snapshot.getTerm()));
    }

    @Override
    public RestoredState restoredState() {
        return restoredState;
    }

    @Override
    public void write(List<Effect.Persist> writes) throws IOException {
        if (hasFailed) {
            throw new IOException("Storage rejects writes after an earlier write failed");
        }
        hasFailed = true;
        writeHardState(writes);
        List<Record.Builder> records = new ArrayList<>();
        long snapshotIndex = 0;
        for (Effect.Persist write : writes) {
            if (write.snapshot().isPresent()) {
                Snapshot snapshot = write.snapshot().get();
                writeSnapshot(snapshot);
                snapshotIndex = snapshot.getIndex();
                if (write.replacesLog()) {
                    records.add(resetRecord(snapshot));
                }
            }
            write.entries().forEach(entry -> records.add(Record.newBuilder().setEntry(entry)));
        }
        if (!records.isEmpty()) {
            segments.append(records);
            syncCount++;
        }
        if (snapshotIndex > 0) {
            segments.deleteUpTo(snapshotIndex);
            deleteSupersededSnapshots();
        }
        hasFailed = false;
    }

    /** Writes only the last term and vote of the batch, since each replaces the one before. */
    private void writeHardState(List<Effect.Persist> writes) throws IOException {
        Optional<HardState> last = Optional.empty();
        for (Effect.Persist write : writes) {
            last = write.hardState().isPresent() ? write.hardState() : last;
        }
        if (last.isPresent()) {
            AtomicFile.replace(folder.resolve(HARD_STATE_FILE), last.get().toByteArray(), opener);
            syncCount++;
        }
    }

    private void writeSnapshot(Snapshot snapshot) throws IOException {
        String name = SNAPSHOT_PREFIX + String.format("%020d", snapshot.getIndex());
        AtomicFile.replace(folder.resolve(name), snapshot.toByteArray(), opener);
        snapshotName = Optional.of(name);
        syncCount++;
    }

    private void deleteSupersededSnapshots() throws IOException {
        for (String name : snapshotNames()) {
            if (!name.equals(snapshotName.orElse(name))) {
                Files.deleteIfExists(folder.resolve(name));
            }
        }
    }

    /**
     * Returns how many writes of the log, the term and vote, or a snapshot were synced since the storage was opened.
     *
     * @return the number of syncs
     */
    public long syncCount() {
        return syncCount;
    }

    /**
     * Closes the files. A batch whose write failed is discarded first: none of it was acknowledged, and after a failed
     * sync it may be readable without being durable. If that fails, the files remain open and the call can be repeated.
     */
    @Override
    public void close() throws IOException {
        if (hasFailed) {
            segments.discardUnsynced();
        }
        try {
            segments.close();
        } finally {
            lock.close();
        }
    }
}
