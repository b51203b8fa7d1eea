package org.borageproxy.log;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.borageproxy.log.consensus.Effect;
import org.borageproxy.wire.proto.LogProtocol.Entry;

/** The callers that wait until their entries are applied. Not thread safe; used by the core thread. */
final class PendingEntries {

    /** A caller that waits for one entry. At most one method is called, once. */
    interface Waiter {

        /**
         * Called when the entry has been applied.
         *
         * @param index the log index of the entry
         * @param reply the reply of the state machine; empty for a membership change
         */
        void onApplied(long index, ByteString reply);

        /**
         * Called when this entry will never be applied: it was refused, or another leader's entry has taken its index.
         */
        void onNotApplied();

        /** Called when this member cannot determine whether the entry is applied. */
        void onOutcomeUnknown();
    }

    private record AppendedEntry(long term, Waiter waiter) {}

    /** The callers whose entry is not in the log yet, by request id. */
    private final Map<Long, Waiter> proposedById = new HashMap<>();

    /** The callers whose entry is in the log, by index. */
    private final TreeMap<Long, AppendedEntry> appendedByIndex = new TreeMap<>();

    void add(long id, Waiter waiter) {
        proposedById.put(id, waiter);
    }

    /**
     * Removes a caller whose entry was not appended.
     *
     * @param id the request id
     * @return the removed caller
     */
    Waiter remove(long id) {
        return proposedById.remove(id);
    }

    /**
     * Moves a caller to the index at which its entry was appended. A caller already registered for the index is
     * notified that its entry was overwritten.
     */
    void onAppended(Effect.Appended effect) {
        Waiter waiter = proposedById.remove(effect.id());
        AppendedEntry replaced = appendedByIndex.put(effect.index(), new AppendedEntry(effect.term(), waiter));
        if (replaced != null) {
            replaced.waiter().onNotApplied();
        }
    }

    /**
     * Notifies the caller registered for an applied entry, if any; a different term means that the caller's entry was
     * overwritten.
     */
    void onApplied(Entry entry, ByteString reply) {
        AppendedEntry appendedEntry = appendedByIndex.remove(entry.getIndex());
        if (appendedEntry == null) {
            return;
        }
        if (appendedEntry.term() == entry.getTerm()) {
            appendedEntry.waiter().onApplied(entry.getIndex(), reply);
        } else {
            appendedEntry.waiter().onNotApplied();
        }
    }

    /**
     * Notifies the callers of the entries that a received snapshot replaces; whether these entries were applied is
     * unknown.
     *
     * @param index the index of the snapshot
     */
    void onSnapshotRestored(long index) {
        Map<Long, AppendedEntry> replacedEntries = appendedByIndex.headMap(index, true);
        replacedEntries.values().forEach(entry -> entry.waiter().onOutcomeUnknown());
        replacedEntries.clear();
    }

    /** Notifies every caller that its outcome is unknown. */
    void abandonAll() {
        proposedById.values().forEach(Waiter::onOutcomeUnknown);
        proposedById.clear();
        onSnapshotRestored(Long.MAX_VALUE);
    }
}
