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
record PendingProposal(CompletableFuture<ReplicatedLog.Proposal> outcome, Supplier<Optional<VmName>> leader)
        implements PendingEntries.Waiter {

    @Override
    public void applied(long index, ByteString reply) {
        outcome.complete(new ReplicatedLog.Proposal.Committed(index, reply));
    }

    @Override
    public void overwritten() {
        outcome.complete(new ReplicatedLog.Proposal.NotLeader(leader.get()));
    }

    @Override
    public void unknown() {
        outcome.complete(new ReplicatedLog.Proposal.Unknown());
    }
}
