package org.borageproxy.time;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Discrete-event scheduler with a simulated clock. Tasks run in the order of their times; tasks of the same time run in
 * the order in which they were scheduled. Not thread safe: used by a single thread.
 */
public final class VirtualTime {

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atNanos).thenComparingLong(Task::number));
    private long nowNanos;
    private long lastTaskNumber;

    private record Task(long atNanos, long number, Runnable action) {}

    /**
     * Creates a scheduler without tasks.
     *
     * @param startNanos the initial reading of the clock in nanoseconds
     */
    public VirtualTime(long startNanos) {
        nowNanos = startNanos;
    }

    /**
     * Returns the current reading of the clock; while a task runs, this is the task's time.
     *
     * @return the reading in nanoseconds
     */
    public long nowNanos() {
        return nowNanos;
    }

    /**
     * Schedules a task.
     *
     * @param delayNanos the delay in nanoseconds; a negative one counts as zero
     * @param action the task
     */
    public void scheduleAfterNanos(long delayNanos, Runnable action) {
        lastTaskNumber++;
        tasks.add(new Task(nowNanos + Math.max(0, delayNanos), lastTaskNumber, action));
    }

    /**
     * Schedules a task.
     *
     * @param delayMillis the delay in milliseconds; a negative one counts as zero
     * @param action the task
     */
    public void scheduleAfterMillis(long delayMillis, Runnable action) {
        scheduleAfterNanos(Duration.ofMillis(delayMillis).toNanos(), action);
    }

    /**
     * Schedules a task periodically, without end; the first run follows after one period.
     *
     * @param periodMillis the time between two runs in milliseconds
     * @param action the task
     */
    public void scheduleEveryMillis(long periodMillis, Runnable action) {
        scheduleAfterMillis(periodMillis, () -> {
            action.run();
            scheduleEveryMillis(periodMillis, action);
        });
    }

    /**
     * Advances the clock and runs the tasks that become due, including those which these tasks schedule.
     *
     * @param duration the time by which to advance
     */
    public void advance(Duration duration) {
        advanceTo(nowNanos + duration.toNanos());
    }

    /**
     * Advances the clock to a reading and runs the tasks that become due, including those which these tasks schedule.
     *
     * @param endNanos the reading in nanoseconds; tasks due exactly then run as well
     */
    public void advanceTo(long endNanos) {
        while (!tasks.isEmpty() && tasks.peek().atNanos() <= endNanos) {
            Task task = tasks.poll();
            nowNanos = task.atNanos();
            task.action().run();
        }
        nowNanos = endNanos;
    }
}
