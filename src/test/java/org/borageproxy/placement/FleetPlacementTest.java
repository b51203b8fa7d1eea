package org.borageproxy.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.borageproxy.coordination.ModelInventory;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.publication.Publication;
import org.borageproxy.publication.PublishedService;
import org.borageproxy.publication.RequestLimits;
import org.borageproxy.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Two engines with one model each, room for another one, and an ordering VM whose clock and term the tests move. */
class FleetPlacementTest {

    private static final Duration TURN = Duration.ofSeconds(3);
    private static final Duration LOAD = Duration.ofSeconds(9);
    private static final double LOADS_PER_SECOND = 2;
    private static final int FURTHER = 30;
    private static final EnginePool POOL = pool();

    private final Engines engines = new Engines();
    private final VirtualTime time = new VirtualTime(1);
    private boolean leads = true;
    private long term = 4;
    private final List<BackendServer> servers = new ArrayList<>();
    private final FleetPlacement placement = placement();

    private record Ordered(long atNanos, EngineClient.EngineOrder order) {}

    private static EnginePool pool() {
        Map<String, EnginePool.EngineModel> models = new HashMap<>();
        List.of("a", "b", "c").forEach(name -> models.put(name, model(name)));
        for (int index = 0; index < FURTHER; index++) {
            models.put("m" + index, model("m" + index));
        }
        return new EnginePool(64, 100_000, 2, 140, 2, LOADS_PER_SECOND, models);
    }

    private static EnginePool.EngineModel model(String name) {
        return new EnginePool.EngineModel(name, 65, LOAD.toSeconds(), 2, 1, 1);
    }

    private FleetPlacement placement() {
        Publication publication = new Publication(
                1,
                List.of(),
                Map.of("s", new PublishedService("s", 100, Optional.of(POOL))),
                Map.of(),
                RequestLimits.DEFAULT);
        servers.add(BackendServerFixture.engine("e1", "a"));
        servers.add(BackendServerFixture.engine("e2", "b"));
        FleetPlacement made = new FleetPlacement(new FleetPlacement.Environment(
                () -> leads,
                () -> term,
                "vm",
                TURN,
                () -> Optional.of(publication),
                () -> List.copyOf(servers),
                engines,
                (name, held) -> {},
                time::nowNanos,
                (delay, task) -> time.afterNanos(delay.toNanos(), task),
                task -> time.afterNanos(0, task)));
        made.start();
        return made;
    }

    @Test
    void newLeaderOrdersNothingDuringTheTurnOfTheOneBefore() {
        time.run(Duration.ofMillis(200));
        placement.adjustWaiting("s", "c", "", 1);
        time.run(TURN.minusMillis(300));
        assertEquals(List.of(), engines.ordered);
        time.run(Duration.ofMillis(500));
        assertEquals(1, engines.ordered.size(), engines.ordered.toString());
        EngineClient.EngineOrder order = engines.ordered.get(0).order();
        assertTrue(order.isLoad() && order.model().equals("c"), order.toString());
        assertEquals(term, order.fencingToken());
        assertEquals(0, order.expectedOrderCount());
    }

    @Test
    void vmThatLeadsNoLongerOrdersNothing() {
        time.run(TURN.plusMillis(1_200));
        leads = false;
        placement.adjustWaiting("s", "c", "", 1);
        time.run(Duration.ofSeconds(5));
        assertEquals(List.of(), engines.ordered);
    }

    @Test
    void leaderThatIsElectedAgainWaitsItsTurnAgain() {
        time.run(TURN.plusMillis(1_200));
        term = 6;
        placement.adjustWaiting("s", "c", "", 1);
        time.run(TURN.minusMillis(200));
        assertEquals(List.of(), engines.ordered);
        time.run(Duration.ofMillis(700));
        assertEquals(6, engines.ordered.get(0).order().fencingToken());
    }

    @Test
    void arrivalOfAModelOnItsWayIsKnown() {
        time.run(TURN.plusMillis(1_200));
        assertTrue(placement.estimateAvailability("s", "c", "").isEmpty());
        placement.adjustWaiting("s", "c", "", 1);
        time.run(Duration.ofMillis(200));
        long millis = placement.estimateAvailability("s", "c", "").orElseThrow().remainingMillis(time.nowNanos());
        assertTrue(millis > LOAD.toMillis() - 500 && millis < LOAD.toMillis() + 1_000, "arrives in " + millis + " ms");
        assertTrue(placement.estimateAvailability("s", "d", "").isEmpty());
    }

    /** Load pattern: an engine accepts a load and never finishes it. */
    @Test
    void modelThatIsLongOverdueIsNotWaitedFor() {
        time.run(TURN.plusMillis(1_200));
        placement.adjustWaiting("s", "c", "", 1);
        time.run(LOAD.plusSeconds(1));
        assertTrue(placement.estimateAvailability("s", "c", "").isPresent());
        time.run(Duration.ofSeconds(3));
        assertTrue(placement.estimateAvailability("s", "c", "").isEmpty());
    }

    /** Load pattern: thirty rare models are asked for at once, right after empty engines were added. */
    @Test
    void loadsFromTheStoreKeepToItsRate() {
        for (int index = 0; index < FURTHER; index++) {
            servers.add(BackendServerFixture.engine("f" + index, "a"));
        }
        time.run(TURN.plusMillis(1_200));
        for (int index = 0; index < FURTHER; index++) {
            placement.adjustWaiting("s", "m" + index, "", 1);
        }
        time.run(Duration.ofSeconds(20));
        List<Long> loads = engines.ordered.stream()
                .filter(ordered -> ordered.order().isLoad())
                .map(Ordered::atNanos)
                .toList();
        assertEquals(FURTHER, loads.size());
        long windowNanos = Duration.ofSeconds(5).toNanos();
        for (long from : loads) {
            long inWindow = loads.stream()
                    .filter(at -> at >= from && at <= from + windowNanos)
                    .count();
            assertTrue(inWindow <= LOADS_PER_SECOND * 5 * 1.1 + 3, inWindow + " loads in 5 s");
        }
    }

    /** Accepts each order and never finishes a load. */
    private final class Engines implements EngineClient {
        private final Set<String> busy = new java.util.HashSet<>();
        private final List<Ordered> ordered = new ArrayList<>();

        @Override
        public CompletionStage<OrderReply> sendOrder(BackendServer server, EngineOrder order) {
            ordered.add(new Ordered(time.nowNanos(), order));
            busy.add(server.name().value());
            return CompletableFuture.completedFuture(OrderReply.ACCEPTED);
        }

        @Override
        public CompletionStage<Optional<EngineReport>> fetchState(BackendServer server) {
            String name = server.name().value();
            Map<String, Set<String>> held = Map.of(server.models().get(0).model(), Set.of());
            ModelInventory models =
                    new ModelInventory(BackendServerFixture.INCARNATION, busy.contains(name) ? 1 : 0, held, Set.of());
            return CompletableFuture.completedFuture(Optional.of(new EngineReport(models, busy.contains(name), 0)));
        }
    }
}
