package org.borageproxy.experiment;

import java.util.PriorityQueue;

/**
 * A discrete-event scheduler that runs tasks in order of virtual time, and in order of submission at equal times. Time
 * advances only in {@link #advanceTo}. Not thread safe.
 */
final class VirtualTime {

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();

    private long nowNanos;

    private long taskCount;

    /**
     * A scheduled task.
     *
     * @param atNanos the virtual time of its run
     * @param sequence the order of submission, which breaks ties
     */
    private record Task(long atNanos, long sequence, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** Returns the current virtual time in nanoseconds. */
    long nowNanos() {
        return nowNanos;
    }

    /**
     * Schedules a task.
     *
     * @param delayNanos the delay from now; a negative delay counts as zero
     * @param action the task
     */
    void schedule(long delayNanos, Runnable action) {
        tasks.add(new Task(nowNanos + Math.max(0, delayNanos), taskCount++, action));
    }

    /** Runs all tasks up to and including a virtual time and advances the clock to it. */
    void runUntil(long endNanos) {
        while (!tasks.isEmpty() && tasks.peek().atNanos() <= endNanos) {
            Task task = tasks.poll();
            nowNanos = task.atNanos();
            task.action().run();
        }
        nowNanos = endNanos;
    }
}
