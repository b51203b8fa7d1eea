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

/** Measures the CPU time and allocations of one plan for fleets of growing size. Run by hand. */
final class PlannerMeasurement {

    private static final int PLANS = 40;
    private static final long UNIT = 1_000;
    private static final double NANOS_PER_MILLISECOND = 1e6;
    private static final double BYTES_PER_MEGABYTE = 1e6;

    private PlannerMeasurement() {}

    /**
     * Prints one line for each size of the fleet.
     *
     * @param arguments ignored
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
        List<ModelVersionId> versions = new ArrayList<>();
        for (int index = 0; index < modelCount; index++) {
            String name = "model-" + index;
            models.put(name, new Model(name, UNIT, 1, 1, List.of(new ModelVersion("1", 1))));
            demand.put(name, new DemandRates.Rate(10, 10));
            versions.add(new ModelVersionId(name, "1"));
        }
        List<AcceleratorView> accelerators = new ArrayList<>();
        for (int index = 0; index < replicas; index++) {
            List<CopyView> copies = new ArrayList<>();
            for (int slot = 0; slot < 4; slot++) {
                ModelVersionId version = versions.get((index * 4 + slot) % modelCount);
                boolean lost = !settled && version.model().endsWith("7");
                if (!lost) {
                    copies.add(new CopyView(version, CopyView.Status.SERVING, Set.of(), Set.of()));
                }
            }
            accelerators.add(new AcceleratorView(
                    new BackendServerName("engine-" + index),
                    new AvailabilityZone("zone-" + index % 3),
                    "0",
                    settled ? UNIT : UNIT / 2,
                    100.0,
                    copies));
        }
        Configuration configuration = new Configuration(1, Map.of(), models, Map.of(), List.of(), Map.of());
        return new PlannerInput(configuration, accelerators, new DemandRates(demand, Map.of()), 16, 128);
    }
}
