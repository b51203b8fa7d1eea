package org.borageproxy.log;

import com.google.protobuf.ByteString;

/**
 * The state machine replicated by the log. Deterministic: the same commands in the same order give the same state and
 * replies on each VM. Used by one thread at a time.
 */
public interface StateMachine {

    /**
     * Applies a committed command.
     *
     * @param index the log index of the command
     * @param stateMillis the leader's wall clock when it appended the command, in milliseconds since 1970; never
     *     decreases along the log
     * @param command the encoded command
     * @return the encoded reply
     */
    ByteString apply(long index, long stateMillis, ByteString command);

    /**
     * Encodes the complete state.
     *
     * @return the encoded state, accepted by {@link #restore}
     */
    ByteString snapshot();

    /**
     * Replaces the complete state.
     *
     * @param snapshot a state encoded by this state machine or by the one of another member
     */
    void restore(ByteString snapshot);
}
