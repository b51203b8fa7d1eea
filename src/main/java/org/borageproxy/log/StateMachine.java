package org.borageproxy.log;

import com.google.protobuf.ByteString;

/**
 * What the log replicates. Deterministic: equal commands in equal order give equal states and replies on each VM. Used
 * by one thread at a time.
 */
public interface StateMachine {

    /**
     * Applies a committed command.
     *
     * @param index the command's index in the log
     * @param stateMillis the leader's wall clock when it appended the command, never decreasing over the log, in
     *     milliseconds since 1970
     * @param command the encoded command
     * @return the encoded reply
     */
    ByteString apply(long index, long stateMillis, ByteString command);

    /**
     * Encodes the whole state.
     *
     * @return the snapshot
     */
    ByteString snapshot();

    /**
     * Replaces the whole state.
     *
     * @param snapshot a snapshot of another or an earlier state machine
     */
    void restore(ByteString snapshot);
}
