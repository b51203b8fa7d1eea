package org.borageproxy.placement;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.borageproxy.coordination.ModelInventory;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.publication.EnginePool;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TrackedEngineTest {

    private static final long SECOND = 1_000_000_000L;
    private static final EnginePool POOL = new EnginePool(
            64, 100_000, 2, 210, 2, 2, Map.of("a", model("a"), "b", model("b"), "c", model("c"), "d", model("d")));

    private static EnginePool.EngineModel model(String name) {
        return new EnginePool.EngineModel(name, 65, 9, 2, 1, 1);
    }

    private static TrackedEngine book(String... models) {
        return new TrackedEngine(BackendServerFixture.engine("e", models), 0);
    }

    private static EngineClient.EngineReport state(long orders, boolean isBusy, String... models) {
        Map<String, Set<String>> held = new java.util.HashMap<>();
        for (String name : models) {
            held.put(name, Set.of());
        }
        return new EngineClient.EngineReport(
                new ModelInventory(BackendServerFixture.INCARNATION, orders, held, Set.of()), isBusy, 0);
    }

    private static Optional<LoadPlanner.Step> step(TrackedEngine book, String wanted) {
        Map<String, LoadPlanner.Demand> demand = Map.of(wanted, new LoadPlanner.Demand(5_000, 3));
        return new LoadPlanner(POOL, List.of(book), demand).nextStep(true);
    }

    @Test
    void engineThatCarriesOutAnOrderOfAnEarlierLeaderGetsNone() {
        TrackedEngine book = book("a", "b");
        book.applyReport(state(2, true, "a", "b"), SECOND);
        assertTrue(step(book, "d").isEmpty());
        book.applyReport(state(2, false, "a", "b", "c"), 2 * SECOND);
        assertTrue(step(book, "d").orElseThrow() instanceof LoadPlanner.Step.Unload);
    }

    @Test
    void countsThatAReportContradictsForLongAreCorrected() {
        TrackedEngine book = book("a", "b", "c");
        book.applyReport(state(3, false, "a", "b", "c"), SECOND);
        EngineClient.EngineOrder order = new EngineClient.EngineOrder(false, "a", "", 3, "me", 1);
        book.applyAcceptedOrder(order, false, Duration.ZERO, SECOND);
        book.applyReport(state(3, false, "a", "b", "c"), SECOND + SECOND / 10);
        assertEquals(4, book.orderCount());
        book.applyReport(state(3, false, "a", "b", "c"), 3 * SECOND);
        assertEquals(3, book.orderCount());
    }

    /**
     * Load pattern: demand moves to a model whose last place was given up while nobody asked for it. It comes back
     * within seconds from the disk of the engine that had it, though another engine has less work.
     */
    @Test
    void modelThatNoEngineHoldsComesBackWhereItsCopyIs() {
        TrackedEngine idle = book("a", "c");
        idle.applyReport(state(0, false, "a", "c"), SECOND);
        TrackedEngine busy = book("b", "d");
        busy.applyReport(state(0, false, "b", "d"), SECOND);
        busy.applyAcceptedOrder(
                new EngineClient.EngineOrder(false, "d", "", 0, "me", 1), true, Duration.ZERO, 2 * SECOND);
        busy.applyReport(state(1, false, "b"), 4 * SECOND);
        Map<String, LoadPlanner.Demand> demand =
                Map.of("b", new LoadPlanner.Demand(9_000, 0), "d", new LoadPlanner.Demand(2_000, 5));
        LoadPlanner.Step step = new LoadPlanner(POOL, List.of(idle, busy), demand)
                .nextStep(true)
                .orElseThrow();
        assertEquals(new LoadPlanner.Step.Load(busy, "d"), step);
    }

    /** Engines count orders at once but report what they hold with a lag, so that a new count proves nothing. */
    @Test
    void reportShortlyAfterAnOrderIsNotTrustedForWhatIsHeld() {
        TrackedEngine book = book("a", "b");
        book.applyReport(state(0, false, "a", "b"), SECOND);
        book.applyAcceptedOrder(
                new EngineClient.EngineOrder(true, "c", "", 0, "me", 1), false, Duration.ofSeconds(1), 2 * SECOND);
        book.applyReport(state(1, false, "a", "b"), 2 * SECOND + SECOND / 10);
        assertTrue(step(book, "d").isEmpty());
        book.applyReport(state(1, false, "a", "b", "c"), 4 * SECOND);
        assertTrue(step(book, "d").orElseThrow() instanceof LoadPlanner.Step.Unload);
    }

    @Test
    void roomIsMadeBeforeALoadAndNeverOverfilled() {
        TrackedEngine book = book("a", "b", "c");
        book.applyReport(state(0, false, "a", "b", "c"), SECOND);
        LoadPlanner.Step.Unload unload =
                (LoadPlanner.Step.Unload) step(book, "d").orElseThrow();
        book.setSuccessorModel(unload.successor());
        book.applyAcceptedOrder(
                new EngineClient.EngineOrder(false, unload.model(), "", 0, "me", 1), false, Duration.ZERO, SECOND);
        assertEquals(new LoadPlanner.Step.Load(book, "d"), step(book, "d").orElseThrow());
        book.applyAcceptedOrder(
                new EngineClient.EngineOrder(true, "d", "", 1, "me", 1), false, Duration.ofSeconds(9), SECOND);
        assertTrue(step(book, "d").isEmpty());
        assertFalse(book.acceptsOrders());
    }

    @Test
    void modelThatTheEngineDeniesIsNoLongerCounted() {
        TrackedEngine book = book("a", "b");
        book.applyReport(state(0, false, "a", "b"), SECOND);
        assertTrue(book.markAbsent("a", ""));
        assertFalse(book.markAbsent("a", ""));
        assertFalse(book.usableModels().contains("a", ""));
        assertTrue(step(book, "a").orElseThrow() instanceof LoadPlanner.Step.Load);
    }

    @Test
    void adaptersThatTheEngineStillLetsGoKeepTheirPlaces() {
        TrackedEngine book = book("a");
        book.applyReport(state(0, false, "a"), SECOND);
        book.applyAcceptedOrder(new EngineClient.EngineOrder(true, "a", "x", 0, "me", 1), false, Duration.ZERO, 0);
        assertTrue(book.completeAdapterLoads(SECOND));
        book.applyAcceptedOrder(
                new EngineClient.EngineOrder(false, "a", "x", 1, "me", 1), false, Duration.ZERO, SECOND);
        assertEquals(1, book.occupiedAdapterSlots());
        assertFalse(book.usableModels().contains("a", "x"));
    }
}
