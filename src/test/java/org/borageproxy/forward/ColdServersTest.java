package org.borageproxy.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.membership.LoadReport;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.routing.ServerSelector;
import org.borageproxy.routing.ServerStatement;
import org.borageproxy.time.VirtualTime;
import org.borageproxy.warmup.WarmUpRules;
import org.borageproxy.warmup.WarmUpShares;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests in virtual time which servers count as cold and how many requests a fleet sends them. */
class ColdServersTest {

    private static final double OVERAGE = 1.5;
    private static final double SLACK = 5;
    private static final Duration STEP = Duration.ofMillis(10);
    private static final int STEPS_PER_SECOND = 100;
    private static final Duration COLD_TIME = Duration.ofSeconds(10);
    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final EnginePool ENGINES = new EnginePool(64, 100_000, 2, 200_000, 8, 2, Map.of());

    private final VirtualTime time = new VirtualTime(1);
    private final Random random = new Random(5);

    private long wallMillis() {
        return START_MILLIS + Duration.ofNanos(time.nowNanos()).toMillis();
    }

    private ServerStatements coordinator(double rate) {
        return statements(rate, WarmUpShares.within(OVERAGE, SLACK).coordinatorFactor(), 1);
    }

    private ServerStatements entry(double rate, int entryCount) {
        return statements(rate, WarmUpShares.within(OVERAGE, SLACK).entriesFactor(), 1.0 / entryCount);
    }

    private ServerStatements statements(double rate, double factor, double share) {
        ServerStatements created = new ServerStatements(time::nowNanos, random, () -> share);
        limit(created, rate, factor, share);
        return created;
    }

    private void limit(ServerStatements statements, double rate, double factor, double share) {
        WarmUpRules rules = new WarmUpRules(COLD_TIME, OptionalDouble.of(rate));
        statements.limitColdServers(service -> rules, factor, () -> share, this::wallMillis);
    }

    private static BackendServer server(String name, long incarnation, long sequence, OptionalLong coldMillis) {
        BackendServer server = BackendServerFixture.engine(name, "m");
        return new BackendServer(
                server.name(),
                incarnation,
                sequence,
                server.kind(),
                server.state(),
                server.zone(),
                server.host(),
                server.port(),
                server.checksFencing(),
                server.services(),
                server.accelerators(),
                server.models(),
                server.localWeights(),
                server.softwareVersion(),
                new LoadReport(0, 0, 64, 1, 1, coldMillis));
    }

    private static ServerStatement cold(Duration remaining) {
        return new ServerStatement(OptionalDouble.empty(), OptionalInt.empty(), OptionalLong.of(remaining.toMillis()));
    }

    /**
     * Half of the fleet restarts at once, and each VM has more requests than permits: the coordinator grants, and all
     * entries believe that they have lost it. Guards against more requests in any second than a cold server survives.
     */
    @Property(tries = 25, seed = "31")
    void fleetKeepsTheBoundInEverySecondWhenServersRestart(
            @ForAll @DoubleRange(min = 0.5, max = 60) double rate, @ForAll @IntRange(min = 2, max = 120) int entries) {
        List<BackendServer> restarted = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            restarted.add(server("e" + number, wallMillis(), 1, OptionalLong.of(COLD_TIME.toMillis())));
        }
        List<ServerStatements> vms = new ArrayList<>(List.of(coordinator(rate)));
        for (int number = 0; number < entries; number++) {
            vms.add(entry(rate, entries));
        }
        for (BackendServer each : restarted) {
            assertBounded(rate, sendAll(each, vms));
        }
    }

    /** Sends as much as is permitted for four seconds and returns the number of requests in each step. */
    private int[] sendAll(BackendServer server, List<ServerStatements> vms) {
        int[] sent = new int[4 * STEPS_PER_SECOND];
        for (int step = 0; step < sent.length; step++) {
            for (ServerStatements vm : vms) {
                while (vm.isPermitted(server)) {
                    vm.acquirePermit(server);
                    sent[step]++;
                }
            }
            time.advance(STEP);
        }
        return sent;
    }

    private static void assertBounded(double rate, int[] sent) {
        int inSecond = 0;
        for (int step = 0; step < sent.length; step++) {
            inSecond += sent[step] - (step < STEPS_PER_SECOND ? 0 : sent[step - STEPS_PER_SECOND]);
            int count = inSecond;
            assertTrue(count <= rate * OVERAGE + SLACK, () -> count + " requests in a second at a rate of " + rate);
        }
    }

    /**
     * A zone returns cold under a burst. Guards against a limit that leaves most of what a cold server takes unused.
     */
    @Test
    void coordinatorUsesTheStatedRateWhileServersWarmUp() {
        BackendServer returned = server("e", 1, 1, OptionalLong.of(COLD_TIME.toMillis()));
        int sent = 0;
        for (int inStep : sendAll(returned, List.of(coordinator(20)))) {
            sent += inStep;
        }
        assertTrue(sent >= 0.95 * 20 * 4 && sent <= 1.25 * 20 * 4 + 1, sent + " requests in 4 s");
    }

    /** Guards against servers that are limited although they state that they are warm, and against an endless limit. */
    @Test
    void statedTimeCountsBeforeTheTimeSinceTheStart() {
        ServerStatements vm = entry(4, 10);
        assertFalse(vm.isLimiting(server("old", wallMillis() - 1_000, 1, OptionalLong.empty())));
        time.advance(Duration.ofSeconds(1));
        BackendServer silent = server("silent", wallMillis(), 1, OptionalLong.empty());
        assertTrue(vm.isLimiting(silent));
        assertFalse(vm.isLimiting(server("warm", wallMillis(), 1, OptionalLong.of(0))));
        BackendServer stating = server("stating", wallMillis(), 1, OptionalLong.of(2_000));
        assertTrue(vm.isLimiting(stating));
        time.advance(Duration.ofMillis(2_100));
        assertFalse(vm.isLimiting(stating));
        assertTrue(vm.isLimiting(silent));
        time.advance(COLD_TIME);
        assertFalse(vm.isLimiting(silent));
    }

    /** Guards against a server that becomes cold again and gets the usual load of all VMs but the one it has told. */
    @Test
    void answerThatStatesColdReachesOtherVmsThroughTheCoordinator() {
        BackendServer server = server("e", 1, 1, OptionalLong.of(0));
        ServerStatements told = entry(4, 10);
        ServerStatements other = entry(4, 10);
        ServerStatements coordinator = coordinator(4);
        assertFalse(told.isLimiting(server));
        told.recordAnswer(server, cold(Duration.ofSeconds(3)), time.nowNanos());
        long version = coordinator.version();
        coordinator.merge(told.collectUnreported());
        assertTrue(coordinator.version() > version);
        other.merge(coordinator.all());
        assertTrue(told.isLimiting(server) && coordinator.isLimiting(server) && other.isLimiting(server));
        // A heartbeat that was sent before the server became cold arrives later.
        assertTrue(told.isLimiting(server("e", 1, 2, OptionalLong.of(0))));
        time.advance(Duration.ofMillis(3_100));
        assertFalse(told.isLimiting(server) || coordinator.isLimiting(server) || other.isLimiting(server));
    }

    /** Guards against knowledge of a previous incarnation that limits its successor, or the other way round. */
    @Test
    void coldTimeBelongsToOneIncarnation() {
        ServerStatements vm = entry(4, 10);
        BackendServer first = server("e", 1, 1, OptionalLong.of(5_000));
        BackendServer second = server("e", 2, 1, OptionalLong.of(0));
        assertTrue(vm.isLimiting(first));
        assertFalse(vm.isLimiting(second));
        vm.recordAnswer(first, cold(Duration.ofSeconds(3)), time.nowNanos());
        assertFalse(vm.isLimiting(second));
    }

    /** Guards against a VM that resumes from a freeze and uses up at once what it could have sent meanwhile. */
    @Test
    void frozenVmsSaveNoMoreThanASecond() {
        double rate = 40;
        BackendServer server =
                server("e", 1, 1, OptionalLong.of(Duration.ofMinutes(10).toMillis()));
        List<ServerStatements> vms = new ArrayList<>(List.of(coordinator(rate)));
        for (int number = 0; number < 50; number++) {
            vms.add(entry(rate, 50));
        }
        sendAll(server, vms);
        time.advance(Duration.ofSeconds(60));
        assertBounded(rate, sendAll(server, vms));
    }

    /**
     * A cold server holds the only copy of a model. Guards against requests beyond its limit and against callers who
     * are told that the model is missing; of two copies, the warm one comes first.
     */
    @Test
    void coldServerWithTheOnlyCopyIsUsedWithinItsLimitAndWarmOnesComeFirst() {
        Map<String, BackendServer> servers = new HashMap<>();
        servers.put("cold", server("cold", 1, 1, OptionalLong.of(60_000)));
        ServerPool pool = new ServerPool(
                () -> List.copyOf(servers.values()), time::nowNanos, BackendServerFixture.ZONE, random, () -> 1);
        limit(pool.statements(), 4, 1, 1);
        Optional<EngineWork> work = Optional.of(new EngineWork("m", "", 100, 10, List.of()));
        ServerRequirement requirement = new ServerRequirement(
                BackendServerFixture.SERVICE, Optional.of(ENGINES), work, Set.of(), Optional.empty());
        // A previous coordinator may have granted requests up to now.
        assertTrue(pool.choose(requirement).isEmpty());
        time.advance(Duration.ofSeconds(1));
        int granted = 0;
        Optional<ServerSelector.Choice> choice = pool.choose(requirement);
        while (choice.isPresent()) {
            granted++;
            pool.recordAssignment(choice.get(), work, 0);
            choice = pool.choose(requirement);
        }
        assertTrue(granted >= 1 && granted <= 4 * OVERAGE + SLACK, granted + " requests at once");
        assertEquals(ServerPool.Unavailability.LIMITED, pool.unavailability(requirement));
        time.advance(Duration.ofSeconds(1));
        servers.put("warm", server("warm", 1, 1, OptionalLong.of(0)));
        assertEquals(
                Optional.of("warm"),
                pool.choose(requirement).map(each -> each.server().name().value()));
    }
}
