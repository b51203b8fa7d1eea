package org.borageproxy.experiment;

import java.util.PriorityQueue;

/** Runs tasks in order of virtual time. Not thread safe. */
final class VirtualTime {

    /** The pending tasks. */
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();

    /** The time now. */
    private long nowNanos;

    /** Counts the tasks. */
    private long order;

    /**
     * A task at a moment.
     *
     * @param atNanos the moment
     * @param order breaks ties
     * @param action what to run
     */
    private record Task(long atNanos, long order, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /**
     * Returns the time now.
     *
     * @return nanoseconds
     */
    long nowNanos() {
        return nowNanos;
    }

    /**
     * Arranges a task.
     *
     * @param delayNanos when it runs, from now
     * @param action the task
     */
    void after(long delayNanos, Runnable action) {
        tasks.add(new Task(nowNanos + Math.max(0, delayNanos), order++, action));
    }

    /**
     * Runs the tasks up to a moment.
     *
     * @param endNanos the moment
     */
    void runUntil(long endNanos) {
        while (!tasks.isEmpty() && tasks.peek().atNanos() <= endNanos) {
            Task task = tasks.poll();
            nowNanos = task.atNanos();
            task.action().run();
        }
        nowNanos = endNanos;
    }
}
