package org.borageproxy.placement;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import com.sun.management.ThreadMXBean;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.Model;
import org.borageproxy.tree.ModelVersion;
import org.borageproxy.vm.AvailabilityZone;

/** Prints what one plan costs for growing fleets; run by hand. */
final class PlannerMeasurement {

    private static final int PLANS = 40;
    private static final long UNIT = 1_000;
    private static final double NANOS_PER_MILLISECOND = 1e6;
    private static final double BYTES_PER_MEGABYTE = 1e6;

    /** Not instantiated. */
    private PlannerMeasurement() {}

    /**
     * Measures.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        measure(34, 150, true);
        System.out.println("models replicas state median_ms allocated_MB orders");
        for (int models : new int[] {34, 170, 340}) {
            for (int replicas : new int[] {150, 750, 1_500}) {
                measure(models, replicas, true);
                measure(models, replicas, false);
            }
        }
    }

    private static void measure(int models, int replicas, boolean settled) {
        PlannerInput input = input(models, replicas, settled);
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        List<Long> nanos = new ArrayList<>();
        long bytes = 0;
        int orders = 0;
        for (int plan = 0; plan < PLANS; plan++) {
            long bytesBefore = threads.getCurrentThreadAllocatedBytes();
            long cpuBefore = threads.getCurrentThreadCpuTime();
            orders = Planner.plan(input).size();
            nanos.add(threads.getCurrentThreadCpuTime() - cpuBefore);
            bytes = threads.getCurrentThreadAllocatedBytes() - bytesBefore;
        }
        nanos.sort(null);
        System.out.printf(
                "%d %d %s %.2f %.1f %d%n",
                models,
                replicas,
                settled ? "settled" : "engine-lost",
                nanos.get(PLANS / 2) / NANOS_PER_MILLISECOND,
                bytes / BYTES_PER_MEGABYTE,
                orders);
    }

    private static PlannerInput input(int modelCount, int replicas, boolean settled) {
        Map<String, Model> models = new TreeMap<>();
        Map<String, DemandRates.Rate> demand = new TreeMap<>();
        List<ModelVersionId> units = new ArrayList<>();
        for (int index = 0; index < modelCount; index++) {
            String name = "model-" + index;
            models.put(name, new Model(name, UNIT, 1, 1, List.of(new ModelVersion("1", 1))));
            demand.put(name, new DemandRates.Rate(10, 10));
            units.add(new ModelVersionId(name, "1"));
        }
        List<AcceleratorView> places = new ArrayList<>();
        for (int index = 0; index < replicas; index++) {
            List<CopyView> copies = new ArrayList<>();
            for (int slot = 0; slot < 4; slot++) {
                ModelVersionId unit = units.get((index * 4 + slot) % modelCount);
                boolean lost = !settled && unit.model().endsWith("7");
                if (!lost) {
                    copies.add(new CopyView(unit, CopyView.Status.SERVING, Set.of(), Set.of()));
                }
            }
            places.add(new AcceleratorView(
                    new BackendServerName("engine-" + index),
                    new AvailabilityZone("zone-" + index % 3),
                    "0",
                    settled ? UNIT : UNIT / 2,
                    100.0,
                    copies));
        }
        Configuration configuration = new Configuration(1, Map.of(), models, Map.of(), List.of(), Map.of());
        return new PlannerInput(configuration, places, new DemandRates(demand, Map.of()), 16, 128);
    }
}
