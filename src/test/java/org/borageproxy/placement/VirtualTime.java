package org.borageproxy.placement;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in the order of their virtual times. Used by one thread. */
final class VirtualTime {

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atNanos).thenComparingLong(Task::number));
    private long nowNanos = Duration.ofDays(1).toNanos();
    private long number;

    /**
     * A task.
     *
     * @param atNanos when it runs
     * @param number keeps tasks of equal times in order
     * @param action what it does
     */
    private record Task(long atNanos, long number, Runnable action) {}

    long now() {
        return nowNanos;
    }

    void after(long millis, Runnable action) {
        number++;
        tasks.add(new Task(nowNanos + Duration.ofMillis(millis).toNanos(), number, action));
    }

    void every(long millis, Runnable action) {
        after(millis, () -> {
            action.run();
            every(millis, action);
        });
    }

    void run(Duration duration) {
        long endNanos = nowNanos + duration.toNanos();
        while (tasks.peek() != null && tasks.peek().atNanos() <= endNanos) {
            Task task = tasks.poll();
            nowNanos = task.atNanos();
            task.action().run();
        }
        nowNanos = endNanos;
    }
}
