package org.borageproxy.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerKind;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.membership.LoadReport;
import org.borageproxy.membership.LoadedModel;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.routing.ServerChoice;
import org.borageproxy.vm.AvailabilityZone;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ServerPoolTest {

    private static final AvailabilityZone ZONE = new AvailabilityZone("a");
    private static final EnginePool ENGINES = new EnginePool(64, 100_000, 2, 200_000, 8, 2, Map.of());

    private final List<BackendServer> servers = new ArrayList<>();
    private final ServerPool pool = new ServerPool(() -> List.copyOf(servers), () -> 1, ZONE, new Random(1));

    private static BackendServer server(String name, String model) {
        return new BackendServer(
                new BackendServerName(name),
                1,
                1,
                BackendServerKind.ENGINE,
                BackendServerState.ALIVE,
                ZONE,
                "127.0.0.1",
                1,
                true,
                Set.of("s"),
                List.of(),
                List.of(new LoadedModel(model, "1", "", Set.of())),
                new LoadReport(0, 0, 64, 1, 1));
    }

    private static Optional<EngineWork> work(String model) {
        return Optional.of(new EngineWork(model, "", 1_000, 40, List.of()));
    }

    private Optional<String> chosen(String model) {
        return pool.choose("s", Optional.of(ENGINES), work(model), Set.of())
                .map(ServerChoice.Chosen::server)
                .map(server -> server.name().value());
    }

    private void suspect(BackendServer server) {
        servers.set(servers.indexOf(server), server.withState(BackendServerState.SUSPECT));
    }

    /** Load pattern: the only engine of a model crashes; its callers come back again and again. */
    @Test
    void modelOfAnEngineThatIsGoneCountsAsAbsent() {
        BackendServer only = server("only", "m");
        servers.add(only);
        servers.add(server("other", "n"));
        pool.onGone(this::suspect);
        assertEquals(Optional.of("only"), chosen("m"));
        pool.gone(only);
        assertTrue(chosen("m").isEmpty());
        assertEquals(ServerPool.Absence.NO_MODEL, pool.absence("s", work("m"), Set.of(new BackendServerName("only"))));
    }

    @Test
    void engineThatIsHeardOfAgainTakesWork() {
        BackendServer only = server("only", "m");
        servers.add(only);
        pool.onGone(this::suspect);
        pool.gone(only);
        assertTrue(chosen("m").isEmpty());
        servers.set(0, only);
        assertEquals(Optional.of("only"), chosen("m"));
    }

    /** Heartbeats may be missing because of the control group; that alone is no evidence against a server. */
    @Test
    void engineThatIsOnlySuspectedTakesWork() {
        servers.add(server("only", "m").withState(BackendServerState.SUSPECT));
        assertEquals(Optional.of("only"), chosen("m"));
    }

    @Test
    void serverThatLeavesTakesNoFurtherWork() {
        BackendServer leaving = server("leaving", "m");
        servers.add(leaving);
        servers.add(server("stays", "m"));
        assertTrue(pool.isCurrent(leaving));
        servers.set(0, leaving.withState(BackendServerState.LEAVING));
        assertEquals(Optional.of("stays"), chosen("m"));
        // A request that was given its place before looks again right before it is sent.
        assertFalse(pool.isCurrent(leaving));
        servers.remove(0);
        assertFalse(pool.isCurrent(leaving));
    }
}
