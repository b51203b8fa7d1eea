package org.borageproxy.log.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.borageproxy.wire.proto.LogProtocol.Entry;
import org.borageproxy.wire.proto.LogProtocol.HardState;
import org.borageproxy.wire.proto.LogProtocol.Snapshot;

/**
 * Collects the writes of a batch and tracks which writes are durable. Writes are numbered in ascending order; a
 * reported number covers all lower ones. Not thread safe; used by the core thread.
 */
final class Durability {

    /**
     * A write that is not durable yet.
     *
     * @param writeNumber the number of the write
     * @param lastIndex the last index of the durable log once the write is durable
     */
    private record Write(long writeNumber, long lastIndex) {}

    private final Deque<Write> writes = new ArrayDeque<>();

    private final List<Entry> entries = new ArrayList<>();

    private Optional<HardState> hardState = Optional.empty();

    private Optional<Snapshot> snapshot = Optional.empty();

    /** Whether the snapshot to write next replaces the whole log. */
    private boolean replacesLog;

    private long lastWriteNumber;

    private long durableWriteNumber;

    /** The number of the last write that holds a term or vote. */
    private long hardStateWriteNumber;

    /** The last index of the log that is durable. */
    private long durableIndex;

    Durability(long durableIndex) {
        this.durableIndex = durableIndex;
    }

    /** Adds a term and vote to the next write. */
    void save(HardState state) {
        hardState = Optional.of(state);
        hardStateWriteNumber = lastWriteNumber + 1;
    }

    void append(Entry entry) {
        entries.add(entry);
    }

    /**
     * Discards unwritten entries from an index on and lowers the durable index, since the entries there will be
     * overwritten.
     *
     * @param index the first index to discard
     */
    void truncateFrom(long index) {
        entries.removeIf(entry -> entry.getIndex() >= index);
        durableIndex = Math.min(durableIndex, index - 1);
        List<Write> shortened = new ArrayList<>();
        writes.forEach(write -> shortened.add(new Write(write.writeNumber(), Math.min(write.lastIndex(), index - 1))));
        writes.clear();
        writes.addAll(shortened);
    }

    /** Adds a snapshot of this member's own state to the next write. */
    void save(Snapshot taken) {
        snapshot = Optional.of(taken);
    }

    /** Adds a snapshot that replaces the whole log to the next write. */
    void replaceLog(Snapshot received) {
        truncateFrom(1);
        entries.clear();
        snapshot = Optional.of(received);
        replacesLog = true;
    }

    /**
     * Assigns a number to the collected writes and returns them as one write.
     *
     * @param lastIndex the last index of the log after the write
     * @return the write, or empty if there is nothing to write
     */
    Optional<Effect.Persist> issueWrite(long lastIndex) {
        if (hardState.isEmpty() && snapshot.isEmpty() && entries.isEmpty()) {
            return Optional.empty();
        }
        lastWriteNumber++;
        Effect.Persist persist =
                new Effect.Persist(lastWriteNumber, hardState, snapshot, replacesLog, List.copyOf(entries));
        writes.add(new Write(lastWriteNumber, lastIndex));
        hardState = Optional.empty();
        snapshot = Optional.empty();
        replacesLog = false;
        entries.clear();
        return Optional.of(persist);
    }

    /** Marks all writes up to a number as durable. */
    void onSynced(long writeNumber) {
        while (!writes.isEmpty() && writes.peek().writeNumber() <= writeNumber) {
            durableIndex = writes.remove().lastIndex();
        }
        durableWriteNumber = Math.max(durableWriteNumber, writeNumber);
    }

    /** Returns the last index of the log that is durable. */
    long durableIndex() {
        return durableIndex;
    }

    /** Returns the number of the last write that holds a term or vote, issued or collected for the next write. */
    long hardStateWriteNumber() {
        return hardStateWriteNumber;
    }

    /** Returns whether the current term and vote are durable. */
    boolean isHardStateDurable() {
        return durableWriteNumber >= hardStateWriteNumber;
    }
}
