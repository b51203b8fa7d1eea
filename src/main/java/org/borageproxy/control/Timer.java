package org.borageproxy.control;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs tasks later. Implementations are safe for use by any thread. */
@FunctionalInterface
public interface Timer {

    /**
     * Runs a task once.
     *
     * @param delay the time until the task runs
     * @param task the task, which must not block
     */
    void schedule(Duration delay, Runnable task);

    /**
     * Returns a timer that runs its tasks on an executor.
     *
     * @param executor the executor
     * @return the timer
     */
    static Timer of(ScheduledExecutorService executor) {
        return (delay, task) -> executor.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }
}
