package org.borageproxy.forward;

import java.time.Duration;
import java.util.Optional;

import org.borageproxy.time.Deadline;

/**
 * How long a request waits for a model or adapter that no engine has, and when its caller should come back if it is not
 * served by then. Immutable and thread safe.
 *
 * @param duration the time to wait; zero if the request should be refused at once
 * @param retryAfter the time after which the caller should come back
 */
record ModelWait(Duration duration, Duration retryAfter) {

    /** Maximum wait for a load of the model or adapter to be ordered. */
    private static final Duration MAX_ORDER_WAIT = Duration.ofMillis(700);
    /** Minimum time to run a request once its model is loaded. */
    private static final Duration MIN_RUN_TIME = Duration.ofMillis(300);
    /** Minimum time after which a caller comes back for a model whose load was not ordered or did not end in time. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(1500);

    /**
     * The times of a request.
     *
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @param waitedMillis the time that it has waited, in milliseconds
     * @param deadlineMillis the time until its deadline, in milliseconds
     */
    record Times(long nowNanos, long waitedMillis, long deadlineMillis) {

        /**
         * Decides on the wait.
         *
         * @param availableAt the expected end of the load, empty if it has not been ordered
         * @param mayBeOrdered whether it may be ordered for the request
         * @param earliestAt the earliest time at which it could be usable if it has not been ordered, if known
         * @return the decision
         */
        ModelWait decide(Optional<Deadline> availableAt, boolean mayBeOrdered, Optional<Deadline> earliestAt) {
            if (availableAt.isPresent()) {
                Duration remaining = remaining(availableAt.get());
                return isInTime(remaining)
                        ? new ModelWait(remaining, MIN_RETRY_AFTER)
                        : new ModelWait(Duration.ZERO, remaining);
            }
            Duration load = earliestAt.map(this::remaining).orElse(Duration.ZERO);
            boolean mayWait = mayBeOrdered && isInTime(load);
            return new ModelWait(mayWait ? remainingOrderWait() : Duration.ZERO, retryAfter(load));
        }

        /**
         * A caller who comes back soon can wait for the rest of a load that was ordered meanwhile, if it has the time.
         */
        private Duration retryAfter(Duration load) {
            boolean isLong = load.compareTo(MIN_RETRY_AFTER) > 0;
            return isLong && !isInTime(load.plus(MIN_RETRY_AFTER)) ? load : MIN_RETRY_AFTER;
        }

        private Duration remaining(Deadline deadline) {
            return Duration.ofNanos(deadline.remainingNanos(nowNanos));
        }

        private boolean isInTime(Duration untilUsable) {
            return untilUsable.plus(MIN_RUN_TIME).toMillis() < deadlineMillis;
        }

        private Duration remainingOrderWait() {
            Duration remaining = MAX_ORDER_WAIT.minusMillis(waitedMillis);
            return remaining.isNegative() ? Duration.ZERO : remaining;
        }
    }
}
