package org.borageproxy.log.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.borageproxy.wire.proto.LogProtocol.Entry;
import org.borageproxy.wire.proto.LogProtocol.Record;
import org.borageproxy.wire.proto.LogProtocol.Snapshot;

/**
 * Puts a log together from the records of its segments: an entry replaces those at and after its index, a reset
 * replaces all. Not thread safe.
 */
final class LogReplay {

    /** The folder, for messages. */
    private final Path folder;

    /** The snapshot that the log continues. */
    private final Snapshot snapshot;

    /** The entries so far. */
    private final ArrayList<Entry> entries = new ArrayList<>();

    /** The index before the first entry, or -1 before the first record. */
    private long base = -1;

    /**
     * Creates an empty log.
     *
     * @param folder the folder, for messages
     * @param snapshot the snapshot that the log continues
     */
    LogReplay(Path folder, Snapshot snapshot) {
        this.folder = folder;
        this.snapshot = snapshot;
    }

    /**
     * Adds a record.
     *
     * @param record the record
     * @throws IOException if entries are missing before it
     */
    void add(Record record) throws IOException {
        if (record.hasReset()) {
            entries.clear();
            base = record.getReset().getIndex();
            return;
        }
        Entry entry = record.getEntry();
        long index = entry.getIndex();
        if (base < 0) {
            base = index - 1;
        }
        long last = base + entries.size();
        boolean covered = index <= snapshot.getIndex() + 1;
        if (index > last + 1 && !covered || index <= base && !covered) {
            throw StorageException.damaged(folder, index, "entries are missing before index " + index);
        }
        if (index > last + 1 || index <= base) {
            entries.clear();
            base = index - 1;
        }
        entries.subList((int) (index - base - 1), entries.size()).clear();
        entries.add(entry);
    }

    /**
     * Tells whether a snapshot of another leader replaced the log and the log does not say so yet.
     *
     * @return {@code true} if the log conflicts with the snapshot
     */
    boolean hasSnapshotConflict() {
        long index = snapshot.getIndex();
        boolean held = index > base && index <= base + entries.size();
        return held && entries.get((int) (index - base - 1)).getTerm() != snapshot.getTerm();
    }

    /**
     * Returns the entries after the snapshot.
     *
     * @return the entries
     * @throws IOException if entries are missing after the snapshot
     */
    List<Entry> entries() throws IOException {
        long first = Math.max(base, 0);
        if (first > snapshot.getIndex()) {
            throw StorageException.damaged(folder, first, "the snapshot before index " + (first + 1) + " is missing");
        }
        long skipped = snapshot.getIndex() - first;
        if (hasSnapshotConflict() || skipped >= entries.size()) {
            return List.of();
        }
        return List.copyOf(entries.subList((int) skipped, entries.size()));
    }
}
