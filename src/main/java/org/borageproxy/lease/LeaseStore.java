package org.borageproxy.lease;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** Leases of duties, kept by the control group. Implementations are safe for use by any thread. */
public interface LeaseStore {

    /**
     * Acquires or renews a lease for this VM.
     *
     * @param duty the duty
     * @return the lease, or empty if another VM holds it, or a failure if the control group cannot be reached
     */
    CompletionStage<Optional<Lease>> acquire(Duty duty);

    /**
     * Gives a lease back before it expires.
     *
     * @param lease the lease
     * @return completes when the duty is free, or fails
     */
    CompletionStage<Void> release(Lease lease);

    /**
     * Returns the holder of a duty as far as this VM knows; the knowledge may be late.
     *
     * @param duty the duty
     * @return the lease that this VM heard of last
     */
    Optional<Lease> lastKnownLease(Duty duty);
}
