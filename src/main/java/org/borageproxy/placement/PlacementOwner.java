package org.borageproxy.placement;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;

import org.borageproxy.event.Event;
import org.borageproxy.lease.Duty;
import org.borageproxy.lease.Lease;
import org.borageproxy.time.Deadline;

/**
 * Performs the placement duty while this VM holds its lease. Each new epoch starts with an empty term, which reads the
 * open intents of earlier owners before it plans. All work runs on one executor that runs tasks one at a time; only the
 * lease is also read by the threads that send orders.
 */
public final class PlacementOwner {

    private static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(1);

    private final PlacementDependencies dependencies;
    private final Executor executor;
    /** The last acquired lease, {@code null} if this VM holds none; it may have expired. */
    private volatile Lease lease;
    /** The term of the last epoch in which this VM held the lease, {@code null} before the first. */
    private PlacementTerm term;

    private boolean isAcquiring;
    private Deadline renewAt;

    /**
     * Creates an owner that does not hold the lease.
     *
     * @param dependencies the collaborators
     * @param executor runs tasks one at a time
     */
    public PlacementOwner(PlacementDependencies dependencies, Executor executor) {
        this.dependencies = dependencies;
        this.executor = executor;
        renewAt = new Deadline(dependencies.clock().nanoTime());
    }

    /** Schedules the renewal of the lease and the work of the term, as far as they are due. Any thread may call it. */
    public void tick() {
        executor.execute(this::runDue);
    }

    /** Releases the lease before it expires, so that another VM can acquire it immediately. */
    public void release() {
        executor.execute(() -> {
            Lease current = lease;
            lease = null;
            if (current != null) {
                dependencies.leases().release(current);
            }
        });
    }

    private void runDue() {
        long nowNanos = dependencies.clock().nanoTime();
        if (!isAcquiring && renewAt.hasPassed(nowNanos)) {
            renew(nowNanos);
        }
        Lease current = lease;
        if (current == null || current.expiresAt().hasPassed(nowNanos)) {
            return;
        }
        if (term == null || term.epoch() != current.epoch()) {
            term = new PlacementTerm(dependencies, executor, current.epoch(), () -> holdsLease(current.epoch()));
            dependencies.events().record(Event.named("placement-owner").with("epoch", current.epoch()));
        }
        term.run(nowNanos);
    }

    private void renew(long nowNanos) {
        isAcquiring = true;
        renewAt = Deadline.after(nowNanos, RENEWAL_INTERVAL);
        dependencies
                .leases()
                .acquire(Duty.PLACEMENT)
                .whenCompleteAsync((acquired, failure) -> onAcquired(acquired), executor);
    }

    /** After a failure ({@code null}) the last lease stays valid until it expires. */
    private void onAcquired(Optional<Lease> acquired) {
        isAcquiring = false;
        if (acquired != null) {
            lease = acquired.orElse(null);
        }
    }

    private boolean holdsLease(long epoch) {
        Lease current = lease;
        return current != null
                && current.epoch() == epoch
                && !current.expiresAt().hasPassed(dependencies.clock().nanoTime());
    }
}
