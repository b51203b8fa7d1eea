package org.borageproxy.log;

import com.google.protobuf.ByteString;
import org.borageproxy.wire.proto.LogProtocol.Entry;
import org.borageproxy.wire.proto.LogProtocol.Snapshot;

/**
 * The state machine with the index up to which the log has been applied to it. It outlives the core threads of a member
 * that is reopened: entries that are replayed after that are not applied again, so that readers never see an earlier
 * state. The index never decreases, unless the state machine has failed and is therefore cleared. Not thread safe; used
 * by one core thread after the other.
 */
final class AppliedState {

    private final StateMachine stateMachine;

    private long index;

    /**
     * Set during each change of the state machine and cleared once it succeeds, so that it stays set after a failure.
     */
    private boolean isDamaged;

    /**
     * Creates the state of a member that has applied nothing.
     *
     * @param stateMachine the state machine, in its initial state
     */
    AppliedState(StateMachine stateMachine) {
        this.stateMachine = stateMachine;
    }

    /** Prepares for the replay of the log. A state machine that failed during a change starts from the beginning. */
    void beginReplay() {
        if (isDamaged) {
            stateMachine.restore(ByteString.EMPTY);
            index = 0;
            isDamaged = false;
        }
    }

    /**
     * Applies an entry, unless it has been applied already.
     *
     * @param entry the entry after the last applied one, or an earlier one
     * @return the reply of the state machine; empty for entries without a command and those applied already
     */
    ByteString apply(Entry entry) {
        if (entry.getIndex() <= index) {
            return ByteString.EMPTY;
        }
        ByteString reply = ByteString.EMPTY;
        isDamaged = true;
        if (entry.getKind() == Entry.Kind.COMMAND) {
            reply = stateMachine.apply(entry.getIndex(), entry.getStateMillis(), entry.getCommand());
        }
        index = entry.getIndex();
        isDamaged = false;
        return reply;
    }

    /**
     * Replaces the state by that of a snapshot, unless the state is at least as new.
     *
     * @param snapshot the snapshot
     */
    void restore(Snapshot snapshot) {
        if (snapshot.getIndex() <= index) {
            return;
        }
        isDamaged = true;
        stateMachine.restore(snapshot.getState());
        index = snapshot.getIndex();
        isDamaged = false;
    }

    /**
     * Encodes the complete state.
     *
     * @return the encoded state at {@link #index()}
     */
    ByteString snapshot() {
        return stateMachine.snapshot();
    }

    /** Returns the index of the last applied entry, zero before the first. */
    long index() {
        return index;
    }
}
