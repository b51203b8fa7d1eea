package org.borageproxy.coordination;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServers;
import org.borageproxy.routing.speed.LearnedSpeeds;
import org.borageproxy.routing.speed.PublishedSpeeds;
import org.borageproxy.routing.speed.ServerSpeeds;
import org.borageproxy.routing.speed.SlownessSample;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.wire.proto.CoordinationProtocol.CoordinationUpdate;
import org.borageproxy.wire.proto.CoordinationProtocol.ServerSpeed;
import org.borageproxy.wire.proto.CoordinationProtocol.ServerUsage;
import org.borageproxy.wire.proto.CoordinationProtocol.SlownessSamples;
import org.borageproxy.wire.proto.CoordinationProtocol.UsageReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Learns the speeds of the servers on the coordinator from the entries' reports, and tells the entries. The state is
 * discarded when the term changes; a new coordinator asks a few entries for the speeds that they received from the
 * earlier one. Not thread safe; confined to one event loop.
 */
public final class SpeedCoordinator implements ServerSpeeds {

    private static final Logger LOGGER = LoggerFactory.getLogger(SpeedCoordinator.class);
    /** Number of entries whose speeds a new coordinator takes over; the entries know the same up to lost answers. */
    private static final int MAX_RETURNS = 3;
    /** Number of answers in a term that ask for speeds, so that entries without any do not cause endless questions. */
    private static final int MAX_QUESTIONS = 12;
    /** Interval at which the servers are listed and their speeds compared with the published ones. */
    private static final Duration REFRESH_INTERVAL = Duration.ofMillis(500);

    private final BackendServers servers;
    private final MonotonicClock clock;
    private LearnedSpeeds learned = new LearnedSpeeds();
    private PublishedSpeeds published = new PublishedSpeeds(learned);
    /** The announced servers by name at the latest refresh. */
    private Map<String, BackendServer> announced = Map.of();

    private Deadline nextRefreshAt;
    private long term = -1;
    private int returns;
    private int questions;

    /**
     * Creates a coordinator that has learned nothing.
     *
     * @param servers the announced servers
     * @param clock the clock
     */
    public SpeedCoordinator(BackendServers servers, MonotonicClock clock) {
        this.servers = servers;
        this.clock = clock;
        this.nextRefreshAt = new Deadline(clock.nanoTime());
    }

    @Override
    public double speedOf(BackendServer server, long nowNanos) {
        return learned.speedOf(server, nowNanos);
    }

    /**
     * Returns the speed of a server without short disturbances.
     *
     * @param server the server
     * @return the speed; 1 is the median of the server's peers
     */
    public double lastingSpeedOf(BackendServer server) {
        return learned.lastingSpeedOf(server, clock.nanoTime());
    }

    /**
     * Learns from a report and adds to its answer what the entry does not know yet.
     *
     * @param report the report
     * @param update the answer, whose term is set
     */
    void exchange(UsageReport report, CoordinationUpdate.Builder update) {
        long nowNanos = clock.nanoTime();
        beginTerm(update.getTerm());
        refresh(nowNanos);
        report.getServersList().stream().filter(ServerUsage::hasSlowness).forEach(usage -> learn(usage, nowNanos));
        if (report.getSpeedsCount() > 0) {
            inherit(report.getSpeedsList(), nowNanos);
        }
        // The term makes the versions of two coordinators differ.
        long firstVersion = term << Integer.SIZE;
        boolean isOfTerm = report.getSpeedsVersion() >>> Integer.SIZE == term;
        long knownVersion = isOfTerm ? report.getSpeedsVersion() - firstVersion : 0;
        update.setSpeedsVersion(firstVersion + published.version());
        published.since(knownVersion).forEach(speed -> update.addSpeeds(encode(speed)));
        if (!isOfTerm && returns < MAX_RETURNS && questions < MAX_QUESTIONS) {
            questions++;
            update.setAsksSpeeds(true);
        }
    }

    private void beginTerm(long currentTerm) {
        if (currentTerm != term) {
            term = currentTerm;
            returns = 0;
            questions = 0;
            learned = new LearnedSpeeds();
            published = new PublishedSpeeds(learned);
        }
    }

    /** Samples of servers that joined or restarted after the latest refresh are ignored. */
    private void learn(ServerUsage usage, long nowNanos) {
        SlownessSamples samples = usage.getSlowness();
        SlownessSample sample = new SlownessSample(
                samples.getFirstEvent(), samples.getFirstEvents(), samples.getPause(), samples.getPauses());
        find(usage.getName(), usage.getIncarnation())
                .map(server -> learned.record(server, sample, nowNanos))
                .ifPresent(disturbance -> disturbance.ifPresent(factor -> LOGGER.info(
                        "event=server-disturbed server={} incarnation={} slower_by={}",
                        usage.getName(),
                        usage.getIncarnation(),
                        rounded(factor))));
    }

    private Optional<BackendServer> find(String name, long incarnation) {
        return Optional.ofNullable(announced.get(name)).filter(server -> server.incarnation() == incarnation);
    }

    private void inherit(List<ServerSpeed> speeds, long nowNanos) {
        returns++;
        speeds.forEach(speed -> find(speed.getName(), speed.getIncarnation())
                .ifPresent(server ->
                        learned.inherit(server, speed.getSpeed(), Duration.ofMillis(speed.getAgeMillis()), nowNanos)));
        LOGGER.info("event=server-speeds-returned term={} servers={}", term, speeds.size());
    }

    private void refresh(long nowNanos) {
        if (!nextRefreshAt.hasPassed(nowNanos)) {
            return;
        }
        nextRefreshAt = Deadline.after(nowNanos, REFRESH_INTERVAL);
        announced = servers.current().stream()
                .collect(Collectors.toMap(server -> server.name().value(), server -> server));
        published
                .update(announced.values(), nowNanos)
                .forEach(speed -> LOGGER.info(
                        "event=server-speed server={} incarnation={} speed={} samples={}",
                        speed.name(),
                        speed.incarnation(),
                        rounded(speed.speed()),
                        learned.sampleCount(speed.name(), nowNanos)));
    }

    private static double rounded(double value) {
        return Math.round(value * 100) / 100.0;
    }

    private static ServerSpeed encode(PublishedSpeeds.ServerSpeed speed) {
        return ServerSpeed.newBuilder()
                .setName(speed.name().value())
                .setIncarnation(speed.incarnation())
                .setSpeed((float) speed.speed())
                .build();
    }

    /**
     * Returns the number of servers whose lasting speed differs from that of their peers.
     *
     * @return the number; zero on a VM that has not been the coordinator lately
     */
    public long unevenCount() {
        long nowNanos = clock.nanoTime();
        return announced.values().stream()
                .filter(server -> learned.lastingSpeedOf(server, nowNanos) != 1.0)
                .count();
    }

    /** Removes the state of servers that are no longer announced. */
    public void removeUnknownServers() {
        Set<BackendServerName> names =
                servers.current().stream().map(BackendServer::name).collect(Collectors.toSet());
        learned.retain(names);
        published.retain(names);
    }
}
