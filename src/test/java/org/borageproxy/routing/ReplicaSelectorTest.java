package org.borageproxy.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerKind;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.membership.LoadReport;
import org.borageproxy.membership.LoadedModel;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.AvailabilityZone;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the selection of a replica, with server states and time passed as arguments. */
class ReplicaSelectorTest {

    private static final AvailabilityZone ZONE = new AvailabilityZone("a");
    private static final AvailabilityZone OTHER_ZONE = new AvailabilityZone("b");
    private final Map<BackendServerName, ServerTable.Usage> usages = new HashMap<>();
    private final Random random = new Random(42);

    private static BackendServer engine(String name, BackendServerState state, AvailabilityZone zone, int running) {
        return new BackendServer(
                new BackendServerName(name),
                1,
                1,
                BackendServerKind.ENGINE,
                state,
                zone,
                "127.0.0.1",
                1,
                true,
                Set.of(),
                List.of(),
                List.of(new LoadedModel("llama", "1", "0", Set.of("quilt"))),
                new LoadReport(running, 0, 8, 50.0, 5000.0));
    }

    private static BackendServer alive(String name) {
        return engine(name, BackendServerState.ALIVE, ZONE, 0);
    }

    private static ReplicaQuery query(String adapter, Map<BackendServerName, AvailabilityZone> tried, boolean alone) {
        return new ReplicaQuery(
                new ReplicaQuery.Target.OfModel("llama", "1", adapter, Optional.empty()),
                new ReplicaQuery.Work(10, 20),
                ZONE,
                tried,
                alone,
                null);
    }

    private Selection select(ReplicaQuery query, BackendServer... servers) {
        return ReplicaSelector.INSTANCE.select(
                query, List.of(servers), name -> usages.getOrDefault(name, ServerTable.Usage.IDLE), 1000, random);
    }

    private String chosen(ReplicaQuery query, BackendServer... servers) {
        return ((Selection.Chosen) select(query, servers)).server().name().value();
    }

    private void setUsage(String name, int inFlight, boolean exclusive, CircuitBreaker circuit) {
        usages.put(new BackendServerName(name), new ServerTable.Usage(inFlight, exclusive, circuit));
    }

    private static CircuitBreaker open(long untilNanos) {
        return new CircuitBreaker(CircuitBreaker.FAILURE_THRESHOLD, new Deadline(untilNanos), false, 0);
    }

    @Property(seed = "42", tries = 300)
    void neverChoosesAnIneligibleReplica(
            @ForAll @IntRange(max = 6) int leaving, @ForAll @IntRange(max = 6) int busy, @ForAll boolean alone) {
        List<BackendServer> servers = new ArrayList<>();
        usages.clear();
        for (int index = 0; index < 6; index++) {
            BackendServerState state = index < leaving ? BackendServerState.LEAVING : BackendServerState.ALIVE;
            servers.add(engine("engine-" + index, state, ZONE, index));
            if (index >= 6 - busy) {
                setUsage("engine-" + index, 1, index % 2 == 0, CircuitBreaker.CLOSED);
            }
        }
        Selection selection = select(query("", Map.of(), alone), servers.toArray(new BackendServer[0]));
        if (selection instanceof Selection.Chosen choice) {
            assertNotEquals(BackendServerState.LEAVING, choice.server().state());
            ServerTable.Usage usage = usages.getOrDefault(choice.server().name(), ServerTable.Usage.IDLE);
            assertFalse(usage.exclusive());
            assertTrue(!alone || usage.inFlight() == 0);
        } else {
            assertEquals(leaving == 6 ? Selection.Missing.INSTANCE : Selection.Busy.INSTANCE, selection);
        }
    }

    @Test
    void waitsForBusyReplicaInsteadOfRetryingOnFailedOne() {
        setUsage("engine-2", 1, false, CircuitBreaker.CLOSED);
        Map<BackendServerName, AvailabilityZone> tried = Map.of(new BackendServerName("engine-1"), ZONE);
        ReplicaQuery query = query("", tried, true);
        assertEquals(Selection.Busy.INSTANCE, select(query, alive("engine-1"), alive("engine-2")));
        assertEquals("engine-1", chosen(query, alive("engine-1")));
    }

    @Test
    void choosesOnlyReplicasWithTheAdapterLoaded() {
        assertEquals("engine-1", chosen(query("quilt", Map.of(), false), alive("engine-1")));
        assertEquals(Selection.Missing.INSTANCE, select(query("wool", Map.of(), false), alive("engine-1")));
    }

    @Test
    void avoidsSuspectsAndOpenCircuitsUnlessMostReplicasAreAffected() {
        BackendServer suspect = engine("engine-2", BackendServerState.SUSPECT, ZONE, 0);
        setUsage("engine-3", 0, false, open(5000));
        BackendServer[] servers = {alive("engine-1"), suspect, alive("engine-3"), alive("engine-4"), alive("engine-5")};
        Set<String> seen = chosenNames(servers);
        assertEquals(Set.of("engine-1", "engine-4", "engine-5"), seen);
        setUsage("engine-4", 0, false, open(5000));
        assertEquals(Set.of("engine-1", "engine-2", "engine-3", "engine-4", "engine-5"), chosenNames(servers));
    }

    private Set<String> chosenNames(BackendServer... servers) {
        Set<String> names = new java.util.HashSet<>();
        for (int draw = 0; draw < 200; draw++) {
            names.add(chosen(query("", Map.of(), false), servers));
        }
        return names;
    }

    @Test
    void sendsOneProbeAfterOpenCircuitTimeout() {
        setUsage("engine-1", 0, false, open(500));
        BackendServer[] servers = {alive("engine-1"), alive("engine-2"), alive("engine-3")};
        assertEquals("engine-1", chosen(query("", Map.of(), false), servers));
        setUsage("engine-1", 1, false, open(500).withProbe());
        assertEquals(Set.of("engine-2", "engine-3"), chosenNames(servers));
    }

    @Test
    void retriesOnAnotherReplicaPreferablyInAnotherZone() {
        Map<BackendServerName, AvailabilityZone> tried = Map.of(new BackendServerName("engine-1"), ZONE);
        BackendServer otherZone = engine("engine-3", BackendServerState.ALIVE, OTHER_ZONE, 8);
        for (int draw = 0; draw < 50; draw++) {
            assertEquals("engine-3", chosen(query("", tried, false), alive("engine-1"), alive("engine-2"), otherZone));
            assertEquals("engine-2", chosen(query("", tried, false), alive("engine-1"), alive("engine-2")));
        }
        assertEquals("engine-1", chosen(query("", tried, false), alive("engine-1")));
    }

    @Test
    void prefersFasterAndLessLoadedReplicas() {
        setUsage("engine-1", 0, false, CircuitBreaker.CLOSED.afterSuccess(900));
        setUsage("engine-2", 0, false, CircuitBreaker.CLOSED.afterSuccess(20));
        assertTrue(share("engine-1", alive("engine-1"), alive("engine-2")) < 0.1);
        usages.clear();
        BackendServer loaded = engine("engine-3", BackendServerState.ALIVE, ZONE, 16);
        assertTrue(share("engine-3", loaded, alive("engine-4")) < 0.1);
    }

    private double share(String name, BackendServer... servers) {
        int hits = 0;
        for (int draw = 0; draw < 1000; draw++) {
            hits += chosen(query("", Map.of(), false), servers).equals(name) ? 1 : 0;
        }
        return hits / 1000.0;
    }

    @Test
    void choosesTheReplicaNamedByThePrefixHint() {
        ReplicaQuery hinted = new ReplicaQuery(
                new ReplicaQuery.Target.OfModel("llama", "1", "", Optional.empty()),
                new ReplicaQuery.Work(5000, 20),
                ZONE,
                Map.of(),
                false,
                new BackendServerName("engine-2"));
        for (int draw = 0; draw < 50; draw++) {
            assertEquals("engine-2", chosen(hinted, alive("engine-1"), alive("engine-2"), alive("engine-3")));
        }
    }
}
