package org.borageproxy.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.routing.ServerSelector;
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
    void originIsCommonOnlyWhileAllServersRunOneVersion() {
        assertEquals(Optional.empty(), pool.commonOrigin("s"));
        servers.add(BackendServerFixture.withSoftware(BackendServerFixture.engine("old", "m"), "v1"));
        assertEquals(Optional.of(new StreamOrigin("s", "v1")), pool.commonOrigin("s"));
        servers.add(BackendServerFixture.withSoftware(BackendServerFixture.engine("new", "m"), "v2"));
        assertEquals(Optional.empty(), pool.commonOrigin("s"));
    }

    @Test
    void leavingServerIsNeitherChosenNorCurrent() {
        BackendServer leaving = BackendServerFixture.engine("leaving", "m");
        servers.add(leaving);
        servers.add(BackendServerFixture.engine("stays", "m"));
        assertTrue(pool.isCurrent(leaving));
        servers.set(0, leaving.withState(BackendServerState.LEAVING));
        assertEquals(Optional.of("stays"), chosen("m"));
        // A request whose slot was granted before checks again immediately before it is sent.
        assertFalse(pool.isCurrent(leaving));
        servers.remove(0);
        assertFalse(pool.isCurrent(leaving));
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
