package org.borageproxy.forward;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.borageproxy.control.Timer;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.membership.BackendServers;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.CoordinationProtocol.RefusalNotice;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The times until which backend servers want no requests from this VM, or from other VMs through which this one is
 * connected. A time belongs to one incarnation of its server and to the VM that the server answered; of several times
 * the latest one holds, whatever the server answers in between. Also tells which servers say that they leave, which
 * concerns all VMs and ends with the incarnation. Not thread safe; confined to one event loop.
 */
public final class ServerRefusals {

    private static final Logger LOGGER = LoggerFactory.getLogger(ServerRefusals.class);

    private final MonotonicClock clock;
    private final Timer timer;
    private final BackendServers servers;
    private final Supplier<List<Optional<VmName>>> waysInUse;
    private final Map<Way, Deadline> endTimes = new HashMap<>();
    private final Set<Incarnation> leaving = new HashSet<>();
    private Listener listener = (server, relay, until, isFromAnswer) -> {};
    private LeavingListener leavingListener = (server, relay) -> {};
    private Runnable endListener = () -> {};

    /** A server as one VM reaches it; without a relay, that is this VM. */
    private record Way(BackendServerName server, long incarnation, Optional<VmName> relay) {}

    private record Incarnation(BackendServerName server, long incarnation) {}

    /** Receives the servers that leave. */
    @FunctionalInterface
    public interface LeavingListener {

        /**
         * Called once for each server that leaves.
         *
         * @param server the server
         * @param relay the VM that the server answered; empty for this one, or if another VM reported it
         */
        void onLeaving(BackendServer server, Optional<VmName> relay);
    }

    /** Receives the times that are later than those known before. */
    @FunctionalInterface
    interface Listener {

        /**
         * Called after a time was recorded.
         *
         * @param server the server
         * @param relay the VM that the server refused; empty for this one
         * @param until the time at which the server takes requests again
         * @param isFromAnswer whether the server answered a request of this VM; {@code false} if another VM reported it
         */
        void onRefused(BackendServer server, Optional<VmName> relay, Deadline until, boolean isFromAnswer);
    }

    /**
     * Creates an instance without refusals.
     *
     * @param clock the clock
     * @param timer schedules tasks on the event loop
     * @param servers the announced servers
     * @param waysInUse supplies the VMs through which connections lead at present; an empty one stands for this VM
     */
    public ServerRefusals(
            MonotonicClock clock, Timer timer, BackendServers servers, Supplier<List<Optional<VmName>>> waysInUse) {
        this.clock = clock;
        this.timer = timer;
        this.servers = servers;
        this.waysInUse = waysInUse;
    }

    /**
     * Sets the listener for refusals.
     *
     * @param newListener tells the VMs that are concerned
     */
    void onRefused(Listener newListener) {
        listener = newListener;
    }

    /**
     * Sets the listener for servers that leave.
     *
     * @param newListener keeps requests of all VMs away from them
     */
    void onLeaving(LeavingListener newListener) {
        leavingListener = newListener;
    }

    /**
     * Records that a server says that it leaves.
     *
     * @param server the server
     * @param relay the VM that the server answered; empty for this one, or if another VM reported it
     */
    void recordLeaving(BackendServer server, Optional<VmName> relay) {
        if (leaving.add(new Incarnation(server.name(), server.incarnation()))) {
            LOGGER.info(
                    "event=server-leaving server={} incarnation={} relay={}",
                    server.name(),
                    server.incarnation(),
                    relay.map(VmName::value).orElse("-"));
            leavingListener.onLeaving(server, relay);
        }
    }

    /** Removes what is known of servers that are no longer announced. */
    public void removeUnknownServers() {
        Set<Incarnation> announced = servers.current().stream()
                .map(server -> new Incarnation(server.name(), server.incarnation()))
                .collect(Collectors.toSet());
        leaving.retainAll(announced);
    }

    /**
     * Sets the action to run when a server takes requests again.
     *
     * @param newListener retries the requests that wait
     */
    public void onEnd(Runnable newListener) {
        endListener = newListener;
    }

    /**
     * Records that a server refused a request of this VM.
     *
     * @param server the server
     * @param relay the VM that the server answered; empty for this one
     * @param retryAfter how long the server wants no requests from that VM
     */
    public void recordAnswer(BackendServer server, Optional<VmName> relay, Duration retryAfter) {
        record(server, relay, retryAfter, true);
    }

    /**
     * Records a refusal that another VM reports; ignored for other incarnations than the announced one.
     *
     * @param notice the server and how long it wants no requests
     * @param relay the VM that the server refused; empty for this one
     */
    void recordReport(RefusalNotice notice, Optional<VmName> relay) {
        servers.current().stream()
                .filter(server -> server.name().value().equals(notice.getServer())
                        && server.incarnation() == notice.getIncarnation())
                .forEach(server -> {
                    if (notice.getLeaving()) {
                        recordLeaving(server, Optional.empty());
                    } else {
                        record(server, relay, Duration.ofMillis(Math.max(0, notice.getRemainingMillis())), false);
                    }
                });
    }

    /**
     * Returns what other VMs are told that want to be connected to a server through this one.
     *
     * @param server the server
     * @return empty if the server takes requests of this VM now
     */
    Optional<RefusalNotice> noticeOf(BackendServer server) {
        return server.state() == BackendServerState.LEAVING
                ? Optional.of(encodeLeaving(server))
                : refusedUntil(server, Optional.empty()).map(until -> encode(server, until));
    }

    /**
     * Encodes that a server leaves.
     *
     * @param server the server
     * @return the notice
     */
    RefusalNotice encodeLeaving(BackendServer server) {
        return RefusalNotice.newBuilder()
                .setServer(server.name().value())
                .setIncarnation(server.incarnation())
                .setLeaving(true)
                .build();
    }

    /**
     * Encodes a refusal of this VM.
     *
     * @param server the server
     * @param until the time at which it takes requests again
     * @return the notice
     */
    RefusalNotice encode(BackendServer server, Deadline until) {
        return RefusalNotice.newBuilder()
                .setServer(server.name().value())
                .setIncarnation(server.incarnation())
                .setRemainingMillis(until.remainingMillis(clock.nanoTime()))
                .build();
    }

    private void record(BackendServer server, Optional<VmName> relay, Duration remaining, boolean isFromAnswer) {
        Way way = new Way(server.name(), server.incarnation(), relay);
        Deadline until = Deadline.after(clock.nanoTime(), remaining);
        Deadline known = endTimes.get(way);
        if (known != null && known.compareTo(until) >= 0) {
            return;
        }
        endTimes.put(way, until);
        LOGGER.info(
                "event=server-refused server={} incarnation={} relay={} remaining_ms={} source={}",
                server.name(),
                server.incarnation(),
                relay.map(VmName::value).orElse("-"),
                remaining.toMillis(),
                isFromAnswer ? "answer" : "vm");
        timer.schedule(remaining, () -> {
            if (endTimes.remove(way, until)) {
                endListener.run();
            }
        });
        listener.onRefused(server, relay, until, isFromAnswer);
    }

    /**
     * Returns whether a server takes requests that reach it from a given VM.
     *
     * @param server the server
     * @param relay the VM through which the request would be sent; empty for this one
     * @return {@code false} before the end of a stated time
     */
    public boolean accepts(BackendServer server, Optional<VmName> relay) {
        return refusedUntil(server, relay).isEmpty();
    }

    /**
     * Returns until when a server wants no requests that reach it from a given VM.
     *
     * @param server the server
     * @param relay the VM through which the request would be sent; empty for this one
     * @return empty if the server takes requests now
     */
    Optional<Deadline> refusedUntil(BackendServer server, Optional<VmName> relay) {
        return Optional.ofNullable(endTimes.get(new Way(server.name(), server.incarnation(), relay)))
                .filter(until -> !until.hasPassed(clock.nanoTime()));
    }

    /**
     * Returns until when a server wants no requests, whichever of the ways in use they take.
     *
     * @param server the server
     * @return empty if the server takes requests now
     */
    Optional<Deadline> refusedUntil(BackendServer server) {
        Optional<Deadline> earliest = Optional.empty();
        for (Optional<VmName> relay : waysInUse.get()) {
            Optional<Deadline> end = refusedUntil(server, relay);
            if (end.isEmpty()) {
                return Optional.empty();
            }
            earliest = earliest.filter(known -> known.compareTo(end.get()) <= 0).or(() -> end);
        }
        return earliest;
    }

    /**
     * Returns the servers that want no requests now.
     *
     * @return a new set with the names of those that refuse
     */
    Set<BackendServerName> refusing() {
        Set<BackendServerName> refusing = new HashSet<>();
        if (!endTimes.isEmpty()) {
            servers.current().stream()
                    .filter(server -> refusedUntil(server).isPresent())
                    .forEach(server -> refusing.add(server.name()));
        }
        return refusing;
    }

    /**
     * Returns when the first of some servers takes requests again, if all of them refuse now.
     *
     * @param candidates the servers
     * @return empty if a server takes requests now, or there is none
     */
    Optional<Deadline> acceptedAt(List<BackendServer> candidates) {
        List<Deadline> ends = candidates.stream()
                .flatMap(server -> refusedUntil(server).stream())
                .toList();
        return ends.size() == candidates.size() ? ends.stream().min(Comparator.naturalOrder()) : Optional.empty();
    }
}
