package org.borageproxy.log;

import java.util.concurrent.CompletableFuture;

import com.google.protobuf.ByteString;
import org.borageproxy.log.consensus.MemberChange;
import org.borageproxy.time.Deadline;

/**
 * A membership change whose outcome is pending. Immutable and thread safe.
 *
 * @param change the change
 * @param deadline the time after which the change is no longer retried
 * @param outcome completed with the outcome
 */
record PendingChange(MemberChange change, Deadline deadline, CompletableFuture<ChangeOutcome> outcome)
        implements PendingEntries.Waiter {

    @Override
    public void onApplied(long index, ByteString reply) {
        outcome.complete(new ChangeOutcome.Committed(index));
    }

    @Override
    public void onNotApplied() {
        outcome.complete(new ChangeOutcome.Refused(MemberChange.Refusal.NOT_LEADER));
    }

    @Override
    public void onOutcomeUnknown() {
        outcome.complete(new ChangeOutcome.Unknown());
    }
}
