package org.borageproxy.log.consensus;

import java.util.List;
import java.util.Optional;

import org.borageproxy.wire.proto.LogProtocol.Entry;
import org.borageproxy.wire.proto.LogProtocol.HardState;
import org.borageproxy.wire.proto.LogProtocol.LogMessage;
import org.borageproxy.wire.proto.LogProtocol.Snapshot;

/** What a member must do, in the order in which it is returned. Variants are immutable and thread safe. */
public sealed interface Effect {

    /**
     * Send a message, not before a write is durable.
     *
     * @param recipient the member that gets the message
     * @param message the message
     * @param requiredWrite the write that must be durable first; zero if none
     */
    record Send(MemberId recipient, LogMessage message, long requiredWrite) implements Effect {}

    /**
     * Write to the disk and report the ticket once everything up to it is durable. Entries overwrite the log from the
     * first one's index on.
     *
     * @param writeNumber the rising number of the write
     * @param hardState the term and the vote, if they changed
     * @param snapshot a snapshot to keep in place of the last one
     * @param replacesLog whether the snapshot replaces the whole log
     * @param entries the entries to append
     */
    record Persist(
            long writeNumber,
            Optional<HardState> hardState,
            Optional<Snapshot> snapshot,
            boolean replacesLog,
            List<Entry> entries)
            implements Effect {}

    /**
     * Apply a committed entry to the state machine.
     *
     * @param entry the entry
     */
    record Apply(Entry entry) implements Effect {}

    /**
     * Replace the state of the state machine.
     *
     * @param snapshot the snapshot
     */
    record Restore(Snapshot snapshot) implements Effect {}

    /**
     * The member's role, term or leader changed.
     *
     * @param role the role
     * @param term the term
     * @param leader the leader, if known
     */
    record RoleChanged(Role role, long term, Optional<MemberId> leader) implements Effect {}

    /**
     * A proposal or a change of members stands in the leader's log.
     *
     * @param id the caller's number
     * @param index the index of the entry
     * @param term the term of the entry
     */
    record Appended(long id, long index, long term) implements Effect {}

    /**
     * A proposal was refused and will not be applied.
     *
     * @param id the caller's number
     * @param leader the leader, if known
     */
    record ProposalRefused(long id, Optional<MemberId> leader) implements Effect {}

    /**
     * A change of members was refused and will not be made.
     *
     * @param id the caller's number
     * @param refusal why
     */
    record ChangeRefused(long id, MemberChange.Refusal refusal) implements Effect {}

    /**
     * The local state holds all that was committed before the read was asked for.
     *
     * @param id the caller's number
     */
    record ReadConfirmed(long id) implements Effect {}
}
