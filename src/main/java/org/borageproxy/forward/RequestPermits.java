package org.borageproxy.forward;

import java.time.Duration;
import java.util.random.RandomGenerator;

import org.borageproxy.time.Deadline;

/**
 * Permits of one VM to send requests to a server that limits its requests per second. The coordinator holds the whole
 * rate. An entry that selects servers itself holds a share, of which it saves at most one second: a share that does not
 * accumulate to a whole permit in that time gives one with the probability of the saved fraction, so that entries
 * together neither exceed the rate in a burst nor leave it unused. Not thread safe.
 */
final class RequestPermits {

    /** The lowest rate, at which a server that takes no requests is asked whether it still takes none. */
    static final double MIN_RATE = 0.2;
    /** Time for which the whole rate may be saved, beyond one permit. */
    private static final Duration WHOLE_RATE_SAVING = Duration.ofMillis(250);
    /** Time for which a permit that was won by its probability may be used. */
    private static final Duration WON_PERMIT_VALIDITY = Duration.ofMillis(250);

    private static final double NANOS_PER_SECOND = 1e9;

    private final RandomGenerator random;
    private double limit;
    private double level;
    private long refilledAtNanos;
    private Deadline wonUntil;

    /**
     * Creates an instance without permits.
     *
     * @param limit the requests per second that the server takes from all VMs
     * @param random draws permits that are less than whole
     * @param nowNanos the current time of the clock
     */
    RequestPermits(double limit, RandomGenerator random, long nowNanos) {
        this.limit = limit;
        this.random = random;
        this.refilledAtNanos = nowNanos;
        this.wonUntil = new Deadline(nowNanos);
    }

    /** Changes the limit; saved permits are kept. */
    void changeLimit(double newLimit) {
        limit = newLimit;
    }

    private static double rate(double limit, double share) {
        return Math.max(MIN_RATE, limit) * share;
    }

    private void refill(double share, long nowNanos) {
        double rate = rate(limit, share);
        double seconds = Math.max(0, nowNanos - refilledAtNanos) / NANOS_PER_SECOND;
        refilledAtNanos = nowNanos;
        double capacity = share < 1 ? rate : 1 + rate * WHOLE_RATE_SAVING.toNanos() / NANOS_PER_SECOND;
        boolean isWon = level >= 1 && !wonUntil.hasPassed(nowNanos);
        level = isWon ? level : Math.min(capacity, level + rate * seconds);
    }

    /**
     * Returns whether a request may be sent now. May use up the saved fraction of a permit.
     *
     * @param share the fraction of the limit that this VM may use; one if it holds the whole rate
     * @param nowNanos the current time of the clock
     * @return whether {@link #acquire} may be called
     */
    boolean isAvailable(double share, long nowNanos) {
        refill(share, nowNanos);
        if (level < 1 && share < 1) {
            level = random.nextDouble() < level ? 1 : 0;
            wonUntil = Deadline.after(nowNanos, WON_PERMIT_VALIDITY);
        }
        return level >= 1;
    }

    /** Uses a permit; also one that is not available, which delays the next one. */
    void acquire(double share, long nowNanos) {
        refill(share, nowNanos);
        level -= 1;
    }

    /** Returns when a holder of the whole rate has its next permit. */
    Deadline availableAt(long nowNanos) {
        refill(1, nowNanos);
        double seconds = Math.max(0, 1 - level) / rate(limit, 1);
        return Deadline.after(nowNanos, Duration.ofNanos((long) (seconds * NANOS_PER_SECOND) + 1));
    }
}
