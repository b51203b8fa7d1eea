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
 * Collects what must be written and knows what is durable. Tickets rise; a write is durable once its ticket was
 * reported. Not thread safe; used by the thread of the core.
 */
final class Durability {

    /**
     * A write under way.
     *
     * @param ticket the ticket
     * @param lastIndex the end of the log once it is durable
     */
    private record Write(long ticket, long lastIndex) {}

    /** The writes under way, oldest first. */
    private final Deque<Write> writes = new ArrayDeque<>();

    /** The entries to write next. */
    private final List<Entry> entries = new ArrayList<>();

    /** The term and the vote to write next. */
    private Optional<HardState> hardState = Optional.empty();

    /** The snapshot to write next. */
    private Optional<Snapshot> snapshot = Optional.empty();

    /** Whether the snapshot to write next replaces the log. */
    private boolean reset;

    /** The ticket of the last write that was handed out. */
    private long issuedTicket;

    /** The last durable ticket. */
    private long durableTicket;

    /** The ticket of the last write of a term or vote. */
    private long hardStateWriteNumber;

    /** The end of the durable log. */
    private long durableIndex;

    /**
     * Creates the record of a member that starts.
     *
     * @param durableIndex the end of the log on the disk
     */
    Durability(long durableIndex) {
        this.durableIndex = durableIndex;
    }

    /**
     * Adds a term and vote to the next write.
     *
     * @param state the term and the vote
     */
    void save(HardState state) {
        hardState = Optional.of(state);
        hardStateWriteNumber = issuedTicket + 1;
    }

    /**
     * Adds an entry to the next write.
     *
     * @param entry the entry
     */
    void append(Entry entry) {
        entries.add(entry);
    }

    /**
     * Notes that the log was cut and will be overwritten.
     *
     * @param index the first index that was cut
     */
    void truncateFrom(long index) {
        entries.removeIf(entry -> entry.getIndex() >= index);
        durableIndex = Math.min(durableIndex, index - 1);
        List<Write> shortened = new ArrayList<>();
        writes.forEach(write -> shortened.add(new Write(write.ticket(), Math.min(write.lastIndex(), index - 1))));
        writes.clear();
        writes.addAll(shortened);
    }

    /**
     * Adds a snapshot of this member's own state to the next write.
     *
     * @param taken the snapshot
     */
    void save(Snapshot taken) {
        snapshot = Optional.of(taken);
    }

    /**
     * Adds a snapshot that replaces the whole log to the next write.
     *
     * @param received the snapshot
     */
    void reset(Snapshot received) {
        truncateFrom(1);
        entries.clear();
        snapshot = Optional.of(received);
        reset = true;
    }

    /**
     * Hands out the next write.
     *
     * @param lastIndex the end of the log after the write
     * @return the write, or empty if there is nothing to write
     */
    Optional<Effect.Persist> issueWrite(long lastIndex) {
        if (hardState.isEmpty() && snapshot.isEmpty() && entries.isEmpty()) {
            return Optional.empty();
        }
        issuedTicket++;
        Effect.Persist persist = new Effect.Persist(issuedTicket, hardState, snapshot, reset, List.copyOf(entries));
        writes.add(new Write(issuedTicket, lastIndex));
        hardState = Optional.empty();
        snapshot = Optional.empty();
        reset = false;
        entries.clear();
        return Optional.of(persist);
    }

    /**
     * Notes that writes became durable.
     *
     * @param ticket the last durable ticket
     */
    void onSynced(long ticket) {
        while (!writes.isEmpty() && writes.peek().ticket() <= ticket) {
            durableIndex = writes.remove().lastIndex();
        }
        durableTicket = Math.max(durableTicket, ticket);
    }

    /**
     * Returns the end of the durable log.
     *
     * @return the index
     */
    long durableIndex() {
        return durableIndex;
    }

    /**
     * Returns the ticket of the last write of a term or vote.
     *
     * @return the ticket
     */
    long hardStateWriteNumber() {
        return hardStateWriteNumber;
    }

    /**
     * Tells whether the term and the vote are durable.
     *
     * @return {@code true} once they are
     */
    boolean isHardStateDurable() {
        return durableTicket >= hardStateWriteNumber;
    }
}
