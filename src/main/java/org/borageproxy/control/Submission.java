package org.borageproxy.control;

import org.borageproxy.wire.proto.ControlProtocol.Reply;

/** The outcome of submitting a command to the control group. Implementations are immutable. */
public sealed interface Submission {

    /**
     * The command was committed.
     *
     * @param reply the reply of the state machine
     */
    record Replied(Reply reply) implements Submission {}

    /** The command was not accepted by any control VM and will not be applied. */
    record NotLeader() implements Submission {}

    /** The command may or may not have been applied, or may be applied later. */
    record Unknown() implements Submission {}
}
