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

    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final EnginePool POOL = new EnginePool(
            64, 100_000, 2, 210, 2, 2, Map.of("a", model("a"), "b", model("b"), "c", model("c"), "d", model("d")));

    private static EnginePool.EngineModel model(String name) {
        return new EnginePool.EngineModel(name, 65, 9, 2, 1, 1);
    }

    private static TrackedEngine engine(String... models) {
        return new TrackedEngine(BackendServerFixture.engine("e", models), 0);
    }

    private static EngineClient.EngineReport report(long orderCount, boolean isBusy, String... models) {
        Map<String, Set<String>> loadedModels = new java.util.HashMap<>();
        for (String name : models) {
            loadedModels.put(name, Set.of());
        }
        return new EngineClient.EngineReport(
                new ModelInventory(BackendServerFixture.INCARNATION, orderCount, loadedModels, Set.of()), isBusy, 0);
    }

    private static Optional<LoadPlanner.Step> nextStep(TrackedEngine engine, String model) {
        Map<String, LoadPlanner.Demand> demand = Map.of(model, new LoadPlanner.Demand(5_000, 3));
        return new LoadPlanner(POOL, List.of(engine), demand).nextStep(true);
    }

    @Test
    void busyEngineGetsNoOrderUntilItReportsCompletion() {
        TrackedEngine engine = engine("a", "b");
        engine.applyReport(report(2, true, "a", "b"), SECOND_NANOS);
        assertTrue(nextStep(engine, "d").isEmpty());
        engine.applyReport(report(2, false, "a", "b", "c"), 2 * SECOND_NANOS);
        assertTrue(nextStep(engine, "d").orElseThrow() instanceof LoadPlanner.Step.Unload);
    }

    @Test
    void orderCountIsCorrectedWhenReportsKeepContradictingIt() {
        TrackedEngine engine = engine("a", "b", "c");
        engine.applyReport(report(3, false, "a", "b", "c"), SECOND_NANOS);
        EngineClient.EngineOrder order = new EngineClient.EngineOrder(false, "a", "", 3, "me", 1);
        engine.applyAcceptedOrder(order, false, Duration.ZERO, SECOND_NANOS);
        engine.applyReport(report(3, false, "a", "b", "c"), SECOND_NANOS + SECOND_NANOS / 10);
        assertEquals(4, engine.orderCount());
        engine.applyReport(report(3, false, "a", "b", "c"), 3 * SECOND_NANOS);
        assertEquals(3, engine.orderCount());
    }

    /**
     * Guards against a slow reload: demand returns to a model that was unloaded while it had none. The engine that
     * still has its weights on disk must load it, though another engine has less work.
     */
    @Test
    void modelWithoutReplicaIsReloadedOnEngineWithItsWeightsOnDisk() {
        TrackedEngine idle = engine("a", "c");
        idle.applyReport(report(0, false, "a", "c"), SECOND_NANOS);
        TrackedEngine busy = engine("b", "d");
        busy.applyReport(report(0, false, "b", "d"), SECOND_NANOS);
        busy.applyAcceptedOrder(
                new EngineClient.EngineOrder(false, "d", "", 0, "me", 1), true, Duration.ZERO, 2 * SECOND_NANOS);
        busy.applyReport(report(1, false, "b"), 4 * SECOND_NANOS);
        Map<String, LoadPlanner.Demand> demand =
                Map.of("b", new LoadPlanner.Demand(9_000, 0), "d", new LoadPlanner.Demand(2_000, 5));
        LoadPlanner.Step step = new LoadPlanner(POOL, List.of(idle, busy), demand)
                .nextStep(true)
                .orElseThrow();
        assertEquals(new LoadPlanner.Step.Load(busy, "d"), step);
    }

    /**
     * Engines count an order at once but report its effect with a lag, so that a new order count doesn't prove that the
     * reported models are current.
     */
    @Test
    void modelsReportedShortlyAfterOrderAreNotTrusted() {
        TrackedEngine engine = engine("a", "b");
        engine.applyReport(report(0, false, "a", "b"), SECOND_NANOS);
        engine.applyAcceptedOrder(
                new EngineClient.EngineOrder(true, "c", "", 0, "me", 1),
                false,
                Duration.ofSeconds(1),
                2 * SECOND_NANOS);
        engine.applyReport(report(1, false, "a", "b"), 2 * SECOND_NANOS + SECOND_NANOS / 10);
        assertTrue(nextStep(engine, "d").isEmpty());
        engine.applyReport(report(1, false, "a", "b", "c"), 4 * SECOND_NANOS);
        assertTrue(nextStep(engine, "d").orElseThrow() instanceof LoadPlanner.Step.Unload);
    }

    @Test
    void fullEngineUnloadsThenLoadsThenAcceptsNoFurtherOrders() {
        TrackedEngine engine = engine("a", "b", "c");
        engine.applyReport(report(0, false, "a", "b", "c"), SECOND_NANOS);
        LoadPlanner.Step.Unload unload =
                (LoadPlanner.Step.Unload) nextStep(engine, "d").orElseThrow();
        engine.setSuccessorModel(unload.successor());
        engine.applyAcceptedOrder(
                new EngineClient.EngineOrder(false, unload.model(), "", 0, "me", 1),
                false,
                Duration.ZERO,
                SECOND_NANOS);
        assertEquals(
                new LoadPlanner.Step.Load(engine, "d"), nextStep(engine, "d").orElseThrow());
        engine.applyAcceptedOrder(
                new EngineClient.EngineOrder(true, "d", "", 1, "me", 1), false, Duration.ofSeconds(9), SECOND_NANOS);
        assertTrue(nextStep(engine, "d").isEmpty());
        assertFalse(engine.acceptsOrders());
    }

    @Test
    void modelMarkedAbsentIsUnusableAndLoadedAgain() {
        TrackedEngine engine = engine("a", "b");
        engine.applyReport(report(0, false, "a", "b"), SECOND_NANOS);
        assertTrue(engine.markAbsent("a", ""));
        assertFalse(engine.markAbsent("a", ""));
        assertFalse(engine.usableModels().contains("a", ""));
        assertTrue(nextStep(engine, "a").orElseThrow() instanceof LoadPlanner.Step.Load);
    }

    /**
     * Pattern: a model is unloaded while one of its adapters is still being loaded. Guards against a model that counts
     * as loaded though the engine has unloaded it, so that another one is unloaded as well.
     */
    @Test
    void adapterThatWasBeingLoadedDoesNotBringBackItsUnloadedModel() {
        TrackedEngine engine = engine("a", "b", "c");
        engine.applyReport(report(0, false, "a", "b", "c"), SECOND_NANOS);
        engine.applyAcceptedOrder(
                new EngineClient.EngineOrder(true, "a", "x", 0, "me", 1), false, Duration.ZERO, SECOND_NANOS);
        engine.setSuccessorModel("d");
        engine.applyAcceptedOrder(
                new EngineClient.EngineOrder(false, "a", "", 1, "me", 1), false, Duration.ZERO, SECOND_NANOS);
        engine.completeAdapterLoads(2 * SECOND_NANOS);
        assertFalse(engine.usableModels().contains("a", ""));
        assertEquals(
                new LoadPlanner.Step.Load(engine, "d"), nextStep(engine, "d").orElseThrow());
    }

    /**
     * Pattern: one unload in six waits for running requests for seconds. Guards against loads that all come late, since
     * the learnt time rises with each of these unloads.
     */
    @Test
    void unloadThatWaitsForRequestsDoesNotDelayLaterLoads() {
        UnloadTimes times = new UnloadTimes();
        for (int unload = 0; unload < 300; unload++) {
            int rejections = unload % 6 == 0 ? 5 : times.expected().toMillis() < 60 ? 1 : 0;
            TrackedEngine engine = engine("a", "b", "c");
            engine.applyReport(report(0, false, "a", "b", "c"), SECOND_NANOS);
            engine.setSuccessorModel("d");
            engine.applyAcceptedOrder(
                    new EngineClient.EngineOrder(false, "a", "", 0, "me", 1), false, Duration.ZERO, SECOND_NANOS);
            EngineClient.EngineOrder load = new EngineClient.EngineOrder(true, "d", "", 1, "me", 1);
            for (int rejection = 0; rejection < rejections; rejection++) {
                engine.recordReply(load, EngineClient.OrderReply.CONFLICT).ifPresent(times::record);
            }
            engine.recordReply(load, EngineClient.OrderReply.ACCEPTED).ifPresent(times::record);
        }
        long millis = times.expected().toMillis();
        assertTrue(millis >= 40 && millis <= 100, "loads follow after " + millis + " ms");
    }

    @Test
    void unloadingAdapterIsUnusableButKeepsItsSlot() {
        TrackedEngine engine = engine("a");
        engine.applyReport(report(0, false, "a"), SECOND_NANOS);
        engine.applyAcceptedOrder(new EngineClient.EngineOrder(true, "a", "x", 0, "me", 1), false, Duration.ZERO, 0);
        assertTrue(engine.completeAdapterLoads(SECOND_NANOS));
        engine.applyAcceptedOrder(
                new EngineClient.EngineOrder(false, "a", "x", 1, "me", 1), false, Duration.ZERO, SECOND_NANOS);
        assertEquals(1, engine.occupiedAdapterSlots());
        assertFalse(engine.usableModels().contains("a", "x"));
    }
}
