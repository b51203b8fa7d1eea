package org.borageproxy.process;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * Measures separate processes: what an entry adds to a request, and what control costs a VM at rest against the number
 * of VMs. Run by its main method; asserts nothing.
 */
final class FleetMeasurement {

    private static final int REQUESTS = 3_000;
    private static final int REST_SECONDS = 20;
    private static final double TICKS_PER_SECOND = 100.0;

    private FleetMeasurement() {}

    /** Runs all measurements; the arguments are numbers of VMs, of which three are in the control group. */
    public static void main(String[] arguments) throws Exception {
        for (String argument : arguments) {
            Path folder = Files.createTempDirectory("measurement");
            int count = Integer.parseInt(argument);
            try (FleetProcesses fleet = new FleetProcesses(folder, 3, count - 3)) {
                measure(fleet, folder, count);
            }
        }
    }

    private static void measure(FleetProcesses fleet, Path folder, int count) throws Exception {
        Caller caller = new Caller();
        Map<String, StandInFleet.Address> standIns = StandInFleet.start(fleet, folder, 1);
        fleet.startAll();
        for (String vm : fleet.vms()) {
            FleetProcesses.VmPorts ports = fleet.portsOf(vm);
            fleet.await(vm, () -> caller.status(ports.host(), ports.callers(), "/readyz") == 200);
        }
        long appliedAt = System.nanoTime();
        StandInFleet.apply(fleet, folder);
        System.out.printf(
                "vms=%d apply-until-in-force-everywhere-millis=%d (with the command's own start)%n",
                count, (System.nanoTime() - appliedAt) / 1_000_000);
        String key = ThinPathTest.field(StandInFleet.createKey(fleet, "district"), "key");
        Thread.sleep(3_000);
        rest(fleet, count);
        FleetProcesses.VmPorts entry = fleet.portsOf(fleet.vms().get(count - 1));
        StandInFleet.Address stock = standIns.get("stock");
        fleet.await("stock", () -> status(caller, entry.host(), entry.callers(), key) == 200);
        for (int round = 0; round < 2; round++) {
            Histogram direct = time(caller, stock.host(), stock.port(), "");
            long before = ticks(fleet, fleet.vms().get(count - 1));
            Histogram through = time(caller, entry.host(), entry.callers(), key);
            double cpuSeconds = (ticks(fleet, fleet.vms().get(count - 1)) - before) / TICKS_PER_SECOND;
            System.out.printf(
                    "round=%d median-direct-micros=%d median-through-micros=%d ratio=%.2f p99-direct=%d"
                            + " p99-through=%d ratio=%.2f requests-per-core-second=%.0f%n",
                    round,
                    direct.getValueAtPercentile(50),
                    through.getValueAtPercentile(50),
                    (double) through.getValueAtPercentile(50) / direct.getValueAtPercentile(50),
                    direct.getValueAtPercentile(99),
                    through.getValueAtPercentile(99),
                    (double) through.getValueAtPercentile(99) / direct.getValueAtPercentile(99),
                    REQUESTS / cpuSeconds);
        }
    }

    private static int status(Caller caller, String host, int port, String key) {
        try {
            return caller.get(host, port, "/stock/7", key).statusCode();
        } catch (IOException | InterruptedException exception) {
            return 0;
        }
    }

    private static Histogram time(Caller caller, String host, int port, String key) throws Exception {
        Histogram micros = new Histogram(3);
        for (int request = 0; request < REQUESTS; request++) {
            long startedAt = System.nanoTime();
            HttpResponse<String> response = caller.get(host, port, "/stock/7", key);
            if (response.statusCode() != 200) {
                throw new IllegalStateException(response.body());
            }
            micros.recordValue((System.nanoTime() - startedAt) / 1_000);
        }
        return micros;
    }

    private static void rest(FleetProcesses fleet, int count) throws Exception {
        long[] before = fleet.vms().stream().mapToLong(vm -> ticks(fleet, vm)).toArray();
        long bytes = loopbackBytes();
        Thread.sleep(REST_SECONDS * 1_000L);
        long sent = loopbackBytes() - bytes;
        List<String> vms = fleet.vms();
        for (int index = 0; index < vms.size(); index++) {
            double share = (ticks(fleet, vms.get(index)) - before[index]) / TICKS_PER_SECOND / REST_SECONDS;
            System.out.printf(
                    "vms=%d vm=%s cpu-percent-of-a-core=%.2f resident-megabytes=%d%n",
                    count, vms.get(index), share * 100, resident(fleet, vms.get(index)));
        }
        System.out.printf(
                "vms=%d loopback-bytes-per-second-per-vm=%d (headers and announcements included)%n",
                count, sent / REST_SECONDS / count);
    }

    private static long loopbackBytes() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/net/dev"))) {
            if (line.strip().startsWith("lo:")) {
                return Long.parseLong(
                        line.strip().substring("lo:".length()).strip().split("\\s+")[0]);
            }
        }
        return 0;
    }

    private static long ticks(FleetProcesses fleet, String name) {
        try {
            String stat = Files.readString(Path.of("/proc", Long.toString(fleet.pid(name)), "stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static long resident(FleetProcesses fleet, String name) throws IOException {
        String status = Files.readString(Path.of("/proc", Long.toString(fleet.pid(name)), "status"));
        return Long.parseLong(ThinPathTest.match(status, "VmRSS:\\s+(\\d+)")) / 1_024;
    }
}
