package org.borageproxy.experiment;

import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Adapts virtual time to the executor interface, so that production code schedules its timers in it. Tasks run on the
 * thread that advances the virtual time. Shutdown has no effect, and delays of scheduled tasks are not reported. Not
 * thread safe.
 */
final class VirtualTimeExecutor extends AbstractExecutorService implements ScheduledExecutorService {

    private final VirtualTime time;

    VirtualTimeExecutor(VirtualTime time) {
        this.time = time;
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
        Task task = new Task(command);
        time.schedule(unit.toNanos(delay), task);
        return task;
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable command, long initial, long delay, TimeUnit unit) {
        Task handle = new Task(command);
        time.schedule(unit.toNanos(initial), () -> repeat(handle, command, unit.toNanos(delay)));
        return handle;
    }

    /** Runs a periodic task and schedules its next run unless the handle is cancelled. */
    private void repeat(Task handle, Runnable command, long delayNanos) {
        if (!handle.isCancelled()) {
            command.run();
            time.schedule(delayNanos, () -> repeat(handle, command, delayNanos));
        }
    }

    @Override
    public void execute(Runnable command) {
        time.schedule(0, command);
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
        throw new UnsupportedOperationException("Callables are not supported");
    }

    /** Equal to a fixed delay, since tasks take no virtual time. */
    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable command, long initial, long period, TimeUnit unit) {
        return scheduleWithFixedDelay(command, initial, period, unit);
    }

    @Override
    public void shutdown() {
        // Tasks end with the virtual time.
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

    /** A task with a handle for cancellation. */
    private static final class Task extends FutureTask<Void> implements ScheduledFuture<Void> {

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
