package org.borageproxy.log.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.borageproxy.wire.proto.LogProtocol.Entry;
import org.borageproxy.wire.proto.LogProtocol.Record;
import org.borageproxy.wire.proto.LogProtocol.Snapshot;

/**
 * Rebuilds the log by replaying the records of its segments: an entry replaces those at and after its index, a reset
 * record replaces the whole log. Not thread safe.
 */
final class LogReplay {

    /** The folder, for error messages. */
    private final Path folder;

    /** The snapshot that the log continues. */
    private final Snapshot snapshot;

    private final ArrayList<Entry> entries = new ArrayList<>();

    /** The index before the first entry, or -1 before the first record. */
    private long baseIndex = -1;

    LogReplay(Path folder, Snapshot snapshot) {
        this.folder = folder;
        this.snapshot = snapshot;
    }

    /**
     * Replays a record. A gap is valid only where the snapshot covers the missing entries.
     *
     * @throws IOException if entries are missing before the record
     */
    void add(Record record) throws IOException {
        if (record.hasReset()) {
            entries.clear();
            baseIndex = record.getReset().getIndex();
            return;
        }
        Entry entry = record.getEntry();
        long index = entry.getIndex();
        if (baseIndex < 0) {
            baseIndex = index - 1;
        }
        long lastIndex = baseIndex + entries.size();
        boolean isCoveredBySnapshot = index <= snapshot.getIndex() + 1;
        if (index > lastIndex + 1 && !isCoveredBySnapshot || index <= baseIndex && !isCoveredBySnapshot) {
            throw StorageException.damaged(folder, index, "entries are missing before index " + index);
        }
        if (index > lastIndex + 1 || index <= baseIndex) {
            entries.clear();
            baseIndex = index - 1;
        }
        entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
        entries.add(entry);
    }

    /**
     * Returns whether the log holds an entry of another term at the index of the snapshot. A crash after writing a
     * received snapshot and before its reset record leaves the log in this state; the snapshot then replaces the log.
     */
    boolean hasSnapshotConflict() {
        long index = snapshot.getIndex();
        boolean isIndexInLog = index > baseIndex && index <= baseIndex + entries.size();
        return isIndexInLog && entries.get((int) (index - baseIndex - 1)).getTerm() != snapshot.getTerm();
    }

    /**
     * Returns the entries after the snapshot.
     *
     * @throws IOException if entries are missing between the snapshot and the log
     */
    List<Entry> entries() throws IOException {
        long logBase = Math.max(baseIndex, 0);
        if (logBase > snapshot.getIndex()) {
            throw StorageException.damaged(
                    folder, logBase, "the snapshot before index " + (logBase + 1) + " is missing");
        }
        long skipped = snapshot.getIndex() - logBase;
        if (hasSnapshotConflict() || skipped >= entries.size()) {
            return List.of();
        }
        return List.copyOf(entries.subList((int) skipped, entries.size()));
    }
}
