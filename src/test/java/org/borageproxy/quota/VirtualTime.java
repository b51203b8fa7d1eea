package org.borageproxy.quota;

import java.util.PriorityQueue;

/** Runs tasks in order of virtual time. Not thread safe. */
final class VirtualTime {

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long nowNanos;
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

    long nowNanos() {
        return nowNanos;
    }

    void after(long delayNanos, Runnable action) {
        tasks.add(new Task(nowNanos + Math.max(0, delayNanos), order++, action));
    }

    void runUntil(long endNanos) {
        while (!tasks.isEmpty() && tasks.peek().atNanos() <= endNanos) {
            Task task = tasks.poll();
            nowNanos = task.atNanos();
            task.action().run();
        }
        nowNanos = endNanos;
    }
}
