package org.borageproxy.coordination;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServers;
import org.borageproxy.routing.speed.PublishedSpeeds;
import org.borageproxy.routing.speed.ReceivedSpeeds;
import org.borageproxy.routing.speed.ServerSpeeds;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.wire.proto.CoordinationProtocol.CoordinationUpdate;
import org.borageproxy.wire.proto.CoordinationProtocol.ServerSpeed;
import org.borageproxy.wire.proto.CoordinationProtocol.UsageReport;

/**
 * The speeds of the servers on an entry, as the coordinator told them. The entry uses them while no coordinator answers
 * and returns them to a new one that asks. Not thread safe; confined to one event loop.
 */
public final class EntrySpeeds implements ServerSpeeds {

    private final MonotonicClock clock;
    private final ReceivedSpeeds received = new ReceivedSpeeds();
    private long version;
    private boolean isAsked;

    /**
     * Creates an entry that has received nothing.
     *
     * @param clock the clock
     */
    public EntrySpeeds(MonotonicClock clock) {
        this.clock = clock;
    }

    @Override
    public double speedOf(BackendServer server, long nowNanos) {
        return received.speedOf(server, nowNanos);
    }

    /**
     * Adds to a report which speeds are known, and the speeds themselves if the coordinator asked for them.
     *
     * @param report the report
     */
    public void addTo(UsageReport.Builder report) {
        report.setSpeedsVersion(version);
        if (isAsked) {
            isAsked = false;
            received.forEach(
                    clock.nanoTime(),
                    (speed, ageNanos) -> report.addSpeeds(ServerSpeed.newBuilder()
                            .setName(speed.name().value())
                            .setIncarnation(speed.incarnation())
                            .setSpeed((float) speed.speed())
                            .setAgeMillis(TimeUnit.NANOSECONDS.toMillis(ageNanos))));
        }
    }

    /**
     * Applies an answer of the coordinator.
     *
     * @param update the answer; an unsolicited notice, which has no term, is ignored
     */
    public void apply(CoordinationUpdate update) {
        if (update.getTerm() == 0) {
            return;
        }
        version = update.getSpeedsVersion();
        isAsked = update.getAsksSpeeds();
        long nowNanos = clock.nanoTime();
        update.getSpeedsList()
                .forEach(speed -> received.record(
                        new PublishedSpeeds.ServerSpeed(
                                new BackendServerName(speed.getName()), speed.getIncarnation(), speed.getSpeed()),
                        nowNanos));
    }

    /**
     * Removes the state of servers that are no longer announced.
     *
     * @param servers the announced servers
     */
    public void removeUnknownServers(BackendServers servers) {
        Set<BackendServerName> names =
                servers.current().stream().map(BackendServer::name).collect(Collectors.toSet());
        received.retain(names);
    }
}
