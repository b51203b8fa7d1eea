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
 * The files of a member in one folder, which one process uses at a time. A snapshot is durable before the log that it
 * replaces is given up. After a failed write or sync nothing is written any more. Used by one thread at a time.
 */
public final class DiskStorage implements LogStorage {

    /** The file that makes a folder a member's. */
    private static final String IDENTITY = "identity";

    /** The file with the term and the vote. */
    private static final String VOTE = "vote";

    /** The file that is locked while a process uses the folder. */
    private static final String LOCK = "lock";

    /** The beginning of the names of snapshot files. */
    private static final String SNAPSHOT_PREFIX = "snapshot-";

    /** The folder. */
    private final Path folder;

    /** Opens files. */
    private final DiskFile.Opener opener;

    /** The open lock file. */
    private final FileChannel lock;

    /** The segments of the log. */
    private final Segments segments;

    /** The state at the start. */
    private final RestoredState restoredState;

    /** The name of the snapshot file in use. */
    private Optional<String> snapshotName;

    /** Whether a write or sync failed. */
    private boolean failed;

    /** How often data was synced. */
    private volatile long syncCount;

    /**
     * Opens the storage of a member.
     *
     * @param folder the folder
     * @param segmentBytes the size after which a segment is closed
     * @param opener opens files
     * @throws IOException if the folder holds no member, or is damaged
     */
    private DiskStorage(Path folder, int segmentBytes, DiskFile.Opener opener) throws IOException {
        this.folder = folder;
        this.opener = opener;
        this.lock = lock(folder);
        try {
            IdentityFile identity = IdentityFile.parseFrom(AtomicFile.read(folder.resolve(IDENTITY)));
            HardState vote = HardState.parseFrom(AtomicFile.read(folder.resolve(VOTE)));
            this.snapshotName = latestSnapshot();
            Snapshot snapshot = readSnapshot();
            this.segments = new Segments(folder, opener, segmentBytes);
            this.restoredState = restore(identity, vote, snapshot);
        } catch (IOException exception) {
            lock.close();
            throw exception;
        }
    }

    /**
     * Opens the storage of a member.
     *
     * @param folder the folder
     * @param segmentBytes the size after which a segment is closed
     * @return the storage
     * @throws IOException if the folder holds no member, or is damaged
     */
    public static DiskStorage open(Path folder, int segmentBytes) throws IOException {
        return open(folder, segmentBytes, DiskFile.ChannelFile::open);
    }

    /**
     * Opens the storage of a member.
     *
     * @param folder the folder
     * @param segmentBytes the size after which a segment is closed
     * @param opener opens files
     * @return the storage
     * @throws IOException if the folder holds no member, or is damaged
     */
    public static DiskStorage open(Path folder, int segmentBytes, DiskFile.Opener opener) throws IOException {
        if (!Files.exists(folder.resolve(IDENTITY))) {
            throw new StorageException(new StorageFault(
                    StorageFault.Kind.NO_IDENTITY,
                    folder.resolve(IDENTITY),
                    0,
                    "the folder was made neither by bootstrap nor by join"));
        }
        return new DiskStorage(folder, segmentBytes, opener);
    }

    /**
     * Tells whether a folder holds a member.
     *
     * @param folder the folder
     * @return {@code true} once bootstrap or join made it
     */
    public static boolean hasMember(Path folder) {
        return Files.exists(folder.resolve(IDENTITY));
    }

    /**
     * Makes the folder of a new member; the identity comes last, so that an unfinished folder is no member.
     *
     * @param folder the folder
     * @param group the identity of the group
     * @param self the member
     * @param initial the members at the beginning of the log; none for a member that joins
     * @throws IOException if the folder holds a member already, or cannot be written
     */
    public static void create(Path folder, String group, MemberId self, Members initial) throws IOException {
        Files.createDirectories(folder);
        if (hasMember(folder)) {
            throw new StorageException(new StorageFault(
                    StorageFault.Kind.ALREADY_MEMBER, folder.resolve(IDENTITY), 0, "the folder holds a member"));
        }
        IdentityFile identity = IdentityFile.newBuilder()
                .setGroup(group)
                .setSelf(self.encode())
                .setInitial(initial.encode())
                .build();
        AtomicFile.replace(
                folder.resolve(VOTE), HardState.getDefaultInstance().toByteArray(), DiskFile.ChannelFile::open);
        Segments.create(folder, DiskFile.ChannelFile::open);
        AtomicFile.replace(folder.resolve(IDENTITY), identity.toByteArray(), DiskFile.ChannelFile::open);
    }

    /**
     * Makes the member of a folder the only voter of a new group. The group changes first, so that a crash on the way
     * leaves a member that cannot elect anyone and the call can be repeated.
     *
     * @param folder the folder, not in use
     * @param newGroup the identity of the new group
     * @return the member
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
            AtomicFile.replace(folder.resolve(IDENTITY), identity.toByteArray(), DiskFile.ChannelFile::open);
            HardState vote = HardState.newBuilder()
                    .setTerm(state.hardState().getTerm() + 1)
                    .setCaughtUp(true)
                    .build();
            storage.write(List.of(new Effect.Persist(
                    1, Optional.of(vote), Optional.empty(), false, List.of(onlyVoter(state, vote.getTerm())))));
            return state.self();
        }
    }

    /**
     * Returns the entry that makes a member the only voter.
     *
     * @param state the member's state
     * @param term the term of the entry
     * @return the entry after the last
     */
    private static Entry onlyVoter(RestoredState state, long term) {
        List<Entry> entries = state.entries();
        boolean none = entries.isEmpty();
        Snapshot snapshot = state.snapshot();
        Entry last = none ? Entry.getDefaultInstance() : entries.get(entries.size() - 1);
        return Entry.newBuilder()
                .setIndex((none ? snapshot.getIndex() : last.getIndex()) + 1)
                .setTerm(term)
                .setKind(Entry.Kind.MEMBERS)
                .setStateMillis(none ? snapshot.getStateMillis() : last.getStateMillis())
                .setMembers(Members.ofVoters(List.of(state.self())).encode())
                .build();
    }

    /**
     * Locks a folder for this process.
     *
     * @param folder the folder
     * @return the open lock file
     * @throws IOException if another process uses the folder
     */
    private static FileChannel lock(Path folder) throws IOException {
        Path path = folder.resolve(LOCK);
        FileChannel channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock held;
        try {
            held = channel.tryLock();
        } catch (OverlappingFileLockException exception) {
            held = null;
        }
        if (held == null) {
            channel.close();
            throw new StorageException(
                    new StorageFault(StorageFault.Kind.IN_USE, path, 0, "another process uses the folder"));
        }
        return channel;
    }

    /**
     * Finds the latest snapshot file.
     *
     * @return its name
     * @throws IOException if the folder cannot be read
     */
    private Optional<String> latestSnapshot() throws IOException {
        return snapshotNames().stream().max(Comparator.naturalOrder());
    }

    /**
     * Lists the snapshot files.
     *
     * @return their names
     * @throws IOException if the folder cannot be read
     */
    private List<String> snapshotNames() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> name.startsWith(SNAPSHOT_PREFIX) && !name.endsWith(".new"))
                    .toList();
        }
    }

    /**
     * Reads the snapshot in use.
     *
     * @return the snapshot, with index 0 if there is none
     * @throws IOException if it is damaged
     */
    private Snapshot readSnapshot() throws IOException {
        if (snapshotName.isEmpty()) {
            return Snapshot.getDefaultInstance();
        }
        return Snapshot.parseFrom(AtomicFile.read(folder.resolve(snapshotName.get())));
    }

    /**
     * Puts together what the member knew.
     *
     * @param identity the identity
     * @param vote the term and the vote
     * @param snapshot the snapshot
     * @return the state
     * @throws IOException if the log does not continue the snapshot
     */
    private RestoredState restore(IdentityFile identity, HardState vote, Snapshot snapshot) throws IOException {
        LogReplay assembly = new LogReplay(folder, snapshot);
        for (Record record : segments.drainRestored()) {
            assembly.add(record);
        }
        if (assembly.hasSnapshotConflict()) {
            segments.append(List.of(resetRecord(snapshot)));
        }
        return new RestoredState(
                identity.getGroup(),
                MemberId.decode(identity.getSelf()),
                Members.decode(identity.getInitial()),
                vote,
                snapshot,
                assembly.entries());
    }

    /**
     * Returns the record after which the log goes on behind a snapshot.
     *
     * @param snapshot the snapshot
     * @return the record
     */
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
        if (failed) {
            throw new IOException("An earlier write failed");
        }
        failed = true;
        writeVote(writes);
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
            deleteOldSnapshots();
        }
        failed = false;
    }

    /**
     * Writes the last term and vote among some writes.
     *
     * @param writes the writes
     * @throws IOException if it is not certain that they are durable
     */
    private void writeVote(List<Effect.Persist> writes) throws IOException {
        Optional<HardState> last = Optional.empty();
        for (Effect.Persist write : writes) {
            last = write.hardState().isPresent() ? write.hardState() : last;
        }
        if (last.isPresent()) {
            AtomicFile.replace(folder.resolve(VOTE), last.get().toByteArray(), opener);
            syncCount++;
        }
    }

    /**
     * Writes a snapshot.
     *
     * @param snapshot the snapshot
     * @throws IOException if it is not certain that it is durable
     */
    private void writeSnapshot(Snapshot snapshot) throws IOException {
        String name = SNAPSHOT_PREFIX + String.format("%020d", snapshot.getIndex());
        AtomicFile.replace(folder.resolve(name), snapshot.toByteArray(), opener);
        snapshotName = Optional.of(name);
        syncCount++;
    }

    /**
     * Deletes the snapshots before the one in use.
     *
     * @throws IOException if a file cannot be deleted
     */
    private void deleteOldSnapshots() throws IOException {
        for (String name : snapshotNames()) {
            if (!name.equals(snapshotName.orElse(name))) {
                Files.deleteIfExists(folder.resolve(name));
            }
        }
    }

    /**
     * Returns how often data was synced.
     *
     * @return the number of syncs of files
     */
    public long syncCount() {
        return syncCount;
    }

    @Override
    public void close() throws IOException {
        try {
            segments.close();
        } finally {
            lock.close();
        }
    }
}
