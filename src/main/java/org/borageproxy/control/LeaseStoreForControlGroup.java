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
 * Leases kept by the control group. A lease starts on this VM's clock when its request is sent, so that a late reply
 * never makes it longer. Safe for use by any thread.
 */
public final class LeaseStoreForControlGroup implements LeaseStore {

    /** The longest time that a request may take. */
    private static final Duration PATIENCE = Duration.ofMillis(2000);

    /** Submits commands. */
    private final ControlClient client;

    /** Returns the holder of a duty that this VM heard of last. */
    private final Function<Duty, Optional<Lease>> heard;

    /**
     * Creates a store.
     *
     * @param client submits commands
     * @param heard returns the holder of a duty that this VM heard of last
     */
    public LeaseStoreForControlGroup(ControlClient client, Function<Duty, Optional<Lease>> heard) {
        this.client = client;
        this.heard = heard;
    }

    @Override
    public CompletionStage<Optional<Lease>> acquire(Duty duty) {
        long sentAtNanos = client.nanoTime();
        Command.Builder command = Command.newBuilder()
                .setAcquireLease(AcquireLease.newBuilder()
                        .setDuty(duty.name())
                        .setHolder(client.self().value())
                        .setSession(client.session()));
        return client.expect(command, Deadline.after(sentAtNanos, PATIENCE)).thenApply(reply -> {
            LeaseReply lease = reply.getLease();
            if (!lease.getGranted()) {
                return Optional.empty();
            }
            Deadline expiresAt = Deadline.after(sentAtNanos, LeaseObserver.LEASE);
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
        return client.expect(command, client.in(PATIENCE)).thenApply(reply -> null);
    }

    @Override
    public Optional<Lease> lastKnownLease(Duty duty) {
        return heard.apply(duty);
    }
}
