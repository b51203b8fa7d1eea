import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The platform: starts the programs of deploy/system.toml as processes, each on its own loopback address, acts as the
 * operator, and passes on the heartbeats of replicas.
 */
final class Fleet implements AutoCloseable {

    static final int HEARTBEAT_MILLIS = 1200;

    final List<String> controls = new ArrayList<>();
    final List<String> entries = new ArrayList<>();
    final List<Replica> replicas = new CopyOnWriteArrayList<>();
    final int frontPort;
    final int readyPort;
    final int controlPort;
    private final int internalPort;
    private final String prefix;
    private final Path folder;
    private final Record record;
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final ScheduledExecutorService heartbeats = Executors.newScheduledThreadPool(2);
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();

    Fleet(Path folder, Record record, int controlCount, int entryCount) throws Exception {
        this.folder = folder;
        this.record = record;
        ThreadLocalRandom random = ThreadLocalRandom.current();
        prefix = "127." + random.nextInt(2, 250) + "." + random.nextInt(2, 250) + ".";
        for (int number = 1; number <= controlCount; number++) {
            controls.add(prefix + (10 + number));
        }
        for (int number = 1; number <= entryCount; number++) {
            entries.add(prefix + (50 + number));
        }
        int first = freeRange();
        frontPort = first;
        readyPort = first + 1;
        controlPort = first + 2;
        internalPort = first + 3;
        for (String address : all()) {
            start(address, true);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        heartbeats.scheduleAtFixedRate(this::announce, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private List<String> all() {
        return Stream.concat(controls.stream(), entries.stream()).toList();
    }

    private int freeRange() throws IOException {
        while (true) {
            int first = ThreadLocalRandom.current().nextInt(15_000, 32_000);
            if (first > 7590 && isFree(first)) {
                return first;
            }
        }
    }

    private boolean isFree(int first) throws IOException {
        for (String address : all()) {
            for (int port = first; port < first + 20; port++) {
                try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(address))) {
                    socket.getLocalPort();
                } catch (IOException exception) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Returns a loopback address for a replica. */
    String replicaAddress(int number) {
        return prefix + (100 + number);
    }

    private static List<String> command(String role) throws IOException {
        String text = Files.readString(Path.of("deploy/system.toml"));
        Matcher matcher = Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"").matcher(text);
        if (!matcher.find()) {
            throw new IOException("no role " + role);
        }
        return new ArrayList<>(Arrays.asList(matcher.group(1).split(" +")));
    }

    /** Starts the process of a machine. */
    void start(String address, boolean isFirstStart) throws IOException {
        boolean isControl = controls.contains(address);
        Path file = folder.resolve(address + ".toml");
        Files.writeString(file, settings(address, isControl, isFirstStart));
        ProcessBuilder builder = new ProcessBuilder(command(isControl ? "control" : "entry"));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("BORAGEPROXY_BOOT", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                folder.resolve(address + ".log").toFile()));
        Process process = builder.start();
        processes.put(address, process);
        record.line("started " + (isControl ? "control " : "entry ") + address + " pid=" + process.pid());
    }

    private String settings(String address, boolean isControl, boolean isFirstStart) {
        String seeds = controls.stream()
                .limit(3)
                .map(each -> "\"" + each + ":" + controlPort + "\"")
                .collect(Collectors.joining(","));
        String zone = "zone-" + "abc".charAt(Math.floorMod(address.hashCode(), 3));
        return "NodeName = \"node-" + address + "\"\n"
                + "Role = \"" + (isControl ? "control" : "entry") + "\"\n"
                + "MachineClass = \"" + (isControl ? "core" : "edge") + "\"\n"
                + "Serves = [\"" + (isControl ? "control" : "edge") + "\"]\n"
                + "Ip = \"" + address + "\"\nZone = \"" + zone + "\"\nRegion = \"region\"\n"
                + "InternalPortRange = [" + internalPort + "," + (internalPort + 15) + "]\n"
                + "SeedNodes = [" + seeds + "]\nBootstrap = " + isFirstStart + "\n"
                + "LossCounts = " + isControl + "\nDiscovery = \"registration\"\nEntry = \"vip\"\n"
                + "HeartbeatMs = " + HEARTBEAT_MILLIS + "\n"
                + (isControl ? "DataDir = \"" + folder.resolve("data-" + address) + "\"\n" : "")
                + "ConfigMode = \"highest\"\n"
                + "[Zones]\nzone-a = \"region\"\nzone-b = \"region\"\nzone-c = \"region\"\n"
                + "[Listen]\n"
                + (isControl
                        ? "ControlPlane = \"" + address + ":" + controlPort + "\"\n"
                        : "FrontAddr = \"" + address + ":" + frontPort + "\"\nReadyAddr = \"" + address + ":"
                                + readyPort + "\"\n")
                + "[Limits]\nCpuShare = 0.75\nCpuCores = 1\nMemoryMb = 430\nMaxFds = 4100\nLinkMbps = 1000.0\n"
                + "DiskMb = " + (isControl ? 128 : 0) + "\n"
                + "[FaultTolerance]\nMachines = " + (controls.size() / 2) + "\nZones = 0\nRegions = 0\n"
                + "[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nStableMs = 3000\nAckMs = 4000\nCatchUpS = 4\n"
                + "DrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\nDowngradeSlackMs = 250\n"
                + "PartitionMaxMs = 5000\nStrictRevocation = false\nRevokeMs = 5000\nRetryBudgetRatio = 0.2\n"
                + "BudgetWindowS = 10\nRetryBudgetSlack = 54\nQuotaWindowS = 8\nQuotaOverage = 0.1\n"
                + "QuotaSlack = 17000\nRecoveryS = 12\nPassMs = 120\nRetryAfterS = 0\nFencingEnforced = true\n"
                + "LeaseMs = 3000\nThawMs = 300\nCeilingWindowS = 5\nCeilingOverage = 1.1\n";
    }

    Process process(String address) {
        return processes.get(address);
    }

    boolean isRunning(String address) {
        return processes.get(address).isAlive();
    }

    /** Sends a signal to the process of a machine. */
    void signal(String address, String name) throws IOException, InterruptedException {
        long pid = processes.get(address).pid();
        record.line("SIG" + name + " to " + address + " pid=" + pid);
        new ProcessBuilder("kill", "-" + name, Long.toString(pid)).start().waitFor();
    }

    /** Adds a replica, which is announced from now on. */
    void add(Replica replica) {
        replicas.add(replica);
        announce(replica);
    }

    private void announce() {
        replicas.forEach(this::announce);
    }

    private void announce(Replica replica) {
        if (!replica.isRunning()) {
            return;
        }
        int start = ThreadLocalRandom.current().nextInt(controls.size());
        String body = replica.heartbeat();
        for (int number = 0; number < controls.size(); number++) {
            String control = controls.get((start + number) % controls.size());
            if (call(control, "POST", "/Replicas.Heartbeat/" + replica.id, body).status() == 200) {
                return;
            }
        }
    }

    record Answer(int status, String body) {}

    /** Calls a control machine; status 0 stands for no answer within a second. */
    Answer call(String control, String method, String path, String body) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + control + ":" + controlPort + path))
                .timeout(Duration.ofSeconds(1))
                .header("Content-Type", "application/json")
                .method(
                        method,
                        body.isEmpty()
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException exception) {
            return new Answer(0, "");
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return new Answer(0, "");
        }
    }

    /** Publishes a configuration, through any control machine, until it is acknowledged or the time is over. */
    boolean publish(String document, Duration time) throws InterruptedException {
        long end = System.nanoTime() + time.toNanos();
        int number = 0;
        while (System.nanoTime() - end < 0) {
            String control = controls.get(number++ % controls.size());
            int status = call(control, "POST", "/Config.Replace", document).status();
            if (status == 200) {
                record.line("configuration acknowledged by " + control);
                return true;
            }
            if (status == 400) {
                record.line("configuration refused by " + control);
                return false;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Waits until all entries say that they are ready. */
    void awaitReady(Duration time) throws Exception {
        long end = System.nanoTime() + time.toNanos();
        for (String entry : entries) {
            while (!isReady(entry)) {
                if (System.nanoTime() - end > 0) {
                    throw new IllegalStateException("not ready: " + entry);
                }
                Thread.sleep(100);
            }
        }
    }

    private boolean isReady(String entry) throws InterruptedException {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + entry + ":" + readyPort + "/readyz"))
                    .timeout(Duration.ofSeconds(1))
                    .build();
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException exception) {
            return false;
        }
    }

    InetSocketAddress front(String entry) {
        return new InetSocketAddress(entry, frontPort);
    }

    /** Returns the lines that a machine has logged with a text. */
    List<String> log(String address, String text) throws IOException {
        try (Stream<String> lines = Files.lines(folder.resolve(address + ".log"), java.nio.charset.StandardCharsets.ISO_8859_1)) {
            return lines.filter(line -> line.contains(text)).toList();
        }
    }

    @Override
    public void close() {
        heartbeats.shutdownNow();
        processes.values().forEach(Process::destroyForcibly);
        processes.values().forEach(process -> process.onExit().join());
        replicas.forEach(Replica::stop);
    }
}
