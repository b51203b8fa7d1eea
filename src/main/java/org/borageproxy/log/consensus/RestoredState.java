package org.borageproxy.log.consensus;

import java.util.List;

import org.borageproxy.wire.proto.LogProtocol.Entry;
import org.borageproxy.wire.proto.LogProtocol.HardState;
import org.borageproxy.wire.proto.LogProtocol.Snapshot;

/**
 * What a member knows when it starts. Immutable and thread safe.
 *
 * @param group the identity of the group
 * @param self the member's identity
 * @param initialMembers the members at the beginning of the log; none for a member that joins
 * @param hardState the term and the vote
 * @param snapshot the last snapshot, with index 0 if there is none
 * @param entries the entries after the snapshot
 */
public record RestoredState(
        String group,
        MemberId self,
        Members initialMembers,
        HardState hardState,
        Snapshot snapshot,
        List<Entry> entries) {

    /** Copies the entries. */
    public RestoredState {
        entries = List.copyOf(entries);
    }

    /**
     * Returns the state of a member that never ran.
     *
     * @param group the identity of the group
     * @param self the member's identity
     * @param initial the members at the beginning of the log; none for a member that joins
     * @return the state
     */
    public static RestoredState fresh(String group, MemberId self, Members initial) {
        return new RestoredState(
                group, self, initial, HardState.getDefaultInstance(), Snapshot.getDefaultInstance(), List.of());
    }
}
