package org.borageproxy.server;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.borageproxy.lease.Duty;
import org.borageproxy.lease.Lease;
import org.borageproxy.lease.LeaseStore;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.tree.ConfigurationSource;

/**
 * Lease store for duties that depend on the configuration. Acquires and renews a lease only while this VM has a
 * configuration that is confirmed as current. Otherwise a VM that has just started would act on an empty configuration.
 * Immutable and thread safe.
 *
 * @param leases the underlying store
 * @param configuration the configuration in force on this VM
 * @param clock the monotonic clock
 */
record FreshConfigurationLeaseStore(LeaseStore leases, ConfigurationSource configuration, MonotonicClock clock)
        implements LeaseStore {

    @Override
    public CompletionStage<Optional<Lease>> acquire(Duty duty) {
        boolean isKnown = configuration.current().revision() > 0;
        if (!isKnown || !configuration.isFresh(clock.nanoTime())) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return leases.acquire(duty);
    }

    @Override
    public CompletionStage<Void> release(Lease lease) {
        return leases.release(lease);
    }

    @Override
    public Optional<Lease> lastKnownLease(Duty duty) {
        return leases.lastKnownLease(duty);
    }
}
