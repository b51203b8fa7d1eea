package org.borageproxy.log.consensus;

import com.google.protobuf.ByteString;
import org.borageproxy.wire.proto.LogProtocol.LogMessage;

/** An event that a member handles. Variants are immutable and thread safe. */
public sealed interface Input {

    /** Time has advanced. */
    enum Tick implements Input {
        /** The only instance. */
        INSTANCE
    }

    /**
     * A message arrived from another member.
     *
     * @param message the message
     */
    record Receive(LogMessage message) implements Input {}

    /**
     * A caller proposes a command.
     *
     * @param id the request id, unique among the requests to this member
     * @param stateMillis the wall clock in milliseconds since 1970
     * @param command the encoded command
     */
    record Propose(long id, long stateMillis, ByteString command) implements Input {}

    /**
     * A caller requests confirmation that the local state is current.
     *
     * @param id the request id, unique among the requests to this member
     */
    record ConfirmRead(long id) implements Input {}

    /**
     * An operator requests a membership change.
     *
     * @param id the request id, unique among the requests to this member
     * @param stateMillis the wall clock in milliseconds since 1970
     * @param change the change
     */
    record ChangeMembers(long id, long stateMillis, MemberChange change) implements Input {}

    /** The member should transfer leadership to another voter; ignored unless it leads. */
    enum TransferLeadership implements Input {
        /** The only instance. */
        INSTANCE
    }

    /**
     * Writes became durable.
     *
     * @param writeNumber the number of the last durable write, which covers all earlier ones
     */
    record Synced(long writeNumber) implements Input {}

    /**
     * The state machine was encoded.
     *
     * @param index the index of the last entry applied to the encoded state
     * @param state the encoded state
     */
    record SnapshotTaken(long index, ByteString state) implements Input {}
}
