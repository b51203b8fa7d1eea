package org.borageproxy.control;

import org.borageproxy.wire.proto.ControlProtocol.Reply;

/** Outcome of the submission of a command to the control group. Implementations are immutable. */
public sealed interface Submission {

    /**
     * The command was committed.
     *
     * @param reply the reply of the state machine
     */
    record Replied(Reply reply) implements Submission {}

    /** No control VM accepted the command, and it will not be applied. */
    record NotLeader() implements Submission {}

    /** The command may have been applied, or may still be applied. */
    record Unknown() implements Submission {}
}
