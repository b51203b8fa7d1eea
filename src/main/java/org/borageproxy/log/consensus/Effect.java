package org.borageproxy.log.consensus;

import java.util.List;
import java.util.Optional;

import org.borageproxy.wire.proto.LogProtocol.Entry;
import org.borageproxy.wire.proto.LogProtocol.HardState;
import org.borageproxy.wire.proto.LogProtocol.LogMessage;
import org.borageproxy.wire.proto.LogProtocol.Snapshot;

/**
 * An action that a member must perform or an outcome that it must report; effects are executed in the order in which
 * they are returned. Variants are immutable and thread safe.
 */
public sealed interface Effect {

    /**
     * Send a message once the write that it depends on is durable.
     *
     * @param recipient the member to send to
     * @param message the message
     * @param requiredWrite the number of the write that must be durable first; zero if none
     */
    record Send(MemberId recipient, LogMessage message, long requiredWrite) implements Effect {}

    /**
     * Write to storage, and report the number of the write as {@link Input.Synced} once this write and all earlier ones
     * are durable. The entries replace those in the log from the first entry's index on.
     *
     * @param writeNumber the number of the write, ascending
     * @param hardState the term and the vote, if they changed
     * @param snapshot a snapshot that replaces the previous one
     * @param replacesLog whether the snapshot also replaces the whole log
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
     * @param entry the entry, whose index follows the last applied one
     */
    record Apply(Entry entry) implements Effect {}

    /**
     * Replace the state of the state machine.
     *
     * @param snapshot the snapshot that holds the new state
     */
    record Restore(Snapshot snapshot) implements Effect {}

    /**
     * The member's role or the leader it follows changed.
     *
     * @param role the new role
     * @param term the current term
     * @param leader the leader, if known
     */
    record RoleChanged(Role role, long term, Optional<MemberId> leader) implements Effect {}

    /**
     * The entry of a proposal or a membership change was appended to the leader's log; it is not committed yet.
     *
     * @param id the request id
     * @param index the index of the entry
     * @param term the term of the entry
     */
    record Appended(long id, long index, long term) implements Effect {}

    /**
     * A proposal was refused and will not be applied.
     *
     * @param id the request id
     * @param leader the leader, if known
     */
    record ProposalRefused(long id, Optional<MemberId> leader) implements Effect {}

    /**
     * A membership change was refused and will not take effect.
     *
     * @param id the request id
     * @param refusal the reason
     */
    record ChangeRefused(long id, MemberChange.Refusal refusal) implements Effect {}

    /**
     * The local state includes every entry that was committed before the read was requested.
     *
     * @param id the request id
     */
    record ReadConfirmed(long id) implements Effect {}
}
