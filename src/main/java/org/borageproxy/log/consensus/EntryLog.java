package org.borageproxy.log.consensus;

import java.util.ArrayList;
import java.util.List;

import org.borageproxy.wire.proto.LogProtocol.Entry;
import org.borageproxy.wire.proto.LogProtocol.Position;
import org.borageproxy.wire.proto.LogProtocol.Snapshot;

/**
 * The entries that a member holds in memory: those after a base, up to the last. The snapshot never lies before the
 * base. Not thread safe; used by the thread of the core.
 */
final class EntryLog {

    /** The term reported for an index that the log does not hold. */
    static final long UNKNOWN_TERM = -1;

    /** The entries after the base. */
    private final ArrayList<Entry> entries = new ArrayList<>();

    /** The last snapshot; index 0 if there is none. */
    private Snapshot snapshot;

    /** The index before the first entry held. */
    private long baseIndex;

    /** The term at the base. */
    private long baseTerm;

    /** The members in force at the base. */
    private Members baseMembers;

    /** The members in force at the end of the log. */
    private Members members;

    /**
     * Creates a log.
     *
     * @param state what the member knows when it starts
     */
    EntryLog(RestoredState state) {
        snapshot = state.snapshot();
        baseIndex = snapshot.getIndex();
        baseTerm = snapshot.getTerm();
        baseMembers = baseIndex == 0 ? state.initialMembers() : Members.decode(snapshot.getMembers());
        entries.addAll(state.entries());
        members = membersAt(lastIndex());
    }

    /**
     * Returns the last snapshot.
     *
     * @return the snapshot, with index 0 if there is none
     */
    Snapshot snapshot() {
        return snapshot;
    }

    /**
     * Returns the index before the first entry held.
     *
     * @return the base
     */
    long baseIndex() {
        return baseIndex;
    }

    /**
     * Returns the last index.
     *
     * @return the index of the last entry, or the base
     */
    long lastIndex() {
        return baseIndex + entries.size();
    }

    /**
     * Returns the term of the last entry.
     *
     * @return the term
     */
    long lastTerm() {
        return termAt(lastIndex());
    }

    /**
     * Returns the last position.
     *
     * @return index and term of the end
     */
    Position lastPosition() {
        return positionAt(lastIndex());
    }

    /**
     * Returns the position at an index.
     *
     * @param index an index from the base to the end
     * @return index and term
     */
    Position positionAt(long index) {
        return Position.newBuilder().setIndex(index).setTerm(termAt(index)).build();
    }

    /**
     * Returns the term at an index.
     *
     * @param index the index
     * @return the term, or {@link #UNKNOWN_TERM} outside the log
     */
    long termAt(long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        if (index < baseIndex || index > lastIndex()) {
            return UNKNOWN_TERM;
        }
        return entry(index).getTerm();
    }

    /**
     * Returns an entry.
     *
     * @param index an index after the base and up to the end
     * @return the entry
     */
    Entry entry(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    /**
     * Returns the wall clock of the last entry.
     *
     * @return milliseconds since 1970
     */
    long lastStateMillis() {
        return entries.isEmpty()
                ? snapshot.getStateMillis()
                : entries.get(entries.size() - 1).getStateMillis();
    }

    /**
     * Returns the first index of the run of entries with one term that ends at an index.
     *
     * @param index an index after the base and up to the end
     * @return the first index of the run
     */
    long firstIndexOfTerm(long index) {
        long term = termAt(index);
        long first = index;
        while (first - 1 > baseIndex && termAt(first - 1) == term) {
            first--;
        }
        return first;
    }

    /**
     * Returns entries for one message.
     *
     * @param from the first index
     * @param most the most entries
     * @param mostBytes the most bytes of commands, unless the first is larger
     * @return the entries
     */
    List<Entry> slice(long from, int most, int mostBytes) {
        List<Entry> slice = new ArrayList<>();
        int bytes = 0;
        for (long index = from; index <= lastIndex() && slice.size() < most; index++) {
            Entry entry = entry(index);
            bytes += entry.getCommand().size();
            if (bytes > mostBytes && !slice.isEmpty()) {
                break;
            }
            slice.add(entry);
        }
        return slice;
    }

    /**
     * Appends an entry.
     *
     * @param entry the entry with the index after the last
     */
    void append(Entry entry) {
        if (entry.getIndex() != lastIndex() + 1) {
            throw new IllegalStateException("Gap in the log: " + lastIndex() + " then " + entry.getIndex());
        }
        entries.add(entry);
        if (entry.getKind() == Entry.Kind.MEMBERS) {
            members = Members.decode(entry.getMembers());
        }
    }

    /**
     * Discards the entries from an index on.
     *
     * @param index the first index to discard
     */
    void truncateFrom(long index) {
        entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
        members = membersAt(lastIndex());
    }

    /**
     * Keeps a snapshot of this log's own state and discards entries well behind it.
     *
     * @param taken the snapshot, at an index that the log holds
     * @param trailing how many entries to keep behind the snapshot
     */
    void compact(Snapshot taken, int trailing) {
        snapshot = taken;
        long newBase = Math.max(baseIndex, taken.getIndex() - trailing);
        baseMembers = membersAt(newBase);
        baseTerm = termAt(newBase);
        entries.subList(0, (int) (newBase - baseIndex)).clear();
        baseIndex = newBase;
    }

    /**
     * Replaces the whole log by a snapshot.
     *
     * @param received the snapshot
     */
    void replaceWith(Snapshot received) {
        snapshot = received;
        entries.clear();
        baseIndex = received.getIndex();
        baseTerm = received.getTerm();
        baseMembers = Members.decode(received.getMembers());
        members = baseMembers;
    }

    /**
     * Returns the members in force at the end.
     *
     * @return the members
     */
    Members members() {
        return members;
    }

    /**
     * Returns the members in force at an index.
     *
     * @param index an index from the base to the end
     * @return the members
     */
    Members membersAt(long index) {
        for (long at = index; at > baseIndex; at--) {
            Entry entry = entry(at);
            if (entry.getKind() == Entry.Kind.MEMBERS) {
                return Members.decode(entry.getMembers());
            }
        }
        return baseMembers;
    }
}
