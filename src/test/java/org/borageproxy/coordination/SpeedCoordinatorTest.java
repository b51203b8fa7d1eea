package org.borageproxy.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.routing.speed.ServerSpeeds;
import org.borageproxy.time.VirtualTime;
import org.borageproxy.wire.proto.CoordinationProtocol.CoordinationUpdate;
import org.borageproxy.wire.proto.CoordinationProtocol.ServerUsage;
import org.borageproxy.wire.proto.CoordinationProtocol.SlownessSamples;
import org.borageproxy.wire.proto.CoordinationProtocol.UsageReport;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Exchanges reports and answers between entries and coordinators in virtual time. */
class SpeedCoordinatorTest {

    private static final Duration REPORT_INTERVAL = Duration.ofMillis(120);

    private final VirtualTime time = new VirtualTime(1);
    private final List<BackendServer> servers = new ArrayList<>();
    private final EntrySpeeds entry = new EntrySpeeds(time::nowNanos);
    private SpeedCoordinator coordinator = newCoordinator();

    private SpeedCoordinator newCoordinator() {
        return new SpeedCoordinator(() -> List.copyOf(servers), time::nowNanos);
    }

    private void addServers() {
        for (int index = 0; index < 6; index++) {
            servers.add(BackendServerFixture.engine("e" + index));
        }
    }

    private CoordinationUpdate report(long term, List<ServerUsage> usages) {
        UsageReport.Builder report = UsageReport.newBuilder().addAllServers(usages);
        entry.addTo(report);
        CoordinationUpdate.Builder update = CoordinationUpdate.newBuilder().setTerm(term);
        coordinator.exchange(report.build(), update);
        entry.apply(update.build());
        time.advance(REPORT_INTERVAL);
        return update.build();
    }

    /** The first server takes half as long again as the others. */
    private List<ServerUsage> samples() {
        return servers.stream()
                .map(server -> ServerUsage.newBuilder()
                        .setName(server.name().value())
                        .setIncarnation(server.incarnation())
                        .setSlowness(SlownessSamples.newBuilder()
                                .setFirstEvent(server == servers.get(0) ? (float) Math.log(1.5) : 0)
                                .setFirstEvents(1))
                        .build())
                .toList();
    }

    private void learn(long term) {
        for (int round = 0; round < 25; round++) {
            report(term, samples());
        }
    }

    private static double speedOf(ServerSpeeds speeds, BackendServer server, long now) {
        return speeds.speedOf(server, now);
    }

    @Test
    void entryReceivesOnlySpeedsThatDifferAndOnlyOnce() {
        addServers();
        learn(3);
        assertEquals(1 / 1.5, speedOf(entry, servers.get(0), time.nowNanos()), 0.06);
        assertEquals(1.0, speedOf(entry, servers.get(1), time.nowNanos()));
        assertEquals(0, report(3, samples()).getSpeedsCount());
    }

    /** Failure: the coordinator is lost while speeds are known. */
    @Test
    void newCoordinatorTakesOverSpeedsOfEntry() {
        addServers();
        learn(3);
        coordinator = newCoordinator();
        assertTrue(report(4, List.of()).getAsksSpeeds());
        assertEquals(1.0, speedOf(coordinator, servers.get(0), time.nowNanos()));
        report(4, List.of());
        assertEquals(1 / 1.5, speedOf(coordinator, servers.get(0), time.nowNanos()), 0.06);
    }

    @Test
    void entryKeepsSpeedsWithoutCoordinatorUntilTheyAreTooOld() {
        addServers();
        learn(3);
        time.advance(Duration.ofSeconds(30));
        assertTrue(speedOf(entry, servers.get(0), time.nowNanos()) < 0.75);
        time.advance(Duration.ofSeconds(31));
        assertEquals(1.0, speedOf(entry, servers.get(0), time.nowNanos()));
    }

    /** Guards against a loss of known speeds while their server keeps answering at the same speed. */
    @Test
    void speedIsRepeatedBeforeItExpires() {
        addServers();
        for (int round = 0; round < 700; round++) {
            report(3, samples());
        }
        assertTrue(speedOf(entry, servers.get(0), time.nowNanos()) < 0.75);
    }

    /** An entry of the previous build reports neither samples nor versions and ignores what it is told. */
    @Test
    void questionsToEntriesThatDoNotAnswerAreBounded() {
        addServers();
        int questions = 0;
        for (int round = 0; round < 100; round++) {
            CoordinationUpdate.Builder update = CoordinationUpdate.newBuilder().setTerm(5);
            coordinator.exchange(UsageReport.getDefaultInstance(), update);
            questions += update.getAsksSpeeds() ? 1 : 0;
        }
        assertTrue(questions <= 12, "questions " + questions);
        assertFalse(questions == 0);
    }

    /** Guards against an exception on the coordinator for a server that it does not know. */
    @Test
    void samplesOfUnknownServersAreIgnored() {
        addServers();
        List<ServerUsage> samples = samples();
        servers.clear();
        report(3, samples);
        assertEquals(1.0, speedOf(coordinator, BackendServerFixture.engine("e0"), time.nowNanos()));
    }
}
