package org.borageproxy.lease;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** The leases of duties, stored by the control group. Implementations are thread safe. */
public interface LeaseStore {

    /**
     * Acquires a lease for this VM, or renews the one that it has.
     *
     * @param duty the duty
     * @return the lease; empty if another VM holds it; fails if the control group cannot be reached
     */
    CompletionStage<Optional<Lease>> acquire(Duty duty);

    /**
     * Releases a lease before it expires, so that another VM need not wait for its expiry.
     *
     * @param lease the lease
     * @return completes when the control group has released the lease, or fails
     */
    CompletionStage<Void> release(Lease lease);

    /**
     * Returns the lease of a duty that this VM has learned of last, without asking the control group. It may be
     * outdated.
     *
     * @param duty the duty
     * @return the lease, or empty if this VM has learned of none
     */
    Optional<Lease> lastKnownLease(Duty duty);
}
