package org.borageproxy.log;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;

/** This VM's member of the control group. Implementations are safe for use by any thread. */
public interface ReplicatedLog {

    /**
     * Proposes a command; only the leader accepts it.
     *
     * @param command the encoded command
     * @param deadline when to give up
     * @return the outcome; never fails
     */
    CompletionStage<ProposalOutcome> propose(ByteString command, Deadline deadline);

    /**
     * Waits until the local state machine holds everything that was committed before the call, as confirmed by the
     * leader with a majority.
     *
     * @param deadline when to give up
     * @return {@code true} if reads of the local state machine are current, {@code false} if unconfirmed
     */
    CompletionStage<Boolean> confirmRead(Deadline deadline);

    /**
     * Returns the leader as far as this VM knows.
     *
     * @return the leader's name
     */
    Optional<VmName> leader();

    /**
     * Tells whether this VM is the leader and still holds its lease.
     *
     * @return {@code true} for the leader
     */
    boolean isLeader();

    /** The outcome of a proposal. */
    sealed interface ProposalOutcome {

        /**
         * The command was committed and applied.
         *
         * @param index the command's index
         * @param reply the reply of the state machine
         */
        record Committed(long index, ByteString reply) implements ProposalOutcome {}

        /**
         * The command was not accepted and will not be applied.
         *
         * @param leader the leader, if known
         */
        record NotLeader(Optional<VmName> leader) implements ProposalOutcome {}

        /** The command may or may not be applied later. */
        record Unknown() implements ProposalOutcome {}
    }
}
