package org.borageproxy.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.borageproxy.membership.BackendServerName;
import org.borageproxy.tree.Adapter;
import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.Model;
import org.borageproxy.tree.ModelVersion;
import org.borageproxy.vm.AvailabilityZone;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests single plans. */
class PlannerTest {

    private static final ModelVersionId LLAMA = new ModelVersionId("llama", "1");
    private static final ModelVersionId GEMMA = new ModelVersionId("gemma", "1");

    private final Map<String, Model> models = new TreeMap<>();
    private final Map<String, Adapter> adapters = new TreeMap<>();
    private final List<AcceleratorView> accelerators = new ArrayList<>();
    private DemandRates demand = DemandRates.NONE;
    private int modelLoads = 100;

    @Test
    void unreachableModelIsLoadedFirstThenSecondZoneCopyWithoutUnloads() {
        addModel("llama", 10);
        addModel("gemma", 10);
        addAccelerator("one", "a", 40, serving(LLAMA));
        addAccelerator("two", "b", 40);
        List<PlannedOrder> plan = plan();
        assertEquals(GEMMA, plan.get(0).modelVersion());
        assertEquals(PlannedOrder.Reason.UNREACHABLE, plan.get(0).reason());
        assertTrue(plan.stream()
                .anyMatch(order -> order.modelVersion().equals(LLAMA)
                        && order.reason() == PlannedOrder.Reason.SECOND_ZONE
                        && order.server().value().equals("two")));
        assertEquals(
                List.of(),
                plan.stream()
                        .filter(order -> order.action() == Intent.Action.UNLOAD)
                        .toList());
    }

    @Test
    void limitedLoadBudgetIsSpentOnUnreachableModel() {
        addModel("llama", 10);
        addModel("gemma", 10);
        modelLoads = 1;
        addAccelerator("one", "a", 40, serving(LLAMA));
        addAccelerator("two", "b", 40);
        assertEquals(
                List.of(GEMMA), plan().stream().map(PlannedOrder::modelVersion).toList());
    }

    @Test
    void redundantCopyIsUnloadedToFreeMemoryForUnreachableModel() {
        addModel("llama", 10);
        addModel("gemma", 10);
        addAccelerator("one", "a", 0, serving(LLAMA));
        addAccelerator("two", "b", 0, serving(LLAMA));
        List<PlannedOrder> plan = plan();
        assertEquals(1, plan.size());
        assertEquals(Intent.Action.UNLOAD, plan.get(0).action());
        assertEquals(LLAMA, plan.get(0).modelVersion());
    }

    @Test
    void oneRedundantCopyIsUnloadedPerUnreachableModel() {
        addModel("llama", 10);
        addModel("gemma", 10);
        addModel("other", 10);
        addAccelerator("one", "a", 0, serving(LLAMA));
        addAccelerator("two", "b", 0, serving(LLAMA));
        addAccelerator("three", "c", 0, serving(LLAMA));
        assertEquals(List.of(Intent.Action.UNLOAD, Intent.Action.UNLOAD), actions());
    }

    @Test
    void lastCopyIsLoadedElsewhereBeforeItsMemoryIsReused() {
        addModel("llama", 10);
        addModel("gemma", 20);
        addAccelerator("one", "a", 15, serving(LLAMA));
        addAccelerator("two", "b", 12);
        List<PlannedOrder> plan = plan();
        assertEquals(1, plan.size());
        assertEquals(Intent.Action.LOAD, plan.get(0).action());
        assertEquals(LLAMA, plan.get(0).modelVersion());
        assertEquals("two", plan.get(0).server().value());
    }

    @Test
    void oldVersionIsUnloadedOnlyOnceNewVersionServes() {
        models.put("llama", new Model("llama", 10, 1, 1, List.of(new ModelVersion("2", 1))));
        addAccelerator("one", "a", 40, serving(LLAMA));
        assertEquals(List.of(Intent.Action.LOAD), actions());
        addAccelerator("two", "b", 0, serving(new ModelVersionId("llama", "2")));
        assertTrue(actions().contains(Intent.Action.UNLOAD));
    }

    @Test
    void copiesAreDividedBetweenVersionsByWeight() {
        models.put("llama", new Model("llama", 10, 1, 1, List.of(new ModelVersion("1", 9), new ModelVersion("2", 1))));
        demand = new DemandRates(Map.of("llama", new DemandRates.Rate(200, 200)), Map.of());
        for (int index = 0; index < 6; index++) {
            addAccelerator("engine-" + index, "z" + index % 3, 100);
        }
        Map<String, Long> loads = plan().stream()
                .collect(Collectors.groupingBy(order -> order.modelVersion().version(), Collectors.counting()));
        assertTrue(loads.get("1") >= 3 && loads.get("2") <= 2, loads.toString());
    }

    @Test
    void adaptersAreLoadedWhereTheyFitAndObsoleteOnesUnloaded() {
        addModel("llama", 10);
        adapters.put("quilt", new Adapter("quilt", "llama", 1));
        CopyView first = new CopyView(LLAMA, CopyView.Status.SERVING, Set.of("old"), Set.of());
        addAccelerator("one", "a", 5, first);
        addAccelerator("two", "b", 0, serving(LLAMA));
        assertEquals(Set.of(Intent.Action.LOAD_ADAPTER, Intent.Action.UNLOAD_ADAPTER), Set.copyOf(actions()));
        assertEquals(2, actions().size(), "the second copy has no room for the adapter");
    }

    @Test
    void uncertainLoadIsRetriedOnSameServer() {
        addModel("llama", 10);
        addAccelerator("one", "a", 0, new CopyView(LLAMA, CopyView.Status.UNCERTAIN, Set.of(), Set.of()));
        addAccelerator("two", "b", 40);
        assertEquals("one", plan().get(0).server().value());
    }

    @Test
    void planIsEmptyWhenModelServesInTwoZones() {
        addModel("llama", 10);
        addAccelerator("one", "a", 40, serving(LLAMA));
        addAccelerator("two", "b", 40, serving(LLAMA));
        assertEquals(List.of(), plan());
    }

    private void addModel(String name, long bytes) {
        models.put(name, new Model(name, bytes, 1, 1, List.of(new ModelVersion("1", 1))));
    }

    private static CopyView serving(ModelVersionId version) {
        return new CopyView(version, CopyView.Status.SERVING, Set.of(), Set.of());
    }

    private void addAccelerator(String server, String zone, long freeBytes, CopyView... copies) {
        accelerators.add(new AcceleratorView(
                new BackendServerName(server), new AvailabilityZone(zone), "0", freeBytes, 100.0, List.of(copies)));
    }

    private List<PlannedOrder> plan() {
        Configuration configuration = new Configuration(1, Map.of(), models, adapters, List.of(), Map.of());
        return Planner.plan(new PlannerInput(configuration, accelerators, demand, modelLoads, 100));
    }

    private List<Intent.Action> actions() {
        return plan().stream().map(PlannedOrder::action).toList();
    }
}
