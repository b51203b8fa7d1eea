package org.borageproxy.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.borageproxy.time.Deadline;

/**
 * Measures on this VM's monotonic clock for how long a lease was not renewed. The clock starts when a renewal is seen
 * first, which is after its holder started its own clock, so that no comparison between VMs is needed. Safe for use by
 * any thread.
 */
final class LeaseObserver {

    /** How long a holder may use a lease, counted from when it sent the request. */
    static final Duration LEASE = Duration.ofMillis(3000);

    /** How much longer a lease must be unrenewed before another VM gets the duty. */
    static final Duration MARGIN = Duration.ofMillis(750);

    /** What was seen, by duty. */
    private final Map<String, Sighting> sightings = new HashMap<>();

    /**
     * Notes a renewal and tells whether it has run out.
     *
     * @param duty the duty's name
     * @param renewal the renewal of the duty's lease
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return {@code true} if the holder has stopped for certain
     */
    synchronized boolean hasRunOut(String duty, long renewal, long nowNanos) {
        Sighting sighting = sightings.get(duty);
        if (sighting == null || sighting.renewal() != renewal) {
            sightings.put(duty, new Sighting(renewal, Deadline.after(nowNanos, LEASE.plus(MARGIN))));
            return false;
        }
        return sighting.runsOutAt().hasPassed(nowNanos);
    }

    /**
     * A renewal that was seen.
     *
     * @param renewal the renewal
     * @param runsOutAt when the holder has stopped for certain, unless a later renewal is seen
     */
    private record Sighting(long renewal, Deadline runsOutAt) {}
}
