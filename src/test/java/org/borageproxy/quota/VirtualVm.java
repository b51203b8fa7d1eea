package org.borageproxy.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.borageproxy.time.VirtualTime;
import org.borageproxy.vm.VmName;

/** One run of a VM's process in virtual time, with a drifting clock. It can be paused and killed. Not thread safe. */
final class VirtualVm extends AbstractExecutorService implements ScheduledExecutorService {

    final VmName name;
    final double clockSpeed;
    final long clockOffsetNanos;
    private final VirtualTime time;
    private final List<Runnable> deferred = new ArrayList<>();
    private boolean frozen;
    private boolean dead;

    VirtualVm(VmName name, VirtualTime time, double clockSpeed, long clockOffsetNanos) {
        this.name = name;
        this.time = time;
        this.clockSpeed = clockSpeed;
        this.clockOffsetNanos = clockOffsetNanos;
    }

    long localNanos() {
        return (long) (time.nowNanos() * clockSpeed) + clockOffsetNanos;
    }

    void run(Runnable action) {
        if (dead) {
            return;
        }
        if (frozen) {
            deferred.add(action);
            return;
        }
        action.run();
    }

    void freeze(long durationNanos) {
        frozen = true;
        time.scheduleAfterNanos(durationNanos, this::thaw);
    }

    private void thaw() {
        frozen = false;
        List<Runnable> pending = new ArrayList<>(deferred);
        deferred.clear();
        pending.forEach(this::run);
    }

    void kill() {
        dead = true;
    }

    boolean isDead() {
        return dead;
    }

    boolean isRunning() {
        return !dead && !frozen;
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
        Scheduled task = new Scheduled(command);
        time.scheduleAfterNanos((long) (unit.toNanos(delay) / clockSpeed), () -> run(task));
        return task;
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable command, long initial, long delay, TimeUnit unit) {
        Scheduled handle = new Scheduled(command);
        repeat(handle, command, initial, delay, unit);
        return handle;
    }

    private void repeat(Scheduled handle, Runnable command, long initial, long delay, TimeUnit unit) {
        time.scheduleAfterNanos(
                (long) (unit.toNanos(initial) / clockSpeed),
                () -> run(() -> {
                    if (!handle.isCancelled()) {
                        command.run();
                        repeat(handle, command, delay, delay, unit);
                    }
                }));
    }

    @Override
    public void execute(Runnable command) {
        time.scheduleAfterNanos(0, () -> run(command));
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable command, long initial, long period, TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void shutdown() {
        throw new UnsupportedOperationException();
    }

    @Override
    public List<Runnable> shutdownNow() {
        throw new UnsupportedOperationException();
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

    /** A scheduled task. Its delay is never read. */
    private static final class Scheduled extends FutureTask<Void> implements ScheduledFuture<Void> {
        Scheduled(Runnable command) {
            super(command, null);
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return 0;
        }

        @Override
        public int compareTo(Delayed other) {
            return 0;
        }
    }
}
