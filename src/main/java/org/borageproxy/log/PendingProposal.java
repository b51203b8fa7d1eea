package org.borageproxy.log;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import org.borageproxy.vm.VmName;

/**
 * A proposal whose outcome is pending. Immutable and thread safe.
 *
 * @param outcome completed with the outcome
 * @param leader returns the currently known leader, reported if the entry was refused or overwritten
 */
record PendingProposal(CompletableFuture<ReplicatedLog.ProposalOutcome> outcome, Supplier<Optional<VmName>> leader)
        implements PendingEntries.Waiter {

    @Override
    public void onApplied(long index, ByteString reply) {
        outcome.complete(new ReplicatedLog.ProposalOutcome.Committed(index, reply));
    }

    @Override
    public void onNotApplied() {
        outcome.complete(new ReplicatedLog.ProposalOutcome.NotLeader(leader.get()));
    }

    @Override
    public void onOutcomeUnknown() {
        outcome.complete(new ReplicatedLog.ProposalOutcome.Unknown());
    }
}
