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
 * Fair queues before the pools of backend servers of one VM. The places of a pool may change at any time; with none,
 * its requests wait. Thread safe. Each pool has its own lock; no future is completed under one.
 */
public final class FairDispatchQueue implements DispatchQueue, AutoCloseable {

    /** How often deadlines and changed capacities are looked at, in milliseconds. */
    private static final long TICK_MILLIS = 10;

    /** The most requests of one workspace that wait before one pool. */
    private static final int LONGEST_QUEUE = 1_000;

    /** When the caller of an expired request may come back. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    /** The places of each pool now. */
    private final ToIntFunction<String> capacity;

    /** The clock. */
    private final MonotonicClock clock;

    /** The pools by name. */
    private final Map<String, Pool> pools = new ConcurrentHashMap<>();

    /** Counts the requests. */
    private final AtomicLong order = new AtomicLong();

    /** Whether requests are refused because the VM shuts down. */
    private final AtomicBoolean closed = new AtomicBoolean();

    /** The recurring task. */
    private final ScheduledFuture<?> ticks;

    /** A pool; its lock guards its queue. */
    private static final class Pool {

        /** The pool's name. */
        private final String name;

        /** The decisions. */
        private final FairQueue queue = new FairQueue(LONGEST_QUEUE);

        /**
         * Creates a pool.
         *
         * @param name the pool's name
         */
        Pool(String name) {
            this.name = name;
        }
    }

    /**
     * Creates queues without requests.
     *
     * @param capacity returns the places of a pool now; zero while none of its backend servers can be used
     * @param clock the clock
     * @param timers runs short tasks later; may be shared
     */
    public FairDispatchQueue(ToIntFunction<String> capacity, MonotonicClock clock, ScheduledExecutorService timers) {
        this.capacity = capacity;
        this.clock = clock;
        this.ticks = timers.scheduleWithFixedDelay(this::refreshAll, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public CompletionStage<Decision> enqueue(QueuedRequest request) {
        CompletableFuture<Decision> decision = new CompletableFuture<>();
        if (closed.get()) {
            decision.complete(new Decision.Shed(ResultCode.SHUTTING_DOWN, new Deadline(clock.nanoTime())));
            return decision;
        }
        Pool pool = pools.computeIfAbsent(request.pool(), Pool::new);
        QueueEntry entry = new QueueEntry(request, order.incrementAndGet(), decision);
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

    /** Looks at all pools, for deadlines that have passed and capacities that have changed. */
    private void refreshAll() {
        pools.values().forEach(this::refresh);
    }

    /**
     * Tells the queues that the capacity of a pool has changed; without this call they notice a little later.
     *
     * @param pool the pool's name
     */
    public void capacityChanged(String pool) {
        Pool changed = pools.get(pool);
        if (changed != null) {
            refresh(changed);
        }
    }

    /**
     * Refuses what has expired and dispatches what has a place.
     *
     * @param pool the pool
     */
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
            entry.decision().complete(new Decision.Shed(code, Deadline.after(clock.nanoTime(), RETRY_AFTER)));
        }
        complete(pool, dispatched);
    }

    /**
     * Completes the requests that have got a place.
     *
     * @param pool the pool
     * @param dispatched the requests
     */
    private void complete(Pool pool, List<QueueEntry> dispatched) {
        for (QueueEntry entry : dispatched) {
            Slot slot = slot(pool, entry.request().tokens());
            if (!entry.decision().complete(new Decision.Dispatchable(slot))) {
                slot.release();
            }
        }
    }

    /**
     * Creates a place.
     *
     * @param pool the pool
     * @param tokens the cost of the request that holds it
     * @return the place
     */
    private Slot slot(Pool pool, long tokens) {
        AtomicBoolean released = new AtomicBoolean();
        long takenAtNanos = clock.nanoTime();
        return () -> {
            if (released.compareAndSet(false, true)) {
                synchronized (pool) {
                    pool.queue.release(tokens, clock.nanoTime() - takenAtNanos);
                }
                refresh(pool);
            }
        };
    }

    /**
     * Returns the number of waiting requests of a pool.
     *
     * @param pool the pool's name
     * @return the number
     */
    public int waitingCount(String pool) {
        Pool known = pools.get(pool);
        if (known == null) {
            return 0;
        }
        synchronized (known) {
            return known.queue.waitingCount();
        }
    }

    /**
     * Returns the names of the pools that have requests waiting.
     *
     * @return the names
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

    /** Refuses new requests; waiting ones are still dispatched or expire, and then {@link #stop()} may follow. */
    @Override
    public void close() {
        closed.set(true);
    }

    /** Stops the recurring task once nothing waits. */
    public void stop() {
        ticks.cancel(false);
    }
}
