package org.borageproxy.control;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import org.borageproxy.lease.Duty;
import org.borageproxy.lease.Lease;
import org.borageproxy.lease.LeaseStore;
import org.borageproxy.time.Deadline;
import org.borageproxy.wire.proto.ControlProtocol.AcquireLease;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.LeaseReply;
import org.borageproxy.wire.proto.ControlProtocol.ReleaseLease;

/**
 * Stores leases in the control group. A lease starts on this VM when its request is sent, so a late reply never extends
 * it. Thread safe.
 */
public final class ControlGroupLeaseStore implements LeaseStore {

    /** Maximum time for a request, including retries. */
    private static final Duration TIMEOUT = Duration.ofMillis(2000);

    private final ControlClient client;

    /** Looks up the latest holder of a duty that was watched on this VM. */
    private final Function<Duty, Optional<Lease>> lastKnown;

    /**
     * Creates a store.
     *
     * @param client submits commands to the control group
     * @param lastKnown looks up the latest holder of a duty that was watched on this VM
     */
    public ControlGroupLeaseStore(ControlClient client, Function<Duty, Optional<Lease>> lastKnown) {
        this.client = client;
        this.lastKnown = lastKnown;
    }

    @Override
    public CompletionStage<Optional<Lease>> acquire(Duty duty) {
        long sentAtNanos = client.nanoTime();
        Command.Builder command = Command.newBuilder()
                .setAcquireLease(AcquireLease.newBuilder()
                        .setDuty(duty.name())
                        .setHolder(client.self().value())
                        .setSession(client.session()));
        return client.submitForReply(command, Deadline.after(sentAtNanos, TIMEOUT))
                .thenApply(reply -> {
                    LeaseReply lease = reply.getLease();
                    if (!lease.getGranted()) {
                        return Optional.empty();
                    }
                    Deadline expiresAt = Deadline.after(sentAtNanos, LeaseObserver.LEASE_DURATION);
                    return Optional.of(new Lease(duty, client.self(), lease.getEpoch(), expiresAt));
                });
    }

    @Override
    public CompletionStage<Void> release(Lease lease) {
        Command.Builder command = Command.newBuilder()
                .setReleaseLease(ReleaseLease.newBuilder()
                        .setDuty(lease.duty().name())
                        .setSession(client.session())
                        .setEpoch(lease.epoch()));
        return client.submitForReply(command, client.deadlineAfter(TIMEOUT)).thenApply(reply -> null);
    }

    @Override
    public Optional<Lease> lastKnownLease(Duty duty) {
        return lastKnown.apply(duty);
    }
}
