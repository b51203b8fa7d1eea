package org.borageproxy.log;

import java.util.Comparator;
import java.util.PriorityQueue;

import org.borageproxy.time.Deadline;

/** Actions that are due at deadlines. Not thread safe; used by the core thread. */
final class Timers {

    /**
     * An action.
     *
     * @param deadline when it is due
     * @param action the action
     */
    private record Timer(Deadline deadline, Runnable action) {}

    /** The actions, the next one first. */
    private final PriorityQueue<Timer> timers = new PriorityQueue<>(Comparator.comparing(Timer::deadline));

    /**
     * Adds an action.
     *
     * @param deadline when it is due
     * @param action the action
     */
    void schedule(Deadline deadline, Runnable action) {
        timers.add(new Timer(deadline, action));
    }

    /**
     * Runs the actions that are due.
     *
     * @param nowNanos the reading of the clock
     */
    void runDue(long nowNanos) {
        while (!timers.isEmpty() && timers.peek().deadline().hasPassed(nowNanos)) {
            timers.remove().action().run();
        }
    }

    /**
     * Returns the earlier of a deadline and the next action.
     *
     * @param deadline the deadline
     * @return the earlier one
     */
    Deadline earliest(Deadline deadline) {
        return timers.isEmpty() ? deadline : timers.peek().deadline().earlierOf(deadline);
    }
}
