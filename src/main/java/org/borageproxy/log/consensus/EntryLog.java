package org.borageproxy.log.consensus;

import java.util.ArrayList;
import java.util.List;

import org.borageproxy.wire.proto.LogProtocol.Entry;
import org.borageproxy.wire.proto.LogProtocol.Position;
import org.borageproxy.wire.proto.LogProtocol.Snapshot;

/**
 * The part of the log that a member keeps in memory: the entries after a base index, up to the last. The snapshot's
 * index is never lower than the base index. Not thread safe; used by the core thread.
 */
final class EntryLog {

    /** The term reported for an index that the log does not hold. */
    static final long UNKNOWN_TERM = -1;

    private final ArrayList<Entry> entries = new ArrayList<>();

    /** The latest snapshot; one with index 0 stands for none. */
    private Snapshot snapshot;

    /** The index before the first entry in memory. */
    private long baseIndex;

    private long baseTerm;

    private Members baseMembers;

    /** The members in force at the end of the log, committed or not. */
    private Members members;

    EntryLog(RestoredState state) {
        snapshot = state.snapshot();
        baseIndex = snapshot.getIndex();
        baseTerm = snapshot.getTerm();
        baseMembers = baseIndex == 0 ? state.initialMembers() : Members.decode(snapshot.getMembers());
        entries.addAll(state.entries());
        members = membersAt(lastIndex());
    }

    /** Returns the latest snapshot; one with index 0 stands for none. */
    Snapshot snapshot() {
        return snapshot;
    }

    /** Returns the index before the first entry in memory. */
    long baseIndex() {
        return baseIndex;
    }

    /** Returns the index of the last entry, or the base index if there is none. */
    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return termAt(lastIndex());
    }

    Position lastPosition() {
        return positionAt(lastIndex());
    }

    /** Returns the position at an index from the base index to the last. */
    Position positionAt(long index) {
        return Position.newBuilder().setIndex(index).setTerm(termAt(index)).build();
    }

    /** Returns the term at an index, or {@link #UNKNOWN_TERM} if the log does not hold the index. */
    long termAt(long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        if (index < baseIndex || index > lastIndex()) {
            return UNKNOWN_TERM;
        }
        return entry(index).getTerm();
    }

    /** Returns the entry at an index after the base index. */
    Entry entry(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    /**
     * Returns the leader's wall clock in the last entry, or in the snapshot if there are no entries, in milliseconds
     * since 1970.
     */
    long lastStateMillis() {
        return entries.isEmpty()
                ? snapshot.getStateMillis()
                : entries.get(entries.size() - 1).getStateMillis();
    }

    /** Returns the first index of the run of entries that ends at an index and has one term. */
    long firstIndexOfTerm(long index) {
        long term = termAt(index);
        long first = index;
        while (first - 1 > baseIndex && termAt(first - 1) == term) {
            first--;
        }
        return first;
    }

    /**
     * Returns the entries for one message.
     *
     * @param from the first index
     * @param maximumEntries the maximum number of entries
     * @param maximumBytes the maximum size of the commands in bytes; the first entry may exceed it
     */
    List<Entry> slice(long from, int maximumEntries, int maximumBytes) {
        List<Entry> slice = new ArrayList<>();
        int bytes = 0;
        for (long index = from; index <= lastIndex() && slice.size() < maximumEntries; index++) {
            Entry entry = entry(index);
            bytes += entry.getCommand().size();
            if (bytes > maximumBytes && !slice.isEmpty()) {
                break;
            }
            slice.add(entry);
        }
        return slice;
    }

    /**
     * Appends an entry.
     *
     * @throws IllegalStateException if the entry's index does not follow the last
     */
    void append(Entry entry) {
        if (entry.getIndex() != lastIndex() + 1) {
            throw new IllegalStateException(
                    "Log is not contiguous: last index " + lastIndex() + ", new index " + entry.getIndex());
        }
        entries.add(entry);
        if (entry.getKind() == Entry.Kind.MEMBERS) {
            members = Members.decode(entry.getMembers());
        }
    }

    /** Discards the entries from an index on. */
    void truncateFrom(long index) {
        entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
        members = membersAt(lastIndex());
    }

    /**
     * Stores a snapshot of this member's own state and discards the entries before it, except for some that members
     * which are slightly behind may still need.
     *
     * @param taken the snapshot, at an index that the log holds
     * @param trailing the number of entries before the snapshot to keep
     */
    void compact(Snapshot taken, int trailing) {
        snapshot = taken;
        long newBase = Math.max(baseIndex, taken.getIndex() - trailing);
        baseMembers = membersAt(newBase);
        baseTerm = termAt(newBase);
        entries.subList(0, (int) (newBase - baseIndex)).clear();
        baseIndex = newBase;
    }

    /** Replaces the whole log by a snapshot. */
    void replaceWith(Snapshot received) {
        snapshot = received;
        entries.clear();
        baseIndex = received.getIndex();
        baseTerm = received.getTerm();
        baseMembers = Members.decode(received.getMembers());
        members = baseMembers;
    }

    /** Returns the members in force at the end of the log, committed or not. */
    Members members() {
        return members;
    }

    /** Returns the members in force at an index from the base index to the last. */
    Members membersAt(long index) {
        for (long current = index; current > baseIndex; current--) {
            Entry entry = entry(current);
            if (entry.getKind() == Entry.Kind.MEMBERS) {
                return Members.decode(entry.getMembers());
            }
        }
        return baseMembers;
    }
}
