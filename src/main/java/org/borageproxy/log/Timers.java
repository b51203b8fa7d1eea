package org.borageproxy.log;

import java.util.Comparator;
import java.util.PriorityQueue;

import org.borageproxy.time.Deadline;

/** Actions scheduled for deadlines. Not thread safe; used by the core thread. */
final class Timers {

    private record Timer(Deadline deadline, Runnable action) {}

    private final PriorityQueue<Timer> timers = new PriorityQueue<>(Comparator.comparing(Timer::deadline));

    void schedule(Deadline deadline, Runnable action) {
        timers.add(new Timer(deadline, action));
    }

    /**
     * Runs the actions whose deadline has passed.
     *
     * @param nowNanos the current time on the monotonic clock
     */
    void runDue(long nowNanos) {
        while (!timers.isEmpty() && timers.peek().deadline().hasPassed(nowNanos)) {
            timers.remove().action().run();
        }
    }

    /** Returns the given deadline or that of the next action, whichever is earlier. */
    Deadline earliest(Deadline deadline) {
        return timers.isEmpty() ? deadline : timers.peek().deadline().earlierOf(deadline);
    }
}
