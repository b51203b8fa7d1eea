package org.borageproxy.process;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * Measures a fleet of processes: the latency that an entry VM adds to a request, and the processor time, memory and
 * traffic of idle VMs by fleet size. Run by its main method; asserts nothing.
 */
final class FleetMeasurement {

    private static final int REQUESTS = 3_000;
    private static final int IDLE_SECONDS = 20;
    /** Clock ticks per second of the processor times in {@code /proc/PID/stat}, {@code USER_HZ} of Linux. */
    private static final double TICKS_PER_SECOND = 100.0;

    private FleetMeasurement() {}

    /** Measures each fleet size given as an argument, of which three VMs are in the control group. */
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
            fleet.await(vm, () -> caller.statusOrZero(ports.host(), ports.callerPort(), "/readyz") == 200);
        }
        long appliedAt = System.nanoTime();
        StandInFleet.applyTree(fleet, folder);
        System.out.printf(
                "vms=%d apply-until-in-force-everywhere-millis=%d (with the command's own start)%n",
                count, (System.nanoTime() - appliedAt) / 1_000_000);
        String key = ThinPathTest.stringField(StandInFleet.createKey(fleet, "district"), "key");
        Thread.sleep(3_000);
        measureIdle(fleet, count);
        FleetProcesses.VmPorts entry = fleet.portsOf(fleet.vms().get(count - 1));
        StandInFleet.Address stock = standIns.get("stock");
        fleet.await(
                "the entry VM reaches the service",
                () -> statusOrZero(caller, entry.host(), entry.callerPort(), key) == 200);
        for (int round = 0; round < 2; round++) {
            Histogram direct = measureLatency(caller, stock.host(), stock.port(), "");
            long before = cpuTicks(fleet, fleet.vms().get(count - 1));
            Histogram through = measureLatency(caller, entry.host(), entry.callerPort(), key);
            double cpuSeconds = (cpuTicks(fleet, fleet.vms().get(count - 1)) - before) / TICKS_PER_SECOND;
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

    private static int statusOrZero(Caller caller, String host, int port, String key) {
        try {
            return caller.get(host, port, "/stock/7", key).statusCode();
        } catch (IOException | InterruptedException exception) {
            return 0;
        }
    }

    private static Histogram measureLatency(Caller caller, String host, int port, String key) throws Exception {
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

    private static void measureIdle(FleetProcesses fleet, int count) throws Exception {
        long[] before =
                fleet.vms().stream().mapToLong(vm -> cpuTicks(fleet, vm)).toArray();
        long bytes = loopbackBytes();
        Thread.sleep(IDLE_SECONDS * 1_000L);
        long sent = loopbackBytes() - bytes;
        List<String> vms = fleet.vms();
        for (int index = 0; index < vms.size(); index++) {
            double share = (cpuTicks(fleet, vms.get(index)) - before[index]) / TICKS_PER_SECOND / IDLE_SECONDS;
            System.out.printf(
                    "vms=%d vm=%s cpu-percent-of-a-core=%.2f resident-megabytes=%d%n",
                    count, vms.get(index), share * 100, residentMegabytes(fleet, vms.get(index)));
        }
        System.out.printf(
                "vms=%d loopback-bytes-per-second-per-vm=%d (headers and announcements included)%n",
                count, sent / IDLE_SECONDS / count);
    }

    /** Returns the bytes received on the loopback interface, which equal those sent. */
    private static long loopbackBytes() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/net/dev"))) {
            if (line.strip().startsWith("lo:")) {
                return Long.parseLong(
                        line.strip().substring("lo:".length()).strip().split("\\s+")[0]);
            }
        }
        return 0;
    }

    /** Returns the user and system time of a process. */
    private static long cpuTicks(FleetProcesses fleet, String name) {
        try {
            String stat = Files.readString(Path.of("/proc", Long.toString(fleet.pid(name)), "stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static long residentMegabytes(FleetProcesses fleet, String name) throws IOException {
        String status = Files.readString(Path.of("/proc", Long.toString(fleet.pid(name)), "status"));
        return Long.parseLong(ThinPathTest.firstGroup(status, "VmRSS:\\s+(\\d+)")) / 1_024;
    }
}
