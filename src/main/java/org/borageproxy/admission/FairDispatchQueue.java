package org.borageproxy.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToIntFunction;

import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;

/**
 * Fair queues in front of the pools of backend servers, local to one VM. The number of slots of a pool may change at
 * any time; while it is zero, requests wait. Thread safe: each pool has its own lock, and futures are completed outside
 * of it.
 */
public final class FairDispatchQueue implements DispatchQueue, AutoCloseable {

    /** Interval of the check for expired deadlines and changed capacities, in milliseconds. */
    private static final long REFRESH_INTERVAL_MILLIS = 10;

    /** Maximum number of requests of one workspace that wait for one pool. */
    private static final int MAX_QUEUE_LENGTH = 1_000;

    /** Delay after which the caller of an expired request may retry. */
    private static final Duration EXPIRED_RETRY_DELAY = Duration.ofSeconds(1);

    /** Returns the current number of slots of a pool. */
    private final ToIntFunction<String> capacity;

    private final MonotonicClock clock;
    private final Map<String, Pool> pools = new ConcurrentHashMap<>();

    /** Number of requests so far; orders requests by arrival. */
    private final AtomicLong arrivals = new AtomicLong();

    /** Whether new requests are refused because the VM is shutting down. */
    private final AtomicBoolean closed = new AtomicBoolean();

    private final ScheduledFuture<?> refreshTask;

    /** A pool; its monitor guards the queue. */
    private static final class Pool {

        private final String name;
        private final FairQueue queue = new FairQueue(MAX_QUEUE_LENGTH);

        Pool(String name) {
            this.name = name;
        }
    }

    /**
     * Creates empty queues and starts the periodic check.
     *
     * @param capacity returns the current number of slots of a pool; zero if none of its backend servers is usable
     * @param clock the clock of all deadlines
     * @param timers runs the periodic check; may be shared, since its tasks are short
     */
    public FairDispatchQueue(ToIntFunction<String> capacity, MonotonicClock clock, ScheduledExecutorService timers) {
        this.capacity = capacity;
        this.clock = clock;
        this.refreshTask = timers.scheduleWithFixedDelay(
                this::refreshAll, REFRESH_INTERVAL_MILLIS, REFRESH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public CompletionStage<Decision> enqueue(QueuedRequest request) {
        CompletableFuture<Decision> decision = new CompletableFuture<>();
        if (closed.get()) {
            decision.complete(new Decision.Shed(ResultCode.SHUTTING_DOWN, new Deadline(clock.nanoTime())));
            return decision;
        }
        Pool pool = pools.computeIfAbsent(request.pool(), Pool::new);
        QueueEntry entry = new QueueEntry(request, arrivals.incrementAndGet(), decision);
        int slots = capacity.applyAsInt(pool.name);
        Optional<Decision.Shed> refusal;
        List<QueueEntry> dispatched;
        synchronized (pool) {
            refusal = pool.queue.enqueue(entry, slots, clock.nanoTime());
            dispatched = pool.queue.dispatch(slots, clock.nanoTime());
        }
        refusal.ifPresent(decision::complete);
        complete(pool, dispatched);
        return decision;
    }

    /** Checks all pools for expired deadlines and changed capacities. */
    private void refreshAll() {
        pools.values().forEach(this::refresh);
    }

    /**
     * Dispatches requests after a pool's capacity has changed. Without this call, the periodic check does so.
     *
     * @param pool the pool's name
     */
    public void onCapacityChanged(String pool) {
        Pool changed = pools.get(pool);
        if (changed != null) {
            refresh(changed);
        }
    }

    /** Sheds the expired requests of a pool and dispatches requests to its free slots. */
    private void refresh(Pool pool) {
        int slots = capacity.applyAsInt(pool.name);
        List<QueueEntry> expired;
        List<QueueEntry> dispatched;
        synchronized (pool) {
            expired = pool.queue.removeExpired(clock.nanoTime());
            dispatched = pool.queue.dispatch(slots, clock.nanoTime());
        }
        ResultCode code = slots > 0 ? ResultCode.DEADLINE_PASSED : ResultCode.MODEL_LOADING;
        for (QueueEntry entry : expired) {
            entry.decision().complete(new Decision.Shed(code, Deadline.after(clock.nanoTime(), EXPIRED_RETRY_DELAY)));
        }
        complete(pool, dispatched);
    }

    private void complete(Pool pool, List<QueueEntry> dispatched) {
        for (QueueEntry entry : dispatched) {
            Slot slot = newSlot(pool, entry.request().tokens());
            if (!entry.decision().complete(new Decision.Dispatchable(slot))) {
                slot.release();
            }
        }
    }

    private Slot newSlot(Pool pool, long tokens) {
        AtomicBoolean released = new AtomicBoolean();
        long dispatchedAtNanos = clock.nanoTime();
        return () -> {
            if (released.compareAndSet(false, true)) {
                synchronized (pool) {
                    pool.queue.release(tokens, clock.nanoTime() - dispatchedAtNanos);
                }
                refresh(pool);
            }
        };
    }

    /**
     * Returns the number of requests that wait for a pool.
     *
     * @param pool the pool's name
     * @return zero if the pool is unknown
     */
    public int waitingCount(String pool) {
        Pool existing = pools.get(pool);
        if (existing == null) {
            return 0;
        }
        synchronized (existing) {
            return existing.queue.waitingCount();
        }
    }

    /**
     * Returns the pools for which requests wait.
     *
     * @return the names of the pools
     */
    public List<String> waitingPools() {
        List<String> names = new ArrayList<>();
        for (Pool pool : pools.values()) {
            if (waitingCount(pool.name) > 0) {
                names.add(pool.name);
            }
        }
        return names;
    }

    /** Refuses new requests. Waiting requests are still dispatched or expire; call {@link #stop()} afterwards. */
    @Override
    public void close() {
        closed.set(true);
    }

    /** Stops the periodic check. Requests that still wait after that may never be decided. */
    public void stop() {
        refreshTask.cancel(false);
    }
}
