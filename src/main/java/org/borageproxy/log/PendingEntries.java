package org.borageproxy.log;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.borageproxy.log.consensus.Effect;
import org.borageproxy.wire.proto.LogProtocol.Entry;

/** The callers that wait for an entry to be applied. Not thread safe; used by the core thread. */
final class PendingEntries {

    /** A caller that waits. */
    interface Waiter {

        /**
         * The entry was applied.
         *
         * @param index its index
         * @param reply the reply of the state machine
         */
        void onApplied(long index, ByteString reply);

        /** Another leader's entry stands at the index; this one will never be applied. */
        void onOverwritten();

        /** What became of the entry cannot be known here. */
        void onOutcomeUnknown();
    }

    /**
     * An entry in the log.
     *
     * @param term its term
     * @param waiter the caller
     */
    private record Appended(long term, Waiter waiter) {}

    /** The callers whose entry is not in the log yet, by number. */
    private final Map<Long, Waiter> proposed = new HashMap<>();

    /** The callers whose entry is in the log, by index. */
    private final TreeMap<Long, Appended> appended = new TreeMap<>();

    /**
     * Adds a caller.
     *
     * @param id the caller's number
     * @param waiter the caller
     */
    void add(long id, Waiter waiter) {
        proposed.put(id, waiter);
    }

    /**
     * Takes out a caller whose entry was refused.
     *
     * @param id the caller's number
     * @return the caller
     */
    Waiter remove(long id) {
        return proposed.remove(id);
    }

    /**
     * Notes that an entry stands in the log.
     *
     * @param effect where
     */
    void appended(Effect.Appended effect) {
        Waiter waiter = proposed.remove(effect.id());
        Appended replaced = appended.put(effect.index(), new Appended(effect.term(), waiter));
        if (replaced != null) {
            replaced.waiter().onOverwritten();
        }
    }

    /**
     * Answers the caller of an applied entry.
     *
     * @param entry the entry
     * @param reply the reply of the state machine
     */
    void applied(Entry entry, ByteString reply) {
        Appended found = appended.remove(entry.getIndex());
        if (found == null) {
            return;
        }
        if (found.term() == entry.getTerm()) {
            found.waiter().onApplied(entry.getIndex(), reply);
        } else {
            found.waiter().onOverwritten();
        }
    }

    /**
     * Answers the callers of entries that a snapshot covers.
     *
     * @param index the index of the snapshot
     */
    void onSnapshotRestored(long index) {
        Map<Long, Appended> head = appended.headMap(index, true);
        head.values().forEach(entry -> entry.waiter().onOutcomeUnknown());
        head.clear();
    }

    /** Answers every caller. */
    void abandonAll() {
        proposed.values().forEach(Waiter::onOutcomeUnknown);
        proposed.clear();
        onSnapshotRestored(Long.MAX_VALUE);
    }
}
