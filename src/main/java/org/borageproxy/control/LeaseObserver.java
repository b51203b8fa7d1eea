package org.borageproxy.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.borageproxy.time.Deadline;

/**
 * Detects expired leases on this VM's monotonic clock. A renewal expires a fixed time after this VM has first observed
 * it. The holder counts its lease from before it sent the request, so the lease has already ended there, and clocks of
 * different VMs are never compared. Thread safe.
 */
final class LeaseObserver {

    /** Lease duration, counted by the holder from when it sent the request. */
    static final Duration LEASE_DURATION = Duration.ofMillis(3000);

    /** Additional time without a renewal before another VM may acquire the duty. */
    static final Duration TAKEOVER_MARGIN = Duration.ofMillis(750);

    /** Latest observed renewals by duty. */
    private final Map<String, Observation> observations = new HashMap<>();

    /**
     * Records the current renewal of a duty and returns whether this VM first observed it at least the lease duration
     * and the margin ago. Then the holder no longer uses the lease.
     */
    synchronized boolean detectExpiry(String duty, long renewal, long nowNanos) {
        Observation observation = observations.get(duty);
        if (observation == null || observation.renewal() != renewal) {
            observations.put(
                    duty, new Observation(renewal, Deadline.after(nowNanos, LEASE_DURATION.plus(TAKEOVER_MARGIN))));
            return false;
        }
        return observation.expiresAt().hasPassed(nowNanos);
    }

    private record Observation(long renewal, Deadline expiresAt) {}
}
