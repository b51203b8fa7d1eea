package org.borageproxy.placement;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;

import org.borageproxy.event.Event;
import org.borageproxy.lease.Duty;
import org.borageproxy.lease.Lease;
import org.borageproxy.time.Deadline;

/**
 * Does the placement duty while this VM holds its lease. A new epoch starts with an empty term, which reads the open
 * intents of earlier owners before it plans. Everything runs on one executor that runs one task at a time; only the
 * lease is also read by the threads that send orders.
 */
public final class PlacementOwner {

    /** The time between two renewals of the lease. */
    private static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(1);

    /** What the owner works with. */
    private final PlacementDependencies parts;
    /** Runs one task at a time. */
    private final Executor executor;
    /** The lease that this VM heard of last, {@code null} while it holds none. */
    private volatile Lease lease;
    /** The work of the current epoch, {@code null} before the first. */
    private PlacementTerm term;
    /** Whether the lease is being acquired. */
    private boolean acquiring;
    /** When the lease is renewed next. */
    private Deadline renewAt;

    /**
     * Creates an owner without the duty.
     *
     * @param parts what the owner works with
     * @param executor runs one task at a time
     */
    public PlacementOwner(PlacementDependencies parts, Executor executor) {
        this.parts = parts;
        this.executor = executor;
        renewAt = new Deadline(parts.clock().nanoTime());
    }

    /** Does what is due now. */
    public void tick() {
        executor.execute(this::run);
    }

    /** Gives the duty back before the lease expires, so that another VM can take it at once. */
    public void release() {
        executor.execute(() -> {
            Lease held = lease;
            lease = null;
            if (held != null) {
                parts.leases().release(held);
            }
        });
    }

    /** Renews the lease and, while it holds, runs the term. */
    private void run() {
        long nowNanos = parts.clock().nanoTime();
        if (!acquiring && renewAt.hasPassed(nowNanos)) {
            renew(nowNanos);
        }
        Lease held = lease;
        if (held == null || held.expiresAt().hasPassed(nowNanos)) {
            return;
        }
        if (term == null || term.epoch() != held.epoch()) {
            term = new PlacementTerm(parts, executor, held.epoch(), () -> holds(held.epoch()));
            parts.events().record(Event.named("placement-owner").with("epoch", held.epoch()));
        }
        term.run(nowNanos);
    }

    /**
     * Acquires or renews the lease.
     *
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     */
    private void renew(long nowNanos) {
        acquiring = true;
        renewAt = Deadline.after(nowNanos, RENEWAL_INTERVAL);
        parts.leases().acquire(Duty.PLACEMENT).whenCompleteAsync((acquired, failure) -> acquired(acquired), executor);
    }

    /**
     * Takes the answer to an attempt to acquire the lease; after a failure the last lease holds until it expires.
     *
     * @param acquired the lease, empty if another VM holds it, {@code null} after a failure
     */
    private void acquired(Optional<Lease> acquired) {
        acquiring = false;
        if (acquired != null) {
            lease = acquired.orElse(null);
        }
    }

    /**
     * Tells whether this VM holds the duty at this moment.
     *
     * @param epoch the epoch
     * @return {@code true} if the lease of the epoch has not expired
     */
    private boolean holds(long epoch) {
        Lease held = lease;
        return held != null
                && held.epoch() == epoch
                && !held.expiresAt().hasPassed(parts.clock().nanoTime());
    }
}
