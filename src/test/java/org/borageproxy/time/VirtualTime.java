package org.borageproxy.time;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in the order of their virtual times, and tasks of equal times as they came. Used by one thread. */
public final class VirtualTime {

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atNanos).thenComparingLong(Task::number));
    private long nowNanos;
    private long number;

    private record Task(long atNanos, long number, Runnable action) {}

    /**
     * Begins at a reading of the clock.
     *
     * @param startNanos the reading
     */
    public VirtualTime(long startNanos) {
        nowNanos = startNanos;
    }

    /**
     * Returns the reading of the clock.
     *
     * @return the reading in nanoseconds
     */
    public long nowNanos() {
        return nowNanos;
    }

    /**
     * Runs a task later.
     *
     * @param delayNanos the time until then; a negative one counts as zero
     * @param action the task
     */
    public void afterNanos(long delayNanos, Runnable action) {
        number++;
        tasks.add(new Task(nowNanos + Math.max(0, delayNanos), number, action));
    }

    /**
     * Runs a task later.
     *
     * @param delayMillis the time until then
     * @param action the task
     */
    public void afterMillis(long delayMillis, Runnable action) {
        afterNanos(Duration.ofMillis(delayMillis).toNanos(), action);
    }

    /**
     * Runs a task again and again.
     *
     * @param periodMillis the time between two runs
     * @param action the task
     */
    public void everyMillis(long periodMillis, Runnable action) {
        afterMillis(periodMillis, () -> {
            action.run();
            everyMillis(periodMillis, action);
        });
    }

    /**
     * Lets time pass.
     *
     * @param duration how much
     */
    public void run(Duration duration) {
        runUntil(nowNanos + duration.toNanos());
    }

    /**
     * Lets time pass up to a reading of the clock.
     *
     * @param endNanos the reading
     */
    public void runUntil(long endNanos) {
        while (!tasks.isEmpty() && tasks.peek().atNanos() <= endNanos) {
            Task task = tasks.poll();
            nowNanos = task.atNanos();
            task.action().run();
        }
        nowNanos = endNanos;
    }
}
