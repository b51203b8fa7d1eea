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

    private static final long SECOND = 1_000_000_000L;

    /** Load pattern: two hot models, each with two engines; four models rest with one engine each. */
    private final List<TrackedEngine> engines = List.of(
            book("e0", "hot1", "cold1", "hot2"),
            book("e1", "hot1", "cold2", "hot2"),
            book("e2", "cold3", "was", "was2"),
            book("e3", "cold4", "was", "was2"),
            book("e4", "cold5", "cold6", "cold7"),
            book("e5", "cold8", "cold9", "was"));

    private static EnginePool pool() {
        Map<String, EnginePool.EngineModel> models = new HashMap<>();
        List<String> names = new ArrayList<>(List.of("hot1", "hot2", "was", "was2", "new"));
        for (int index = 1; index <= 9; index++) {
            names.add("cold" + index);
        }
        names.forEach(name -> models.put(name, new EnginePool.EngineModel(name, 65, 9, 2, 0.8, 1)));
        return new EnginePool(64, 100_000, 2, 210, 2, 2, models);
    }

    private static TrackedEngine book(String name, String... models) {
        TrackedEngine book = new TrackedEngine(BackendServerFixture.engine(name, models), 0);
        Map<String, Set<String>> held = new HashMap<>();
        for (String model : models) {
            held.put(model, Set.of());
        }
        book.applyReport(
                new EngineClient.EngineReport(
                        new ModelInventory(BackendServerFixture.INCARNATION, 0, held, Set.of()), false, 0),
                SECOND);
        return book;
    }

    private static LoadPlanner.Demand demand(double tokens, int waiting) {
        return new LoadPlanner.Demand(tokens, waiting);
    }

    @Test
    void hotModelTakesPlacesOfModelsThatFellSilentAndHaveOthers() {
        Map<String, LoadPlanner.Demand> demands = Map.of("hot1", demand(14_000, 0), "hot2", demand(9_000, 0));
        LoadPlanner.Step step =
                new LoadPlanner(pool(), engines, demands).nextStep(true).orElseThrow();
        LoadPlanner.Step.Unload unload = (LoadPlanner.Step.Unload) step;
        assertTrue(Set.of("was", "was2").contains(unload.model()), unload.toString());
    }

    @Test
    void moderateCrowdingTakesTheLastPlaceOfNoModel() {
        List<TrackedEngine> alone = List.of(engines.get(0), engines.get(1), engines.get(4));
        Map<String, LoadPlanner.Demand> demands = Map.of("hot1", demand(7_000, 0), "hot2", demand(2_000, 0));
        assertEquals(
                0,
                new LoadPlanner(pool(), alone, demands).nextStep(true).stream().count());
    }

    @Test
    void modelThatCallersWaitForTakesAPlaceThatIsNotTheLast() {
        Map<String, LoadPlanner.Demand> demands =
                Map.of("hot1", demand(7_000, 0), "hot2", demand(7_000, 0), "new", demand(100, 1));
        LoadPlanner.Step step =
                new LoadPlanner(pool(), engines, demands).nextStep(true).orElseThrow();
        LoadPlanner.Step.Unload unload = (LoadPlanner.Step.Unload) step;
        assertEquals("new", unload.successor());
        assertTrue(Set.of("was", "was2").contains(unload.model()), unload.toString());
    }
}
