package org.borageproxy.log.consensus;

import java.util.List;

import org.borageproxy.wire.proto.LogProtocol.Entry;
import org.borageproxy.wire.proto.LogProtocol.HardState;
import org.borageproxy.wire.proto.LogProtocol.Snapshot;

/**
 * The state in which a member starts. Immutable and thread safe.
 *
 * @param group the identity of the group
 * @param self the identity of the member
 * @param initialMembers the members at the beginning of the log; empty for a member that joins
 * @param hardState the term, the vote, and whether the member has caught up
 * @param snapshot the latest snapshot; one with index 0 stands for none
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
     * Returns the state of a member that has never run.
     *
     * @param group the identity of the group
     * @param self the identity of the member
     * @param initialMembers the members at the beginning of the log; empty for a member that joins
     * @return the state
     */
    public static RestoredState fresh(String group, MemberId self, Members initialMembers) {
        return new RestoredState(
                group, self, initialMembers, HardState.getDefaultInstance(), Snapshot.getDefaultInstance(), List.of());
    }
}
