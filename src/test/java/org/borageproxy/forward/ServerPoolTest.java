package org.borageproxy.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.borageproxy.drain.ZoneRules;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.routing.ServerSelector;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.CoordinationProtocol.ServerUsage;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ServerPoolTest {

    private static final EnginePool ENGINES = new EnginePool(64, 100_000, 2, 200_000, 8, 2, Map.of());

    private final List<BackendServer> servers = new ArrayList<>();
    private long nowNanos = 1;
    private final ServerPool pool = new ServerPool(
            () -> List.copyOf(servers), () -> nowNanos, BackendServerFixture.ZONE, new Random(1), () -> 1);

    private static Optional<EngineWork> work(String model) {
        return Optional.of(new EngineWork(model, "", 1_000, 40, List.of()));
    }

    private static ServerRequirement requirement(
            String model, Set<BackendServerName> triedServers, Optional<StreamOrigin> origin) {
        return new ServerRequirement("s", Optional.of(ENGINES), work(model), triedServers, origin);
    }

    private Optional<String> chosen(String model) {
        return pool.choose(requirement(model, Set.of(), Optional.empty()))
                .map(ServerSelector.Choice::server)
                .map(server -> server.name().value());
    }

    private void suspect(BackendServer server) {
        servers.set(servers.indexOf(server), server.withState(BackendServerState.SUSPECT));
    }

    /**
     * The only engine of a model crashes and its callers keep retrying: the model must count as missing, to be
     * reloaded.
     */
    @Test
    void modelIsMissingWhenItsOnlyEngineIsGone() {
        BackendServer only = BackendServerFixture.engine("only", "m");
        servers.add(only);
        servers.add(BackendServerFixture.engine("other", "n"));
        pool.onGone(this::suspect);
        assertEquals(Optional.of("only"), chosen("m"));
        pool.markGone(only);
        assertTrue(chosen("m").isEmpty());
        assertEquals(
                ServerPool.Unavailability.NO_MODEL,
                pool.unavailability(requirement("m", Set.of(new BackendServerName("only")), Optional.empty())));
    }

    @Test
    void goneEngineIsChosenAgainOnceReportedAlive() {
        BackendServer only = BackendServerFixture.engine("only", "m");
        servers.add(only);
        pool.onGone(this::suspect);
        pool.markGone(only);
        assertTrue(chosen("m").isEmpty());
        servers.set(0, only);
        assertEquals(Optional.of("only"), chosen("m"));
    }

    /** Heartbeats may be missing because of the control group, so that suspicion alone does not exclude a server. */
    @Test
    void suspectedEngineIsStillChosen() {
        servers.add(BackendServerFixture.engine("only", "m").withState(BackendServerState.SUSPECT));
        assertEquals(Optional.of("only"), chosen("m"));
    }

    /** Guards against events of two software versions in one stream; a new stream may begin at any version. */
    @Test
    void streamIsContinuedOnlyByServersOfItsVersion() {
        servers.add(BackendServerFixture.withSoftware(BackendServerFixture.engine("old", "m"), "v1"));
        servers.add(BackendServerFixture.withSoftware(BackendServerFixture.engine("new", "m"), "v2"));
        for (int round = 0; round < 20; round++) {
            assertEquals(Optional.of("old"), chosen("m", "v1"));
            assertEquals(Optional.of("new"), chosen("m", "v2"));
        }
        assertTrue(chosen("m").isPresent());
        assertTrue(chosen("m", "v3").isEmpty());
        assertEquals(
                ServerPool.Unavailability.NO_SERVER,
                pool.unavailability(requirement("m", Set.of(), Optional.of(new StreamOrigin("s", "v3")))));
    }

    private Optional<String> chosen(String model, String softwareVersion) {
        return pool.choose(requirement(model, Set.of(), Optional.of(new StreamOrigin("s", softwareVersion))))
                .map(choice -> choice.server().name().value());
    }

    @Test
    void versionIsTheOnlyOneWhileNoServerOfTheServiceRunsAnother() {
        StreamOrigin first = new StreamOrigin("s", "v1");
        servers.add(BackendServerFixture.withSoftware(BackendServerFixture.engine("old", "m"), "v1"));
        assertTrue(pool.isOnlyVersion(first));
        assertFalse(pool.isOnlyVersion(new StreamOrigin("s", "v2")));
        servers.add(BackendServerFixture.withSoftware(BackendServerFixture.engine("new", "m"), "v2"));
        assertFalse(pool.isOnlyVersion(first));
    }

    /** Guards against a stream that is sent to a server which has changed its version without a new incarnation. */
    @Test
    void serverThatAnnouncesAnotherVersionIsNotCurrent() {
        BackendServer before = BackendServerFixture.withSoftware(BackendServerFixture.engine("one", "m"), "v1");
        servers.add(before);
        assertTrue(pool.availability().isCurrent(before));
        servers.set(0, BackendServerFixture.withSoftware(BackendServerFixture.engine("one", "m"), "v2"));
        assertFalse(pool.availability().isCurrent(before));
    }

    @Test
    void leavingServerIsNeitherChosenNorCurrent() {
        BackendServer leaving = BackendServerFixture.engine("leaving", "m");
        servers.add(leaving);
        servers.add(BackendServerFixture.engine("stays", "m"));
        assertEquals(Optional.empty(), pool.availability().obstacle(leaving, Set.of(), Optional.empty()));
        servers.set(0, leaving.withState(BackendServerState.LEAVING));
        assertEquals(Optional.of("stays"), chosen("m"));
        // A request whose slot was granted before checks again immediately before it is sent.
        assertTrue(pool.availability()
                .obstacle(leaving, Set.of(), Optional.empty())
                .isPresent());
        servers.remove(0);
        assertTrue(pool.availability()
                .obstacle(leaving, Set.of(), Optional.empty())
                .isPresent());
    }

    /** Guards against requests to servers of a drained zone, also by a choice that was made before the drain. */
    @Test
    void drainedServersAreNeitherChosenNorSentTo() {
        BackendServer drained = BackendServerFixture.engine("drained", "m");
        BackendServer other = BackendServerFixture.inZone(BackendServerFixture.engine("other", "m"), "b");
        servers.add(drained);
        servers.add(other);
        Set<AvailabilityZone> zones = new HashSet<>();
        pool.availability().restrict((server, regions) -> !zones.contains(server.zone()));
        zones.add(drained.zone());
        for (int round = 0; round < 20; round++) {
            assertEquals(Optional.of("other"), chosen("m"));
        }
        assertTrue(pool.availability()
                .obstacle(drained, Set.of(), Optional.empty())
                .isPresent());
        assertEquals(Optional.empty(), pool.availability().obstacle(other, Set.of(), Optional.empty()));
    }

    /** Guards against callers that wait for a model while no server at all may run it; they are told at once. */
    @Test
    void drainOfAllServersLeavesNoServer() {
        servers.add(BackendServerFixture.engine("only", "m"));
        assertFalse(pool.availability().areRuledOut("s", Set.of()));
        pool.availability().restrict((server, regions) -> false);
        assertTrue(chosen("m").isEmpty());
        assertTrue(pool.availability().areRuledOut("s", Set.of()));
        assertFalse(pool.availability().areRuledOut("other", Set.of()));
        assertEquals(
                ServerPool.Unavailability.NO_SERVER, pool.unavailability(requirement("m", Set.of(), Optional.empty())));
    }

    /** Guards against bodies that leave their regions on the way through another VM. */
    @Test
    void restrictedRequestIsNotSentThroughVmOfAnotherRegion() {
        BackendServer server = BackendServerFixture.engine("e", "m");
        servers.add(server);
        VmName relay = new VmName("relay");
        pool.availability().restrictRelays((vm, regions) -> regions.isEmpty());
        assertEquals(Optional.empty(), pool.availability().obstacle(server, Set.of(), Optional.of(relay)));
        assertEquals(Optional.empty(), pool.availability().obstacle(server, Set.of("r"), Optional.empty()));
        assertTrue(pool.availability()
                .obstacle(server, Set.of("r"), Optional.of(relay))
                .isPresent());
    }

    /** Guards against requests to servers of another region, and against a coordinator that offers these again. */
    @Test
    void restrictedRequestIsNotSentToServerOfAnotherRegion() {
        servers.add(BackendServerFixture.engine("near", "m"));
        servers.add(BackendServerFixture.inZone(BackendServerFixture.engine("far", "m"), "b"));
        ZoneRules rules = new ZoneRules(
                Map.of(BackendServerFixture.ZONE, "r", new AvailabilityZone("b"), "q"), Set::of, () -> true);
        pool.availability().restrict(rules);
        ServerRequirement restricted = new ServerRequirement(
                "s", Optional.of(ENGINES), work("m"), Set.of(), Optional.empty(), 0.0, Set.of("q"), 0);
        for (int round = 0; round < 20; round++) {
            assertEquals(
                    Optional.of("far"),
                    pool.choose(restricted).map(choice -> choice.server().name().value()));
        }
        assertEquals(Set.of(new BackendServerName("near")), pool.availability().outside(Set.of("q")));
    }

    /**
     * Load pattern: a plain service with few slots. Requests go through the coordinator only while its servers fill,
     * and an entry that has not heard of the others for long does not keep to what it knew.
     */
    @Test
    void plainServiceIsBoundedWhileTheLoadOfOtherVmsIsKnown() {
        BackendServer server = BackendServerFixture.service("p", 1);
        servers.add(server);
        ServerRequirement plain =
                new ServerRequirement("s", Optional.empty(), Optional.empty(), Set.of(), Optional.empty());
        assertTrue(pool.choose(plain).isPresent());
        assertFalse(pool.needsCoordinator("s"));
        pool.updateOtherVmUsage(List.of(usage(server, 40)), true);
        assertFalse(pool.needsCoordinator("s"));
        pool.updateOtherVmUsage(List.of(usage(server, 48)), true);
        assertTrue(pool.needsCoordinator("s"));
        assertTrue(pool.choose(plain).isPresent());
        pool.updateOtherVmUsage(List.of(usage(server, 96)), true);
        assertTrue(pool.choose(plain).isEmpty());
        nowNanos += Duration.ofSeconds(1).toNanos();
        assertTrue(pool.choose(plain).isPresent());
        assertFalse(pool.needsCoordinator("s"));
    }

    private static ServerUsage usage(BackendServer server, int requests) {
        return ServerUsage.newBuilder()
                .setName(server.name().value())
                .setIncarnation(server.incarnation())
                .setRequests(requests)
                .build();
    }
}
