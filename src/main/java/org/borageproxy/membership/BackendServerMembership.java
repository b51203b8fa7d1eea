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
 * The membership of backend servers on one VM: the announce port, the registry and the exchange with other VMs. Thread
 * safe.
 */
public final class BackendServerMembership implements AutoCloseable {

    /** The time between two sweeps of the registry, in milliseconds. */
    private static final long SWEEP_INTERVAL_MILLIS = 100;
    /** The time between two batches of heartbeats, in milliseconds. */
    private static final long BATCH_INTERVAL_MILLIS = 250;
    /** The time between two comparisons with another VM, in milliseconds. */
    private static final long COMPARE_INTERVAL_MILLIS = 2_000;
    /** The time between two comparisons until the first answer, in milliseconds. */
    private static final long FIRST_COMPARE_INTERVAL_MILLIS = 200;

    /** The event loops and timers. */
    private final Vertx vertx;
    /** The clock. */
    private final MonotonicClock clock;
    /** What this VM knows. */
    private final BackendServerRegistry registry;
    /** Spreads what this VM knows. */
    private final MembershipExchange exchange;
    /** The announce port. */
    private final Optional<AnnounceServer> server;
    /** Takes cache events. */
    private volatile CacheEvents.Listener cacheListener = CacheEvents.Listener.NoOp.INSTANCE;
    /** The timer of the sweeps. */
    private volatile long sweepTimer = -1;
    /** The timer of the batches. */
    private volatile long batchTimer = -1;
    /** The timer of the comparisons. */
    private volatile long compareTimer = -1;

    /**
     * Creates a membership that does not listen.
     *
     * @param vertx the event loops and timers
     * @param settings where backend servers announce themselves
     * @param network sends messages to other VMs
     * @param peers returns the other VMs, without this one
     * @param clock the clock
     * @param events takes the events
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
        exchange = new MembershipExchange(registry, network, peers, clock, new Random());
        server = Optional.of(new AnnounceServer(vertx, settings, new Receiver()));
    }

    /**
     * Creates a membership to which another interface brings the announcements.
     *
     * @param vertx runs its timers
     * @param network the network between VMs
     * @param peers returns the other VMs
     * @param clock the clock
     * @param events takes the events of note
     */
    public BackendServerMembership(
            Vertx vertx, VmNetwork network, Supplier<List<VmName>> peers, MonotonicClock clock, EventRecorder events) {
        this.vertx = vertx;
        this.clock = clock;
        registry = new BackendServerRegistry(MembershipSettings.DEFAULT, events);
        exchange = new MembershipExchange(registry, network, peers, clock, new Random());
        server = Optional.empty();
    }

    /**
     * Takes an announcement.
     *
     * @param announcement what a backend server says of itself
     * @return {@code true} if it is news
     */
    public boolean announced(Announcement announcement) {
        BackendServerRegistry.Change change = registry.announce(announcement, clock.nanoTime());
        exchange.changed(announcement.name(), change);
        return change != BackendServerRegistry.Change.NONE;
    }

    /**
     * Notes that a backend server leaves.
     *
     * @param name the server
     * @param incarnation its incarnation
     * @return {@code true} if it is news
     */
    public boolean left(BackendServerName name, long incarnation) {
        BackendServerRegistry.Change change = registry.leave(name, incarnation, clock.nanoTime());
        exchange.changed(name, change);
        return change != BackendServerRegistry.Change.NONE;
    }

    /** Takes the messages of backend servers. Thread safe. */
    private final class Receiver implements AnnounceServer.Receiver {

        @Override
        public boolean announced(Announcement announcement) {
            return BackendServerMembership.this.announced(announcement);
        }

        @Override
        public boolean left(BackendServerName name, long incarnation) {
            return BackendServerMembership.this.left(name, incarnation);
        }

        @Override
        public void cached(CacheEvents events) {
            cacheListener.received(events);
        }
    }

    /**
     * Starts to listen and to exchange.
     *
     * @return succeeds with the announce port
     */
    public Future<Integer> start() {
        sweepTimer = vertx.setPeriodic(SWEEP_INTERVAL_MILLIS, ignored -> registry.sweep(clock.nanoTime()));
        batchTimer = vertx.setPeriodic(BATCH_INTERVAL_MILLIS, ignored -> exchange.sendHeartbeats());
        compareRepeatedly();
        return server.map(AnnounceServer::start).orElse(Future.succeededFuture(0));
    }

    /** Compares with other VMs now and again later, sooner until one has answered. */
    private void compareRepeatedly() {
        exchange.compare();
        long interval = exchange.isSynchronised() ? COMPARE_INTERVAL_MILLIS : FIRST_COMPARE_INTERVAL_MILLIS;
        compareTimer = vertx.setTimer(interval, ignored -> compareRepeatedly());
    }

    /**
     * Returns what this VM knows.
     *
     * @return the registry
     */
    public BackendServerRegistry registry() {
        return registry;
    }

    /**
     * Tells whether this VM knows what the others know: another VM answered since the start, or there is none.
     *
     * @return {@code true} once known
     */
    public boolean isSynchronised() {
        return exchange.isSynchronised();
    }

    /**
     * Sets who takes cache events that arrive at this VM.
     *
     * @param listener takes the events
     */
    public void onCacheEvents(CacheEvents.Listener listener) {
        cacheListener = listener;
    }

    @Override
    public void close() {
        vertx.cancelTimer(sweepTimer);
        vertx.cancelTimer(batchTimer);
        vertx.cancelTimer(compareTimer);
        server.ifPresent(AnnounceServer::close);
    }
}
