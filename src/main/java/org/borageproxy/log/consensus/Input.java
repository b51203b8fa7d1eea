package org.borageproxy.log.consensus;

import com.google.protobuf.ByteString;
import org.borageproxy.wire.proto.LogProtocol.LogMessage;

/** What happens to a member. Variants are immutable and thread safe. */
public sealed interface Input {

    /** Time has passed. */
    enum Tick implements Input {
        /** The only tick. */
        INSTANCE
    }

    /**
     * A message arrived.
     *
     * @param message the message
     */
    record Receive(LogMessage message) implements Input {}

    /**
     * A caller proposes a command.
     *
     * @param id the caller's number of the proposal
     * @param stateMillis the wall clock in milliseconds since 1970
     * @param command the encoded command
     */
    record Propose(long id, long stateMillis, ByteString command) implements Input {}

    /**
     * A caller wants the local state confirmed as current.
     *
     * @param id the caller's number of the read
     */
    record ConfirmRead(long id) implements Input {}

    /**
     * An operator changes the members.
     *
     * @param id the caller's number of the change
     * @param stateMillis the wall clock in milliseconds since 1970
     * @param change the change
     */
    record ChangeMembers(long id, long stateMillis, MemberChange change) implements Input {}

    /** The member should hand leadership to another voter. */
    enum TransferLeadership implements Input {
        /** The only request. */
        INSTANCE
    }

    /**
     * Writes became durable.
     *
     * @param writeNumber the last ticket that is durable
     */
    record Synced(long writeNumber) implements Input {}

    /**
     * The state machine was encoded after the last applied entry.
     *
     * @param index the last applied entry
     * @param state the encoded state
     */
    record SnapshotTaken(long index, ByteString state) implements Input {}
}
