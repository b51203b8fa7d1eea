package org.borageproxy.warmup;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * How the servers of a service warm up. Immutable and thread safe.
 *
 * @param duration the time from its start for which a server is cold, unless it states another one
 * @param requestsPerSecond the requests per second that a cold server takes from all VMs together; empty for no limit
 */
public record WarmUpRules(Duration duration, OptionalDouble requestsPerSecond) {

    /** The rules of a service whose servers need no time to warm up. */
    public static final WarmUpRules NONE = new WarmUpRules(Duration.ZERO, OptionalDouble.empty());

    /** Rejects negative values and limits that are no numbers. */
    public WarmUpRules {
        if (duration.isNegative()) {
            throw new IllegalArgumentException("Negative warm-up time: " + duration);
        }
        if (requestsPerSecond.isPresent() && !(requestsPerSecond.getAsDouble() > 0)) {
            throw new IllegalArgumentException("Limit must be positive: " + requestsPerSecond.getAsDouble());
        }
    }
}
