package org.borageproxy.placement;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.borageproxy.coordination.HeldModels;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.publication.EnginePool;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class EngineBookTest {

    private static final long SECOND = 1_000_000_000L;
    private static final EnginePool POOL = new EnginePool(
            64, 100_000, 2, 210, 2, 2, Map.of("a", model("a"), "b", model("b"), "c", model("c"), "d", model("d")));

    private static EnginePool.EngineModel model(String name) {
        return new EnginePool.EngineModel(name, 65, 9, 2, 1, 1);
    }

    private static EngineBook book(String... models) {
        return new EngineBook(BackendServerFixture.engine("e", models), 0);
    }

    private static EngineClient.State state(long orders, boolean isBusy, String... models) {
        Map<String, Set<String>> held = new java.util.HashMap<>();
        for (String name : models) {
            held.put(name, Set.of());
        }
        return new EngineClient.State(
                new HeldModels(BackendServerFixture.INCARNATION, orders, held, Set.of()), isBusy, 0);
    }

    private static Optional<CopyPlan.Step> step(EngineBook book, String wanted) {
        Map<String, CopyPlan.Demand> demand = Map.of(wanted, new CopyPlan.Demand(5_000, 3));
        return new CopyPlan(POOL, List.of(book), demand).next(true);
    }

    @Test
    void engineThatCarriesOutAnOrderOfAnEarlierLeaderGetsNone() {
        EngineBook book = book("a", "b");
        book.reported(state(2, true, "a", "b"), SECOND);
        assertTrue(step(book, "d").isEmpty());
        book.reported(state(2, false, "a", "b", "c"), 2 * SECOND);
        assertTrue(step(book, "d").orElseThrow() instanceof CopyPlan.Step.Unload);
    }

    @Test
    void countsThatAReportContradictsForLongAreCorrected() {
        EngineBook book = book("a", "b", "c");
        book.reported(state(3, false, "a", "b", "c"), SECOND);
        EngineClient.EngineOrder order = new EngineClient.EngineOrder(false, "a", "", 3, "me", 1);
        book.accepted(order, false, Duration.ZERO, SECOND);
        book.reported(state(3, false, "a", "b", "c"), SECOND + SECOND / 10);
        assertEquals(4, book.orders());
        book.reported(state(3, false, "a", "b", "c"), 3 * SECOND);
        assertEquals(3, book.orders());
    }

    /**
     * Load pattern: demand moves to a model whose last place was given up while nobody asked for it. It comes back
     * within seconds from the disk of the engine that had it, though another engine has less work.
     */
    @Test
    void modelThatNoEngineHoldsComesBackWhereItsCopyIs() {
        EngineBook idle = book("a", "c");
        idle.reported(state(0, false, "a", "c"), SECOND);
        EngineBook busy = book("b", "d");
        busy.reported(state(0, false, "b", "d"), SECOND);
        busy.accepted(new EngineClient.EngineOrder(false, "d", "", 0, "me", 1), true, Duration.ZERO, 2 * SECOND);
        busy.reported(state(1, false, "b"), 4 * SECOND);
        Map<String, CopyPlan.Demand> demand =
                Map.of("b", new CopyPlan.Demand(9_000, 0), "d", new CopyPlan.Demand(2_000, 5));
        CopyPlan.Step step =
                new CopyPlan(POOL, List.of(idle, busy), demand).next(true).orElseThrow();
        assertEquals(new CopyPlan.Step.Load(busy, "d"), step);
    }

    /** Engines count orders at once but report what they hold with a lag, so that a new count proves nothing. */
    @Test
    void reportShortlyAfterAnOrderIsNotTrustedForWhatIsHeld() {
        EngineBook book = book("a", "b");
        book.reported(state(0, false, "a", "b"), SECOND);
        book.accepted(
                new EngineClient.EngineOrder(true, "c", "", 0, "me", 1), false, Duration.ofSeconds(1), 2 * SECOND);
        book.reported(state(1, false, "a", "b"), 2 * SECOND + SECOND / 10);
        assertTrue(step(book, "d").isEmpty());
        book.reported(state(1, false, "a", "b", "c"), 4 * SECOND);
        assertTrue(step(book, "d").orElseThrow() instanceof CopyPlan.Step.Unload);
    }

    @Test
    void roomIsMadeBeforeALoadAndNeverOverfilled() {
        EngineBook book = book("a", "b", "c");
        book.reported(state(0, false, "a", "b", "c"), SECOND);
        CopyPlan.Step.Unload unload = (CopyPlan.Step.Unload) step(book, "d").orElseThrow();
        book.awaits(unload.successor());
        book.accepted(
                new EngineClient.EngineOrder(false, unload.model(), "", 0, "me", 1), false, Duration.ZERO, SECOND);
        assertEquals(new CopyPlan.Step.Load(book, "d"), step(book, "d").orElseThrow());
        book.accepted(new EngineClient.EngineOrder(true, "d", "", 1, "me", 1), false, Duration.ofSeconds(9), SECOND);
        assertTrue(step(book, "d").isEmpty());
        assertFalse(book.takesOrders());
    }

    @Test
    void modelThatTheEngineDeniesIsNoLongerCounted() {
        EngineBook book = book("a", "b");
        book.reported(state(0, false, "a", "b"), SECOND);
        assertTrue(book.absent("a", ""));
        assertFalse(book.absent("a", ""));
        assertFalse(book.usable().holds("a", ""));
        assertTrue(step(book, "a").orElseThrow() instanceof CopyPlan.Step.Load);
    }

    @Test
    void adaptersThatTheEngineStillLetsGoKeepTheirPlaces() {
        EngineBook book = book("a");
        book.reported(state(0, false, "a"), SECOND);
        book.accepted(new EngineClient.EngineOrder(true, "a", "x", 0, "me", 1), false, Duration.ZERO, 0);
        assertTrue(book.settle(SECOND));
        book.accepted(new EngineClient.EngineOrder(false, "a", "x", 1, "me", 1), false, Duration.ZERO, SECOND);
        assertEquals(1, book.adapterCount());
        assertFalse(book.usable().holds("a", "x"));
    }
}
