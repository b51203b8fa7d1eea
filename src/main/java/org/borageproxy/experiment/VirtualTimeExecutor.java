package org.borageproxy.experiment;

import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Runs scheduled tasks in virtual time. Not thread safe. */
final class VirtualTimers extends AbstractExecutorService implements ScheduledExecutorService {

    /** The virtual time. */
    private final VirtualTime time;

    /**
     * Creates timers.
     *
     * @param time the virtual time
     */
    VirtualTimers(VirtualTime time) {
        this.time = time;
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
        Task task = new Task(command);
        time.after(unit.toNanos(delay), task);
        return task;
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable command, long initial, long delay, TimeUnit unit) {
        Task handle = new Task(command);
        time.after(unit.toNanos(initial), () -> repeat(handle, command, unit.toNanos(delay)));
        return handle;
    }

    /**
     * Runs a recurring task and arranges its next run.
     *
     * @param handle tells whether it was cancelled
     * @param command the task
     * @param delayNanos when it runs again
     */
    private void repeat(Task handle, Runnable command, long delayNanos) {
        if (!handle.isCancelled()) {
            command.run();
            time.after(delayNanos, () -> repeat(handle, command, delayNanos));
        }
    }

    @Override
    public void execute(Runnable command) {
        time.after(0, command);
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
        throw new UnsupportedOperationException("Only tasks without a result are scheduled");
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable command, long initial, long period, TimeUnit unit) {
        return scheduleWithFixedDelay(command, initial, period, unit);
    }

    @Override
    public void shutdown() {
        // Virtual time ends by itself.
    }

    @Override
    public List<Runnable> shutdownNow() {
        return List.of();
    }

    @Override
    public boolean isShutdown() {
        return false;
    }

    @Override
    public boolean isTerminated() {
        return false;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return true;
    }

    /** A task with a handle to cancel it. */
    private static final class Task extends FutureTask<Void> implements ScheduledFuture<Void> {

        /**
         * Creates a task.
         *
         * @param command what it runs
         */
        Task(Runnable command) {
            super(command, null);
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return 0;
        }

        @Override
        public int compareTo(Delayed other) {
            return Long.compare(getDelay(TimeUnit.NANOSECONDS), other.getDelay(TimeUnit.NANOSECONDS));
        }
    }
}
