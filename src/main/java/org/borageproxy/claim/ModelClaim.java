package org.borageproxy.claim;

import java.time.Duration;

import org.borageproxy.time.Deadline;

/**
 * The claims of one model, with all of its adapters. Immutable and thread safe.
 *
 * @param sinceNanos the time of the earliest request that was not served, on the monotonic clock
 * @param latestRequestAtNanos the time of the latest one
 * @param priority the requests that were not served, each claim's times its age in seconds
 * @param recentRefusals the requests that were refused without a wait in the last half second or so
 */
public record ModelClaim(long sinceNanos, long latestRequestAtNanos, double priority, int recentRefusals) {

    /** Time without service after which a model takes the place of one in more demand. */
    private static final Duration MAX_PATIENCE = Duration.ofSeconds(8);
    /** Time after the first request at which callers other than the first are known to ask. */
    private static final Duration REPETITION_TIME = Duration.ofSeconds(4);

    /**
     * Adds the claim of another target of the model.
     *
     * @param other the other claim
     * @return the claim of both
     */
    public ModelClaim plus(ModelClaim other) {
        return new ModelClaim(
                Math.min(sinceNanos, other.sinceNanos),
                Math.max(latestRequestAtNanos, other.latestRequestAtNanos),
                priority + other.priority,
                recentRefusals + other.recentRefusals);
    }

    /**
     * Returns whether the model has been asked for again and again and not been served for so long that models in more
     * demand give way.
     *
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return {@code false} if only the first callers asked for it
     */
    public boolean isOverdue(long nowNanos) {
        return Deadline.after(sinceNanos, MAX_PATIENCE).hasPassed(nowNanos)
                && Deadline.after(sinceNanos, REPETITION_TIME).hasPassed(latestRequestAtNanos);
    }
}
