package org.borageproxy.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.borageproxy.coordination.ModelInventory;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.publication.EnginePool;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LoadPlannerTest {

    private static final long SECOND_NANOS = 1_000_000_000L;

    /**
     * {@code hot1} and {@code hot2} have two replicas each, {@code was} and {@code was2} have several replicas but no
     * demand, and {@code cold1} to {@code cold9} have one replica each.
     */
    private final List<TrackedEngine> engines = List.of(
            engine("e0", "hot1", "cold1", "hot2"),
            engine("e1", "hot1", "cold2", "hot2"),
            engine("e2", "cold3", "was", "was2"),
            engine("e3", "cold4", "was", "was2"),
            engine("e4", "cold5", "cold6", "cold7"),
            engine("e5", "cold8", "cold9", "was"));

    private static EnginePool pool() {
        Map<String, EnginePool.EngineModel> models = new HashMap<>();
        List<String> names = new ArrayList<>(List.of("hot1", "hot2", "was", "was2", "new"));
        for (int index = 1; index <= 9; index++) {
            names.add("cold" + index);
        }
        names.forEach(name -> models.put(name, new EnginePool.EngineModel(name, 65, 9, 2, 0.8, 1)));
        return new EnginePool(64, 100_000, 2, 210, 2, 2, models);
    }

    private static TrackedEngine engine(String name, String... models) {
        TrackedEngine engine = new TrackedEngine(BackendServerFixture.engine(name, models), 0);
        Map<String, Set<String>> loadedModels = new HashMap<>();
        for (String model : models) {
            loadedModels.put(model, Set.of());
        }
        engine.applyReport(
                new EngineClient.EngineReport(
                        new ModelInventory(BackendServerFixture.INCARNATION, 0, loadedModels, Set.of()), false, 0),
                SECOND_NANOS);
        return engine;
    }

    private static LoadPlanner.Demand demand(double tokens, int waitingRequests) {
        return new LoadPlanner.Demand(tokens, waitingRequests);
    }

    @Test
    void hotModelsUnloadIdleModelThatHasOtherReplicas() {
        Map<String, LoadPlanner.Demand> demands = Map.of("hot1", demand(14_000, 0), "hot2", demand(9_000, 0));
        LoadPlanner.Step step =
                new LoadPlanner(pool(), engines, demands).nextStep(true).orElseThrow();
        LoadPlanner.Step.Unload unload = (LoadPlanner.Step.Unload) step;
        assertTrue(Set.of("was", "was2").contains(unload.model()), unload.toString());
    }

    @Test
    void moderateOverloadUnloadsNoLastReplica() {
        List<TrackedEngine> sparseEngines = List.of(engines.get(0), engines.get(1), engines.get(4));
        Map<String, LoadPlanner.Demand> demands = Map.of("hot1", demand(7_000, 0), "hot2", demand(2_000, 0));
        assertEquals(
                0,
                new LoadPlanner(pool(), sparseEngines, demands)
                        .nextStep(true).stream().count());
    }

    @Test
    void modelWithWaitingRequestsUnloadsNoLastReplica() {
        Map<String, LoadPlanner.Demand> demands =
                Map.of("hot1", demand(7_000, 0), "hot2", demand(7_000, 0), "new", demand(100, 1));
        LoadPlanner.Step step =
                new LoadPlanner(pool(), engines, demands).nextStep(true).orElseThrow();
        LoadPlanner.Step.Unload unload = (LoadPlanner.Step.Unload) step;
        assertEquals("new", unload.successor());
        assertTrue(Set.of("was", "was2").contains(unload.model()), unload.toString());
    }

    /** Guards against a model whose only copies are drained and that is loaded only once its callers wait. */
    @Test
    void displacedModelGetsCopyBeforeAnyRequestWaits() {
        LoadPlanner.Step step = new LoadPlanner(pool(), engines, Map.of("new", demand(100, 0)), Set.of("new"))
                .nextStep(true)
                .orElseThrow();
        LoadPlanner.Step.Unload unload = (LoadPlanner.Step.Unload) step;
        assertEquals("new", unload.successor());
        assertTrue(Set.of("was", "was2", "hot1", "hot2").contains(unload.model()), unload.toString());
    }

    /** Guards against drained models that push out the last copies of others, whose callers would wait next. */
    @Test
    void displacedModelUnloadsNoLastReplica() {
        List<TrackedEngine> full = List.of(engines.get(4));
        assertEquals(
                0,
                new LoadPlanner(pool(), full, Map.of("new", demand(100, 0)), Set.of("new"))
                        .nextStep(true).stream().count());
    }

    /** Guards against loads beyond the rate of the weight store when a whole zone is drained. */
    @Test
    void displacedModelWaitsForTheLoadBudget() {
        assertEquals(
                0,
                new LoadPlanner(pool(), engines, Map.of("new", demand(100, 0)), Set.of("new"))
                        .nextStep(false).stream().count());
    }
}
