package org.borageproxy.membership;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.borageproxy.event.EventRecorder;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.VmNetwork;

/**
 * Membership of backend servers on one VM: the announce port, the registry and the exchange with other VMs. Thread
 * safe.
 */
public final class BackendServerMembership implements AutoCloseable {

    /** Interval of the sweeps of the registry, in milliseconds. */
    private static final long SWEEP_INTERVAL_MILLIS = 250;
    /** Interval of the batches of heartbeats, in milliseconds. */
    private static final long BATCH_INTERVAL_MILLIS = 250;
    /** Interval of the batches of heartbeats to observers, in milliseconds. */
    private static final long OBSERVER_BATCH_INTERVAL_MILLIS = 1_000;
    /** Interval of the exchanges of digests, in milliseconds. */
    private static final long DIGEST_INTERVAL_MILLIS = 2_000;
    /** Interval of the exchanges of digests before the first answer, in milliseconds. */
    private static final long INITIAL_DIGEST_INTERVAL_MILLIS = 200;

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final BackendServerRegistry registry;
    private final MembershipExchange exchange;
    /** Whether this VM receives no announcements, and so has nothing to send in batches. */
    private final boolean isObserver;
    /** The announce port, empty if announcements arrive through another interface. */
    private final Optional<AnnounceServer> server;

    private volatile CacheEvents.Listener cacheListener = CacheEvents.Listener.NoOp.INSTANCE;
    private volatile long sweepTimer = -1;
    private volatile long batchTimer = -1;
    private volatile long observerBatchTimer = -1;
    private volatile long digestTimer = -1;

    /**
     * Creates a membership with an announce port, which is opened by {@link #start()}.
     *
     * @param vertx the event loops and timers
     * @param settings the address and the credential of the announce port
     * @param network the network between VMs
     * @param peers supplies the other VMs, without this one
     * @param clock the monotonic clock
     * @param events records events
     */
    public BackendServerMembership(
            Vertx vertx,
            AnnounceSettings settings,
            VmNetwork network,
            Supplier<List<VmName>> peers,
            MonotonicClock clock,
            EventRecorder events) {
        this.vertx = vertx;
        this.clock = clock;
        registry = new BackendServerRegistry(MembershipSettings.DEFAULT, events);
        exchange =
                new MembershipExchange(registry, network, MembershipPeers.exchangingWith(peers), clock, new Random());
        isObserver = false;
        server = Optional.of(new AnnounceServer(vertx, settings, new Receiver()));
    }

    /**
     * Creates a membership without an announce port. Announcements are applied by {@link #announce}.
     *
     * @param vertx the timers
     * @param network the network between VMs
     * @param peers the other VMs
     * @param clock the monotonic clock
     * @param events records events
     */
    public BackendServerMembership(
            Vertx vertx, VmNetwork network, MembershipPeers peers, MonotonicClock clock, EventRecorder events) {
        this.vertx = vertx;
        this.clock = clock;
        registry = new BackendServerRegistry(MembershipSettings.DEFAULT, events);
        exchange = new MembershipExchange(registry, network, peers, clock, new Random());
        isObserver = peers.isObserver();
        server = Optional.empty();
    }

    /**
     * Applies an announcement and propagates it to the other VMs.
     *
     * @param announcement the announcement
     * @return {@code true} if it was newer than the local record
     */
    public boolean announce(Announcement announcement) {
        BackendServerRegistry.Change change = registry.announce(announcement, clock.nanoTime());
        exchange.propagate(announcement.name(), change);
        return change != BackendServerRegistry.Change.NONE;
    }

    /**
     * Applies the leave of a backend server and propagates it to the other VMs.
     *
     * @param name the backend server
     * @param incarnation the incarnation that leaves
     * @return {@code true} if it changed the local record
     */
    public boolean leave(BackendServerName name, long incarnation) {
        BackendServerRegistry.Change change = registry.leave(name, incarnation, clock.nanoTime());
        exchange.propagate(name, change);
        return change != BackendServerRegistry.Change.NONE;
    }

    private final class Receiver implements AnnounceServer.Receiver {

        @Override
        public boolean onAnnouncement(Announcement announcement) {
            return BackendServerMembership.this.announce(announcement);
        }

        @Override
        public boolean onLeave(BackendServerName name, long incarnation) {
            return BackendServerMembership.this.leave(name, incarnation);
        }

        @Override
        public void onCacheEvents(CacheEvents events) {
            cacheListener.onCacheEvents(events);
        }
    }

    /**
     * Starts the periodic tasks and opens the announce port.
     *
     * @return succeeds with the bound port, or zero without an announce port
     */
    public Future<Integer> start() {
        sweepTimer = vertx.setPeriodic(SWEEP_INTERVAL_MILLIS, timerId -> registry.sweep(clock.nanoTime()));
        batchTimer = vertx.setPeriodic(BATCH_INTERVAL_MILLIS, timerId -> exchange.sendHeartbeats());
        observerBatchTimer = vertx.setPeriodic(OBSERVER_BATCH_INTERVAL_MILLIS, timerId -> exchange.sendObservations());
        exchangeDigestsPeriodically();
        return server.map(AnnounceServer::start).orElse(Future.succeededFuture(0));
    }

    /** Exchanges digests and schedules the next exchange. */
    private void exchangeDigestsPeriodically() {
        try {
            exchange.exchangeDigests();
        } finally {
            long interval = exchange.isSynchronized() ? DIGEST_INTERVAL_MILLIS : INITIAL_DIGEST_INTERVAL_MILLIS;
            digestTimer = vertx.setTimer(interval, timerId -> exchangeDigestsPeriodically());
        }
    }

    /**
     * Returns the registry of this VM.
     *
     * @return the registry
     */
    public BackendServerRegistry registry() {
        return registry;
    }

    /**
     * Returns whether the registry includes the records of another VM: another VM has answered since the start, or
     * there was none.
     *
     * @return {@code true} once synchronized
     */
    public boolean isSynchronized() {
        return exchange.isSynchronized();
    }

    /**
     * Replaces the listener for cache events that arrive at this VM.
     *
     * @param listener the listener
     */
    public void onCacheEvents(CacheEvents.Listener listener) {
        cacheListener = listener;
    }

    @Override
    public void close() {
        vertx.cancelTimer(sweepTimer);
        vertx.cancelTimer(batchTimer);
        vertx.cancelTimer(observerBatchTimer);
        vertx.cancelTimer(digestTimer);
        server.ifPresent(AnnounceServer::close);
    }
}
