package org.borageproxy.control;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Schedules tasks. Implementations are thread safe. */
@FunctionalInterface
public interface Timer {

    /**
     * Runs a task once after a delay.
     *
     * @param delay the delay
     * @param task the task; must not block
     */
    void schedule(Duration delay, Runnable task);

    /**
     * Returns a timer that runs its tasks on an executor.
     *
     * @param executor the executor; shut down by the caller
     * @return the timer
     */
    static Timer of(ScheduledExecutorService executor) {
        return (delay, task) -> executor.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }
}
