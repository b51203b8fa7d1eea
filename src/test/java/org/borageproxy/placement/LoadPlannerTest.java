package org.borageproxy.placement;

import java.time.Duration;
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

    private static final LoadPlanner.Demand LOST = new LoadPlanner.Demand(100, 0, LoadPlanner.Demand.NOT_WAITING, true);

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

    private static LoadPlanner.Demand absent(double tokens, int waitingRequests, long sinceNanos) {
        return new LoadPlanner.Demand(tokens, waitingRequests, sinceNanos, false);
    }

    private static LoadPlanner.Step.Load firstLoad(
            List<TrackedEngine> planned, Map<String, LoadPlanner.Demand> demands) {
        return (LoadPlanner.Step.Load)
                new LoadPlanner(pool(), planned, demands).nextStep(true).orElseThrow();
    }

    /** Pattern: empty servers are added at the peak. */
    @Test
    void emptyEngineGetsModelWhoseRequestsHaveWaitedLongest() {
        List<TrackedEngine> joined = new ArrayList<>(engines);
        joined.add(engine("empty"));
        Map<String, LoadPlanner.Demand> demands = Map.of(
                "hot1", demand(14_000, 0), "new", absent(100, 1, SECOND_NANOS), "gone", absent(900, 9, SECOND_NANOS));
        assertEquals("new", firstLoad(joined, demands).model());
        assertEquals(
                "empty", firstLoad(joined, demands).engine().server().name().value());
    }

    /** Guards against an empty engine that stays empty because no model exceeds the mean work by much. */
    @Test
    void emptyEngineTakesOverWorkOfBusiestModel() {
        List<TrackedEngine> joined = new ArrayList<>(engines);
        joined.add(engine("empty"));
        Map<String, LoadPlanner.Demand> demands = new HashMap<>();
        for (String model : List.of("cold1", "cold2", "cold3", "cold4", "cold5", "cold8")) {
            demands.put(model, demand(9_000, 0));
        }
        demands.put("cold3", demand(9_500, 0));
        LoadPlanner.Step.Load load = firstLoad(joined, demands);
        assertEquals("cold3", load.model());
        assertEquals("empty", load.engine().server().name().value());
    }

    /** Pattern: a server leaves with a notice of 2 s; its last copies are needed again before requests wait. */
    @Test
    void lostCopyIsReplacedInPlaceOfSurplusCopyOnly() {
        Map<String, LoadPlanner.Demand> demands =
                Map.of("new", new LoadPlanner.Demand(200, 0, LoadPlanner.Demand.NOT_WAITING, true));
        LoadPlanner.Step.Unload unload = (LoadPlanner.Step.Unload)
                new LoadPlanner(pool(), engines, demands).nextStep(true).orElseThrow();
        assertTrue(Set.of("was", "was2", "hot1", "hot2").contains(unload.model()), unload.toString());
        List<TrackedEngine> lastCopies = List.of(engines.get(4));
        assertTrue(new LoadPlanner(pool(), lastCopies, demands).nextStep(true).isEmpty());
    }

    /** Guards against models that do not fit together and displace one another by turns. */
    @Test
    void lastCopyIsNotUnloadedForModelInLessDemand() {
        List<TrackedEngine> lastCopies = List.of(engines.get(4));
        Map<String, LoadPlanner.Demand> demands = new HashMap<>();
        for (String model : List.of("cold5", "cold6", "cold7")) {
            demands.put(model, demand(500, 0));
        }
        demands.put("new", absent(100, 1, 0));
        assertTrue(new LoadPlanner(pool(), lastCopies, demands).nextStep(true).isEmpty());
        demands.put("cold6", demand(0, 0));
        LoadPlanner.Step.Unload unload = (LoadPlanner.Step.Unload)
                new LoadPlanner(pool(), lastCopies, demands).nextStep(true).orElseThrow();
        assertEquals("cold6", unload.model());
    }

    /**
     * Pattern: a model with little capacity is loaded a second time while requests still wait for the first copy.
     * Guards against the loss of the last copy of a model that is in use.
     */
    @Test
    void modelThatIsBeingLoadedUnloadsNoLastReplicaForAnotherCopy() {
        TrackedEngine loading = engine("loading", "hot1");
        loading.applyAcceptedOrder(
                new EngineClient.EngineOrder(true, "new", "", 0, "", 0), false, Duration.ofSeconds(5), SECOND_NANOS);
        List<TrackedEngine> planned = List.of(engine("e0", "cold1", "cold2", "cold3"), loading);
        Map<String, LoadPlanner.Demand> demands =
                Map.of("cold1", demand(100, 0), "cold2", demand(100, 0), "new", demand(30_000, 5));
        assertEquals(
                0,
                new LoadPlanner(pool(), planned, demands)
                        .nextStep(true).stream().count());
    }

    /**
     * Pattern: requests wait for two models at once. Guards against the loss of all copies of a third one, each of
     * which counted as surplus because the order to unload the other was not answered yet.
     */
    @Test
    void copiesOfOneModelAreNotUnloadedForTwoOthersAtOnce() {
        List<TrackedEngine> planned =
                List.of(engine("e0", "hot1", "cold1", "cold2"), engine("e1", "hot1", "cold3", "cold4"));
        Map<String, LoadPlanner.Demand> demands = new HashMap<>();
        for (int index = 1; index <= 4; index++) {
            demands.put("cold" + index, demand(9_000, 0));
        }
        demands.put("hot1", demand(5_000, 0));
        demands.put("was", demand(4_000, 5));
        demands.put("new", demand(4_000, 4));
        LoadPlanner.Step.Unload first = (LoadPlanner.Step.Unload)
                new LoadPlanner(pool(), planned, demands).nextStep(true).orElseThrow();
        assertEquals("hot1", first.model());
        first.engine().setSuccessorModel(first.successor());
        first.engine().beginOrder(new EngineClient.EngineOrder(false, "hot1", "", 0, "", 0));
        assertEquals(
                0,
                new LoadPlanner(pool(), planned, demands)
                        .nextStep(true).stream().count());
    }

    /** Guards against a further copy of a model at the cost of the last copy of another one. */
    @Test
    void overloadUnloadsNoLastReplica() {
        List<TrackedEngine> planned = List.of(engines.get(0), engines.get(4));
        Map<String, LoadPlanner.Demand> demands = Map.of("hot1", demand(40_000, 0));
        assertTrue(new LoadPlanner(pool(), planned, demands).nextStep(true).isEmpty());
    }

    /** Pattern: servers of different speed. A further copy goes where it gives the most room. */
    @Test
    void furtherCopyGoesToFastEngine() {
        List<TrackedEngine> joined = new ArrayList<>(engines);
        joined.add(engine("slow"));
        joined.add(engine("fast"));
        Map<String, LoadPlanner.Demand> demands = Map.of("hot1", demand(14_000, 0));
        LoadPlanner.Step.Load load = (LoadPlanner.Step.Load) new LoadPlanner(
                        pool(), joined, demands, server -> server.name().value().equals("fast") ? 1.7 : 0.7)
                .nextStep(true)
                .orElseThrow();
        assertEquals("fast", load.engine().server().name().value());
    }

    /** Guards against a model whose only copies are drained and that is loaded only once its callers wait. */
    @Test
    void displacedModelGetsCopyBeforeAnyRequestWaits() {
        LoadPlanner.Step step = new LoadPlanner(pool(), engines, Map.of("new", LOST))
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
                new LoadPlanner(pool(), full, Map.of("new", LOST))
                        .nextStep(true).stream().count());
    }

    /** Guards against loads beyond the rate of the weight store when a whole zone is drained. */
    @Test
    void displacedModelWaitsForTheLoadBudget() {
        assertEquals(
                0,
                new LoadPlanner(pool(), engines, Map.of("new", LOST))
                        .nextStep(false).stream().count());
    }
}
