package org.borageproxy.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.borageproxy.coordination.ModelInventory;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.publication.Publication;
import org.borageproxy.publication.PublishedService;
import org.borageproxy.publication.RequestLimits;
import org.borageproxy.time.VirtualTime;
import org.borageproxy.vm.AvailabilityZone;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Two engines with one loaded model each and room for another one. The tests control the clock, the term and the
 * leadership of the VM that sends orders.
 */
class FleetPlacementTest {

    private static final Duration HANDOVER_DELAY = Duration.ofSeconds(3);
    private static final Duration LOAD_TIME = Duration.ofSeconds(9);
    private static final double LOADS_PER_SECOND = 2;
    private static final int FURTHER_MODELS = 30;
    private static final EnginePool POOL = pool();

    private final LoadingEngineClient engineClient = new LoadingEngineClient();
    private final CountedPermits permits = new CountedPermits();
    private final VirtualTime time = new VirtualTime(1);
    private boolean isLeader = true;
    private long term = 4;
    private final List<BackendServer> servers = new ArrayList<>();
    private final Set<AvailabilityZone> drainedZones = new HashSet<>();
    private final FleetPlacement placement = placement();

    private record SentOrder(long atNanos, String server, EngineClient.EngineOrder order) {}

    private static EnginePool pool() {
        Map<String, EnginePool.EngineModel> models = new HashMap<>();
        List.of("a", "b", "c").forEach(name -> models.put(name, model(name)));
        for (int index = 0; index < FURTHER_MODELS; index++) {
            models.put("m" + index, model("m" + index));
        }
        return new EnginePool(64, 100_000, 2, 140, 2, LOADS_PER_SECOND, models);
    }

    private static EnginePool.EngineModel model(String name) {
        return new EnginePool.EngineModel(name, 65, LOAD_TIME.toSeconds(), 2, 1, 1);
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
        FleetPlacement fleetPlacement = new FleetPlacement(new FleetPlacement.Environment(
                () -> isLeader,
                () -> term,
                "vm",
                HANDOVER_DELAY,
                () -> Optional.of(publication),
                () -> List.copyOf(servers),
                drainedZones::contains,
                engineClient,
                permits,
                (name, loadedModels) -> {},
                time::nowNanos,
                (delay, task) -> time.scheduleAfterNanos(delay.toNanos(), task),
                task -> time.scheduleAfterNanos(0, task)));
        fleetPlacement.start();
        return fleetPlacement;
    }

    /** Permits for the engines in {@code limited}, which are granted by the tests. */
    private static final class CountedPermits implements CallPermits {
        private final Map<String, Integer> limited = new HashMap<>();
        private int lowest;

        @Override
        public boolean isLimiting(BackendServer engine) {
            return limited.containsKey(engine.name().value());
        }

        @Override
        public boolean isPermitted(BackendServer engine) {
            return limited.getOrDefault(engine.name().value(), 1) > 0;
        }

        @Override
        public void acquirePermit(BackendServer engine) {
            limited.computeIfPresent(engine.name().value(), (name, permitted) -> permitted - 1);
            lowest = Math.min(lowest, limited.getOrDefault(engine.name().value(), 0));
        }
    }

    /**
     * Guards against orders and reads of the state that come on top of the requests of callers at engines which limit
     * their requests.
     */
    @Test
    void enginesThatLimitTheirRequestsGetCallsOnlyWithPermits() {
        permits.limited.put("e1", 1);
        permits.limited.put("e2", 1);
        time.advance(HANDOVER_DELAY.plusMillis(1_200));
        placement.adjustWaiting("s", "c", "", Optional.empty(), 1);
        time.advance(Duration.ofSeconds(5));
        assertEquals(0, permits.lowest);
        assertEquals(List.of(), engineClient.sentOrders);
        permits.limited.put("e1", 2);
        time.advance(Duration.ofSeconds(2));
        assertEquals(0, permits.lowest);
        assertEquals(1, engineClient.sentOrders.size(), engineClient.sentOrders.toString());
    }

    /** Guards against reads of the state that take the permits of callers' requests. */
    @Test
    void enginesThatLimitTheirRequestsAreReadLessOften() {
        int permitted = 1_000;
        permits.limited.put("e1", permitted);
        time.advance(Duration.ofMillis(1_200));
        int reads = permitted - permits.limited.get("e1");
        assertTrue(reads >= 1 && reads <= 2, reads + " reads");
    }

    /** Guards against models whose only engine limits its requests, and against loads to such an engine. */
    @Test
    void modelOfLimitingEngineIsLoadedElsewhereWhileRequestsWait() {
        permits.limited.put("e1", 100);
        time.advance(HANDOVER_DELAY.plusMillis(1_200));
        placement.adjustWaiting("s", "a", "", Optional.empty(), 1);
        placement.adjustWaiting("s", "c", "", Optional.empty(), 1);
        time.advance(LOAD_TIME.multipliedBy(3));
        List<String> loaded = engineClient.sentOrders.stream()
                .filter(each -> each.order().isLoad())
                .map(each -> each.server() + each.order().model())
                .toList();
        assertTrue(loaded.contains("e2a") || loaded.contains("e2c"), loaded.toString());
        assertTrue(loaded.stream().noneMatch(each -> each.startsWith("e1")), loaded.toString());
    }

    @Test
    void newLeaderSendsNoOrdersDuringHandoverDelay() {
        time.advance(Duration.ofMillis(200));
        placement.adjustWaiting("s", "c", "", Optional.empty(), 1);
        time.advance(HANDOVER_DELAY.minusMillis(300));
        assertEquals(List.of(), engineClient.sentOrders);
        time.advance(Duration.ofMillis(500));
        assertEquals(1, engineClient.sentOrders.size(), engineClient.sentOrders.toString());
        EngineClient.EngineOrder order = engineClient.sentOrders.get(0).order();
        assertTrue(order.isLoad() && order.model().equals("c"), order.toString());
        assertEquals(term, order.fencingToken());
        assertEquals(0, order.expectedOrderCount());
    }

    @Test
    void formerLeaderSendsNoOrders() {
        time.advance(HANDOVER_DELAY.plusMillis(1_200));
        isLeader = false;
        placement.adjustWaiting("s", "c", "", Optional.empty(), 1);
        time.advance(Duration.ofSeconds(5));
        assertEquals(List.of(), engineClient.sentOrders);
    }

    @Test
    void reelectedLeaderObservesHandoverDelayAgain() {
        time.advance(HANDOVER_DELAY.plusMillis(1_200));
        term = 6;
        placement.adjustWaiting("s", "c", "", Optional.empty(), 1);
        time.advance(HANDOVER_DELAY.minusMillis(200));
        assertEquals(List.of(), engineClient.sentOrders);
        time.advance(Duration.ofMillis(700));
        assertEquals(6, engineClient.sentOrders.get(0).order().fencingToken());
    }

    @Test
    void availabilityOfLoadingModelIsEstimated() {
        time.advance(HANDOVER_DELAY.plusMillis(1_200));
        assertTrue(
                placement.estimateAvailability("s", "c", "", Optional.empty()).isEmpty());
        placement.adjustWaiting("s", "c", "", Optional.empty(), 1);
        time.advance(Duration.ofMillis(200));
        long millis = placement
                .estimateAvailability("s", "c", "", Optional.empty())
                .orElseThrow()
                .remainingMillis(time.nowNanos());
        assertTrue(
                millis > LOAD_TIME.toMillis() - 500 && millis < LOAD_TIME.toMillis() + 1_000,
                "estimated to be usable in " + millis + " ms");
        assertTrue(
                placement.estimateAvailability("s", "d", "", Optional.empty()).isEmpty());
    }

    /** Guards against waiting forever: an engine accepts a load and never completes it. */
    @Test
    void longOverdueLoadHasNoAvailabilityEstimate() {
        time.advance(HANDOVER_DELAY.plusMillis(1_200));
        placement.adjustWaiting("s", "c", "", Optional.empty(), 1);
        time.advance(LOAD_TIME.plusSeconds(1));
        assertTrue(
                placement.estimateAvailability("s", "c", "", Optional.empty()).isPresent());
        time.advance(Duration.ofSeconds(3));
        assertTrue(
                placement.estimateAvailability("s", "c", "", Optional.empty()).isEmpty());
    }

    /**
     * Guards against overloading the weight store: thirty unloaded models are requested at once, right after empty
     * engines have joined.
     */
    @Test
    void weightStoreLoadsStayWithinRateLimit() {
        for (int index = 0; index < FURTHER_MODELS; index++) {
            servers.add(BackendServerFixture.engine("f" + index, "a"));
        }
        time.advance(HANDOVER_DELAY.plusMillis(1_200));
        for (int index = 0; index < FURTHER_MODELS; index++) {
            placement.adjustWaiting("s", "m" + index, "", Optional.empty(), 1);
        }
        time.advance(Duration.ofSeconds(20));
        List<Long> loads = engineClient.sentOrders.stream()
                .filter(ordered -> ordered.order().isLoad())
                .map(SentOrder::atNanos)
                .toList();
        assertEquals(FURTHER_MODELS, loads.size());
        long windowNanos = Duration.ofSeconds(5).toNanos();
        for (long from : loads) {
            long loadsInWindow = loads.stream()
                    .filter(at -> at >= from && at <= from + windowNanos)
                    .count();
            assertTrue(loadsInWindow <= LOADS_PER_SECOND * 5 * 1.1 + 3, loadsInWindow + " loads in 5 s");
        }
    }

    /** Guards against streams that wait for an adapter which only engines of another software version get. */
    @Test
    void adapterIsLoadedOnEngineOfRequiredSoftwareVersion() {
        servers.clear();
        servers.add(BackendServerFixture.withSoftware(BackendServerFixture.engine("e1", "a"), "v1"));
        servers.add(BackendServerFixture.withSoftware(BackendServerFixture.engine("e2", "a"), "v2"));
        time.advance(HANDOVER_DELAY.plusMillis(1_200));
        placement.adjustWaiting("s", "a", "x", Optional.of("v2"), 1);
        placement.adjustWaiting("s", "a", "y", Optional.of("v1"), 1);
        time.advance(Duration.ofSeconds(1));
        List<String> loads = engineClient.sentOrders.stream()
                .filter(sent -> sent.order().isLoad())
                .map(sent -> sent.server() + ' ' + sent.order().adapter())
                .sorted()
                .toList();
        assertEquals(List.of("e1 y", "e2 x"), loads);
    }

    /** Pattern: a server leaves with a notice of 2 s. Nobody waits for its models yet. */
    @Test
    void lastCopiesOfLeavingServerAreLoadedElsewhereAtOnce() {
        time.advance(HANDOVER_DELAY.plusMillis(1_200));
        servers.set(0, servers.get(0).withState(BackendServerState.LEAVING));
        time.advance(Duration.ofMillis(300));
        List<String> loads = engineClient.sentOrders.stream()
                .map(sent -> sent.server() + ' ' + sent.order().model())
                .toList();
        assertEquals(List.of("e2 a"), loads);
    }

    /** Guards against needless loads while heartbeats are missing because of the control group. */
    @Test
    void suspectServerIsNotReplacedWithoutWaitingRequests() {
        time.advance(HANDOVER_DELAY.plusMillis(1_200));
        servers.set(0, servers.get(0).withState(BackendServerState.SUSPECT));
        time.advance(Duration.ofSeconds(2));
        assertEquals(List.of(), engineClient.sentOrders);
    }

    /**
     * A zone is drained while nobody waits for its models. Guards against orders to its engines, and against models
     * that are missing elsewhere until the first caller comes.
     */
    @Test
    void modelsOfDrainedZoneAreLoadedElsewhereAndItsEnginesGetNoOrders() {
        servers.set(0, BackendServerFixture.inZone(servers.get(0), "z"));
        time.advance(HANDOVER_DELAY.plusMillis(1_200));
        assertEquals(List.of(), engineClient.sentOrders);
        drainedZones.add(new AvailabilityZone("z"));
        time.advance(LOAD_TIME.multipliedBy(2));
        assertEquals(1, engineClient.sentOrders.size(), engineClient.sentOrders.toString());
        SentOrder sent = engineClient.sentOrders.get(0);
        assertEquals("e2", sent.server());
        assertTrue(sent.order().isLoad() && sent.order().model().equals("a"), sent.toString());
    }

    /** Accepts every order and never completes a load. */
    private final class LoadingEngineClient implements EngineClient {
        private final Set<String> loadingEngines = new java.util.HashSet<>();
        private final List<SentOrder> sentOrders = new ArrayList<>();

        @Override
        public CompletionStage<OrderReply> sendOrder(BackendServer server, EngineOrder order) {
            sentOrders.add(new SentOrder(time.nowNanos(), server.name().value(), order));
            loadingEngines.add(server.name().value());
            return CompletableFuture.completedFuture(OrderReply.ACCEPTED);
        }

        @Override
        public CompletionStage<Optional<EngineReport>> fetchState(BackendServer server) {
            String name = server.name().value();
            Map<String, Set<String>> loadedModels =
                    Map.of(server.models().get(0).model(), Set.of());
            ModelInventory models = new ModelInventory(
                    BackendServerFixture.INCARNATION, loadingEngines.contains(name) ? 1 : 0, loadedModels, Set.of());
            return CompletableFuture.completedFuture(
                    Optional.of(new EngineReport(models, loadingEngines.contains(name), 0)));
        }
    }
}
