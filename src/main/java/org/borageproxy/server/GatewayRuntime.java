package org.borageproxy.server;

import java.time.InstantSource;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.internal.ContextInternal;
import io.vertx.core.internal.VertxInternal;
import org.borageproxy.control.Timer;
import org.borageproxy.drain.ZoneRules;
import org.borageproxy.event.HybridClock;
import org.borageproxy.event.TimeLine;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerMembership;
import org.borageproxy.membership.MembershipPeers;
import org.borageproxy.spread.ControlStateWatcher;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.NettyVmNetwork;
import org.borageproxy.wire.PeerCredential;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Resources that the roles of a gateway VM share. One event loop runs the servers, the network between VMs and all
 * timers, which saves a small VM the cost of passing work between threads. Thread safe.
 */
final class GatewayRuntime {

    private static final Logger LOGGER = LoggerFactory.getLogger(GatewayRuntime.class);

    /** Not a secret: the deployment provides none, and its network admits only VMs to the port between VMs. */
    private static final String PEER_CREDENTIAL = "fleet";

    private static final int BLOCKING_THREAD_COUNT = 1;
    /** Interval of the check for a blocked event loop; each check wakes a thread of its own. */
    private static final int BLOCKED_THREAD_CHECK_SECONDS = 10;

    private final ExternalProtocol protocol;
    private final MonotonicClock clock = MonotonicClock.ofSystem();
    private final Vertx vertx;
    private final ContextInternal context;
    private final EventLoop eventLoop;
    private final TimeLine timeLine;
    private final NettyVmNetwork network;
    private final ControlStateWatcher spread;
    private final BackendServerMembership membership;
    private final ZoneRules zoneRules;
    private volatile GatewaySettings settings;

    GatewayRuntime(GatewaySettings settings, ExternalProtocol protocol) {
        this.settings = settings;
        this.protocol = protocol;
        vertx = Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(BLOCKING_THREAD_COUNT)
                .setInternalBlockingPoolSize(BLOCKING_THREAD_COUNT)
                .setBlockedThreadCheckInterval(BLOCKED_THREAD_CHECK_SECONDS)
                .setBlockedThreadCheckIntervalUnit(TimeUnit.SECONDS));
        context = ((VertxInternal) vertx).createEventLoopContext();
        eventLoop = context.nettyEventLoop();
        HybridClock hybridClock = new HybridClock(InstantSource.system());
        VmAddress self = settings.vm();
        timeLine = new TimeLine(self.name(), self.zone(), hybridClock);
        network = new NettyVmNetwork(
                self.name(), this::addressOf, PeerCredential.of(PEER_CREDENTIAL), hybridClock, clock, eventLoop);
        boolean isControl = settings.dataFolder().isPresent();
        spread = new ControlStateWatcher(self, isControl, network, this::controlVms, clock, timer(), timeLine);
        zoneRules = new ZoneRules(settings.zones(), spread::drainedZones, spread::isInformed);
        MembershipPeers peers = isControl
                ? MembershipPeers.announcingTo(this::otherControlVms, spread::registeredDataPlaneVms)
                : MembershipPeers.observing(this::otherControlVms);
        membership = new BackendServerMembership(vertx, network, peers, clock, timeLine);
    }

    /** VMs are named by their IP addresses and all listen on the same port. The zone is always that of this VM. */
    private Optional<VmAddress> addressOf(VmName name) {
        VmAddress self = settings.vm();
        return Optional.of(new VmAddress(name, self.zone(), name.value(), self.port()));
    }

    /**
     * Returns the control VMs: the seeds first, then those that registered.
     *
     * @return the names without duplicates
     */
    List<VmName> controlVms() {
        Set<VmName> names = new LinkedHashSet<>(settings.seeds());
        spread.registeredControlVms().forEach(vm -> names.add(vm.name()));
        return List.copyOf(names);
    }

    private List<VmName> otherControlVms() {
        return controlVms().stream().filter(vm -> !vm.equals(self())).toList();
    }

    /**
     * Marks a server as suspect until its next announcement.
     *
     * @param server a server at whose address no server, or another one, answers
     */
    void suspectServer(BackendServer server) {
        membership.registry().reportRequestFailure(server.name(), server.incarnation(), clock.nanoTime());
    }

    /**
     * Replaces the settings. Intended for changed seeds; most other settings are read only during the start.
     *
     * @param newSettings the new settings
     */
    void replaceSettings(GatewaySettings newSettings) {
        settings = newSettings;
    }

    /** Returns a timer that logs the failures of its tasks, which the event loop keeps to itself. */
    Timer timer() {
        return (delay, task) -> eventLoop.schedule(() -> runLogged(task), delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error exception) {
            LOGGER.error("event=scheduled-task-failed", exception);
        }
    }

    VmName self() {
        return settings.vm().name();
    }

    GatewaySettings settings() {
        return settings;
    }

    ExternalProtocol protocol() {
        return protocol;
    }

    MonotonicClock clock() {
        return clock;
    }

    Vertx vertx() {
        return vertx;
    }

    ContextInternal context() {
        return context;
    }

    EventLoop eventLoop() {
        return eventLoop;
    }

    TimeLine timeLine() {
        return timeLine;
    }

    NettyVmNetwork network() {
        return network;
    }

    ControlStateWatcher spread() {
        return spread;
    }

    ZoneRules zoneRules() {
        return zoneRules;
    }

    BackendServerMembership membership() {
        return membership;
    }
}
