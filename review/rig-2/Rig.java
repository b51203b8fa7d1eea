import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment: machines that run the program with the commands of the deploy file, on loopback addresses, and
 * stand-ins for the replicas, the operator and the clients. All times are milliseconds since the start.
 */
final class Rig implements AutoCloseable {

    static final String ZONE = "zone-a";
    static final int CONTROL_PORT = 8229;
    static final int FRONT_PORT = 8221;
    static final int READY_PORT = 8224;
    static final int STABLE_MILLIS = 3_000;

    private static final long LIMIT_MILLIS = 112_000;

    /** The end of a replica by a crash. */
    record Crash(long atMillis, String replica, String why) {}

    /** One client attempt and its outcome; status 0 stands for a connection without a complete answer. */
    record Attempt(String id, String kind, long sentAt, long endedAt, int status, boolean isServed) {}

    final Queue<Replica.Run> runs = new ConcurrentLinkedQueue<>();
    final Queue<Crash> crashes = new ConcurrentLinkedQueue<>();
    final Queue<Attempt> attempts = new ConcurrentLinkedQueue<>();

    private final long startNanos = System.nanoTime();
    private final PrintWriter recorder;
    private final Path folder;
    private final String prefix;
    private final List<String> cores = new ArrayList<>();
    private final List<String> edges = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final List<Machine> machines = new ArrayList<>();
    private final List<Replica> replicas = new ArrayList<>();

    /** What a machine runs. */
    private record Machine(String name, String role, Path settings) {}

    /** The body of a case. */
    interface Play {

        /** Returns whether the rule held. */
        boolean play(Rig rig) throws Exception;
    }

    Rig(Path recordFile) throws IOException {
        recorder = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        folder = Files.createTempDirectory("review-2");
        prefix = freePrefix();
    }

    /** Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
    static void main(String[] arguments, Play play) throws IOException {
        int code = 2;
        try (Rig rig = new Rig(Path.of(arguments[0]))) {
            thread(() -> {
                sleep(LIMIT_MILLIS);
                rig.record("result: could not run, since the time limit has passed");
                rig.close();
                Runtime.getRuntime().halt(2);
            });
            try {
                boolean held = play.play(rig);
                code = held ? 0 : 1;
                rig.record(held ? "result: the rule held" : "result: the rule was broken");
            } catch (Exception failure) {
                rig.record("result: could not run: " + failure);
            }
        }
        Runtime.getRuntime().halt(code);
    }

    static boolean isTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static void thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    synchronized void record(String line) {
        recorder.println(now() + " " + line);
    }

    private static String freePrefix() throws IOException {
        for (int attempt = 0; attempt < 50; attempt++) {
            String candidate = "127." + ThreadLocalRandom.current().nextInt(20, 250) + "."
                    + ThreadLocalRandom.current().nextInt(1, 250) + ".";
            try (ServerSocket probe = new ServerSocket(CONTROL_PORT, 1, InetAddress.getByName(candidate + "11"))) {
                return candidate;
            } catch (IOException taken) {
                // The next addresses are tried.
            }
        }
        throw new IOException("no free loopback addresses");
    }

    String anyCore() {
        return cores.get(ThreadLocalRandom.current().nextInt(cores.size()));
    }

    String edge(int index) {
        return edges.get(index);
    }

    /** Starts the machines and waits until nothing more than a configuration is missing. */
    void startMachines(int coreCount, int edgeCount) throws IOException {
        for (int index = 0; index < coreCount; index++) {
            cores.add(prefix + (11 + index));
        }
        for (int index = 0; index < edgeCount; index++) {
            edges.add(prefix + (31 + index));
        }
        for (String core : cores) {
            startMachine("core", "control", core, "ControlPlane = \"" + core + ":" + CONTROL_PORT + "\"\n");
        }
        for (String edge : edges) {
            startMachine(
                    "edge",
                    "entry",
                    edge,
                    "FrontAddr = \"" + edge + ":" + FRONT_PORT + "\"\nReadyAddr = \"" + edge + ":" + READY_PORT
                            + "\"\n");
        }
    }

    private void startMachine(String machineClass, String role, String ip, String listen) throws IOException {
        boolean isCore = machineClass.equals("core");
        String name = machineClass + "-" + ip.substring(ip.lastIndexOf('.') + 1);
        StringBuilder seeds = new StringBuilder();
        cores.stream().limit(3).forEach(core -> seeds.append(seeds.length() > 0 ? "," : "")
                .append("\"" + core + ":" + CONTROL_PORT + "\""));
        Path data = folder.resolve(name + "-data");
        if (isCore) {
            Files.createDirectories(data);
        }
        String text = "NodeName = \"" + name + "\"\nRole = \"" + role + "\"\nMachineClass = \"" + machineClass
                + "\"\nServes = [\"" + (isCore ? "control" : "edge") + "\"]\nIp = \"" + ip + "\"\nZone = \"" + ZONE
                + "\"\nRegion = \"region\"\nInternalPortRange = [7600,7615]\nSeedNodes = [" + seeds
                + "]\nBootstrap = true\nLossCounts = " + isCore + "\nDiscovery = \"registration\"\nEntry = \"vip\"\n"
                + "HeartbeatMs = 1200\nConfigMode = \"highest\"\n"
                + (isCore ? "DataDir = \"" + data + "\"\n" : "")
                + "[Zones]\n" + ZONE + " = \"region\"\n[Listen]\n" + listen
                + "[Limits]\nCpuShare = 0.75\nCpuCores = 1\nMemoryMb = 430\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = "
                + (isCore ? 128 : 0) + "\n[FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n"
                + "[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nStableMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 2000\n"
                + "GraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\nDowngradeSlackMs = 250\nPartitionMaxMs = 5000\n"
                + "StrictRevocation = false\nRevokeMs = 5000\nRetryBudgetRatio = 0.2\nBudgetWindowS = 10\n"
                + "RetryBudgetSlack = 58\nQuotaWindowS = 8\nQuotaOverage = 0.1\nQuotaSlack = 17000\nRecoveryS = 12\n"
                + "PassMs = 120\nRetryAfterS = 0\nFencingEnforced = true\nLeaseMs = 3000\nThawMs = 300\n"
                + "CeilingWindowS = 5\nCeilingOverage = 1.1\n";
        Path file = folder.resolve(name + ".toml");
        Files.writeString(file, text);
        Machine machine = new Machine(name, role, file);
        machines.add(machine);
        processes.add(startProcess(machine));
        record("machine " + name + " " + ip);
    }

    private Process startProcess(Machine machine) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command(machine.role()));
        builder.environment().put("BORAGEPROXY_BOOT", machine.settings().toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                folder.resolve(machine.name() + ".log").toFile()));
        return builder.start();
    }

    /** Kills the processes of all machines at the same moment and starts them again, with their disks. */
    synchronized void restartAll() throws IOException {
        record("all machines killed");
        processes.forEach(Process::destroyForcibly);
        processes.forEach(process -> process.onExit().join());
        processes.clear();
        for (Machine machine : machines) {
            Path settings = machine.settings();
            Files.writeString(
                    settings, Files.readString(settings).replace("Bootstrap = true", "Bootstrap = false"));
            processes.add(startProcess(machine));
        }
        record("all machines started again");
    }

    /** Returns the command of a role in the deploy file. */
    private static List<String> command(String role) throws IOException {
        boolean isInRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                isInRole = line.equals("[roles." + role + "]");
            } else if (isInRole && line.startsWith("run = ")) {
                return Arrays.asList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("no role " + role + " in the deploy file");
    }

    /** Kills the process of an edge machine. */
    void killEdge(int index) {
        record("machine killed: edge " + index);
        processes.get(cores.size() + index).destroyForcibly().onExit().join();
    }

    Replica startReplica(Replica.Behaviour behaviour, int number) throws IOException {
        Replica replica = new Replica(this, behaviour, prefix + (100 + number), 8080);
        replicas.add(replica);
        replica.start();
        return replica;
    }

    /** Sends a configuration until it is acknowledged. */
    void configure(String document) throws IOException {
        long end = now() + 30_000;
        while (now() < end) {
            try {
                Http.Answer answer = Http.call(
                        anyCore(),
                        CONTROL_PORT,
                        "POST",
                        "/Config.Replace",
                        Map.of("Content-Type", "application/json"),
                        document.getBytes(StandardCharsets.UTF_8),
                        2_000);
                record("configuration answered " + answer.status());
                if (answer.status() == 200) {
                    return;
                }
            } catch (IOException failure) {
                // The next machine is called.
            }
            sleep(250);
        }
        throw new IOException("the configuration was not acknowledged");
    }

    void awaitReady() throws IOException {
        for (String edge : edges) {
            long end = now() + 30_000;
            while (!isReady(edge)) {
                if (now() > end) {
                    throw new IOException("machine not ready: " + edge);
                }
                sleep(100);
            }
        }
        record("all edge machines are ready");
    }

    private static boolean isReady(String edge) {
        try {
            return Http.call(edge, READY_PORT, "GET", "/readyz", Map.of(), new byte[0], 1_000).status() == 200;
        } catch (IOException failure) {
            return false;
        }
    }

    Http.Connection connect(int edge) throws IOException {
        return new Http.Connection(edges.get(edge), FRONT_PORT);
    }

    /** Sends one request of a client on a new connection and records the outcome. */
    Attempt send(String kind, int edge, String method, String path, Map<String, String> fields, byte[] body, int waitMillis) {
        try (Http.Connection connection = connect(edge)) {
            return send(kind, edge, connection, method, path, fields, body, waitMillis);
        } catch (IOException failure) {
            record("not sent " + kind + " to edge " + edge + ": " + failure);
            Attempt attempt = new Attempt("", kind, now(), now(), 0, false);
            attempts.add(attempt);
            return attempt;
        }
    }

    /** Sends one request of a client and records the outcome. */
    Attempt send(
            String kind,
            int edge,
            Http.Connection connection,
            String method,
            String path,
            Map<String, String> fields,
            byte[] body,
            int waitMillis) {
        String id = Long.toHexString(ThreadLocalRandom.current().nextLong() | Long.MIN_VALUE);
        Map<String, String> all = new LinkedHashMap<>(fields);
        all.put("X-Request-Id", id);
        all.put("X-Deadline-Ms", Integer.toString(waitMillis));
        long sentAt = now();
        int status = 0;
        boolean isServed = false;
        String note;
        try {
            Http.Answer answer = connection.call(method, path, all, body, waitMillis + 1_500);
            status = answer.status();
            isServed = status == 200
                    && answer.isWhole()
                    && !answer.fields().getOrDefault("x-server-signature", "").isEmpty();
            note = isServed ? "served" : "not served: " + answer.body().strip().replace('\n', ' ');
        } catch (IOException failure) {
            note = "no answer: " + failure;
        }
        Attempt attempt = new Attempt(id, kind, sentAt, now(), status, isServed);
        attempts.add(attempt);
        record("sent " + id + " " + kind + " to edge " + edge + " at " + sentAt + ": status " + status + " " + note);
        return attempt;
    }

    @Override
    public synchronized void close() {
        replicas.forEach(Replica::end);
        for (Process process : processes) {
            process.destroyForcibly();
        }
        for (Process process : processes) {
            process.onExit().join();
        }
        processes.clear();
        String kept = System.getenv("KEEP_LOGS");
        try (Stream<Path> files = Files.walk(folder)) {
            if (kept == null) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } else {
                System.err.println("logs: " + folder);
            }
        } catch (IOException ignored) {
            // The folder is temporary.
        }
    }
}
