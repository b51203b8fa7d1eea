package org.borageproxy.log;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import org.borageproxy.vm.VmName;

/**
 * A caller that waits for its command. Immutable and thread safe.
 *
 * @param outcome takes the outcome
 * @param leader returns the leader, if known
 */
record PendingProposal(CompletableFuture<ReplicatedLog.ProposalOutcome> outcome, Supplier<Optional<VmName>> leader)
        implements PendingEntries.Waiter {

    @Override
    public void onApplied(long index, ByteString reply) {
        outcome.complete(new ReplicatedLog.ProposalOutcome.Committed(index, reply));
    }

    @Override
    public void onOverwritten() {
        outcome.complete(new ReplicatedLog.ProposalOutcome.NotLeader(leader.get()));
    }

    @Override
    public void onOutcomeUnknown() {
        outcome.complete(new ReplicatedLog.ProposalOutcome.Unknown());
    }
}
