package org.borageproxy.log;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;

/** The replicated log of the control group, accessed through this VM's member. Implementations are thread safe. */
public interface ReplicatedLog {

    /**
     * Proposes a command; only the leader accepts it.
     *
     * @param command the encoded command
     * @param deadline the time after which the outcome is reported as unknown
     * @return the outcome; never completes exceptionally
     * @throws IllegalArgumentException if the command exceeds {@link GroupMember#MAXIMUM_COMMAND_BYTES}
     */
    CompletionStage<ProposalOutcome> propose(ByteString command, Deadline deadline);

    /**
     * Waits until the local state machine has applied every entry that was committed before the call, as confirmed by
     * the leader with a majority.
     *
     * @param deadline the time after which the read counts as unconfirmed
     * @return {@code true} if reads of the local state machine are current, {@code false} if that was not confirmed
     */
    CompletionStage<Boolean> confirmRead(Deadline deadline);

    /**
     * Returns the leader of the current term, as far as this VM has learned it.
     *
     * @return the leader's VM, or empty if unknown
     */
    Optional<VmName> leader();

    /**
     * Returns whether this VM is the leader and its lease has not expired.
     *
     * @return {@code true} only while no other member can lead
     */
    boolean isLeader();

    /** The outcome of a proposal. */
    sealed interface ProposalOutcome {

        /**
         * The command was committed and applied.
         *
         * @param index the log index of the command
         * @param reply the reply of the state machine
         */
        record Committed(long index, ByteString reply) implements ProposalOutcome {}

        /**
         * The command was not accepted and will not be applied.
         *
         * @param leader the leader, if known
         */
        record NotLeader(Optional<VmName> leader) implements ProposalOutcome {}

        /** The outcome was not determined before the deadline; the command may still be applied. */
        record Unknown() implements ProposalOutcome {}
    }
}
