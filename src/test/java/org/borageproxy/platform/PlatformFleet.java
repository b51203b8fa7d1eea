package org.borageproxy.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.borageproxy.settings.Endpoint;

/**
 * VMs on the platform, each a separate process on a loopback address, with engines that send heartbeats to the control
 * VM. The first VM is the control group, the others are entries, unless further control VMs are asked for.
 * {@link #close()} ends every process and engine. Used by one thread.
 */
final class PlatformFleet implements AutoCloseable {

    /** Far above the usual duration of a step, since it only bounds a hang. */
    static final Duration STEP_TIMEOUT = Duration.ofSeconds(60);
    /** The bound within which the members of the fleet agree again after a change. */
    static final Duration STABLE = Duration.ofSeconds(3);

    /** The service of the model engines. */
    static final String ENGINES = "engines";
    /** A plain service, whose requests may be repeated. */
    static final String PLAIN = "plain";

    private static final String CONTROL = "127.0.1.10";
    private static final int HEARTBEAT_MILLIS = 300;
    private static final int OK = 200;
    private static final String PUBLICATION = """
            {"Version":1,"Routes":[{"Name":"r1","Host":"e.example","PathPrefix":"/e/","Type":"streaming",
            "TimeoutMs":9000,"TargetLatencyMs":5000,"Priority":1,"Service":"engines","MaxAttempts":2,"Sticky":true,
            "Resumable":true,"TargetGapMs":400},{"Name":"r2","Host":"e.example","PathPrefix":"/p/","Type":"safe",
            "TimeoutMs":9000,"TargetLatencyMs":500,"Priority":1,"Service":"plain","MaxAttempts":2}],
            "Services":[{"Name":"engines","HealthPath":"/healthz","MaxConnections":90,"Engine":{"Slots":64,
            "KvCapacityTokens":90000,"Models":[{"Name":"m","WeightsMb":10.0,"LoadS":1.0,"Adapters":1,
            "AdapterSizeMb":1.0}],"WeightsMb":100.0,"AdapterSlots":2,"LoadsPerS":2.0}},
            {"Name":"plain","HealthPath":"/healthz","MaxConnections":90}],
            "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
            "Tenants":[{"Name":"w","ApiKeys":["k"],"Priority":1,"Unit":"token_stream","PlainTokens":200,
            "RatePerS":0,"Burst":0}]}""";

    private final Path folder;
    private final List<String> controls = new ArrayList<>();
    private final List<String> entries = new ArrayList<>();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final List<EngineStandIn> engines = new ArrayList<>();
    private final HttpClient client = HttpClient.newHttpClient();
    private final ScheduledExecutorService heartbeats = Executors.newSingleThreadScheduledExecutor();
    private final int internalPort;
    private final int callerPort;
    private final int readinessPort;
    private final int controlPort;
    private final int gracePeriodSeconds;

    /** Starts the VMs and publishes one route, whose service has one model; waits until the entries are ready. */
    PlatformFleet(Path folder, int entryCount) throws Exception {
        this(folder, entryCount, 1);
    }

    /** Starts the VMs with a control group of several VMs, and publishes like the other constructor, through each. */
    PlatformFleet(Path folder, int entryCount, int controlCount) throws Exception {
        this(folder, entryCount, controlCount, 3);
    }

    /** Starts and publishes like the other constructors, with another grace period of a planned stop. */
    PlatformFleet(Path folder, int entryCount, int controlCount, int gracePeriodSeconds) throws Exception {
        this.folder = folder;
        this.gracePeriodSeconds = gracePeriodSeconds;
        controls.add(CONTROL);
        for (int number = 1; number < controlCount; number++) {
            controls.add("127.0.1." + (100 + number));
        }
        for (int number = 1; number <= entryCount; number++) {
            entries.add("127.0.1." + (10 + number));
        }
        List<Integer> ports = freePorts(4);
        internalPort = ports.get(0);
        callerPort = ports.get(1);
        readinessPort = ports.get(2);
        controlPort = ports.get(3);
        for (String control : controls) {
            start(control);
        }
        for (String entry : entries) {
            start(entry);
        }
        for (String control : controls) {
            awaitOk(request(control, controlPort, "/Config.Replace")
                    .POST(HttpRequest.BodyPublishers.ofString(PUBLICATION)));
        }
        for (String entry : entries) {
            awaitReady(entry);
        }
        heartbeats.scheduleWithFixedDelay(
                this::announceEngines, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns ports that are free on the addresses of all VMs and differ from one another. A port that is free on one
     * address only may still be in use on another, by connections of an earlier fleet; its VM would not start.
     */
    private List<Integer> freePorts(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        List<ServerSocket> held = new ArrayList<>();
        try {
            while (ports.size() < count) {
                ServerSocket first = bind(CONTROL, 0);
                held.add(first);
                int port = first.getLocalPort();
                if (isFreeOnAll(port, held)) {
                    ports.add(port);
                }
            }
        } finally {
            for (ServerSocket socket : held) {
                socket.close();
            }
        }
        return ports;
    }

    private boolean isFreeOnAll(int port, List<ServerSocket> held) {
        List<String> others = new ArrayList<>(controls.subList(1, controls.size()));
        others.addAll(entries);
        for (String vm : others) {
            try {
                held.add(bind(vm, port));
            } catch (IOException exception) {
                return false;
            }
        }
        return true;
    }

    private static ServerSocket bind(String address, int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(false);
        socket.bind(new InetSocketAddress(address, port), 1);
        return socket;
    }

    /** Returns the addresses of the entries. */
    List<String> entries() {
        return entries;
    }

    /** Returns the address of the control VM. */
    String control() {
        return CONTROL;
    }

    /** Returns the addresses of the control VMs. */
    List<String> controls() {
        return controls;
    }

    private Path dataFolder(String vm) {
        return folder.resolve(vm.equals(CONTROL) ? "data" : "data-" + vm);
    }

    private String settings(String vm, boolean isFirstStart) {
        boolean isControl = controls.contains(vm);
        String seeds = controls.stream()
                .map(control -> "\"" + control + ":" + controlPort + "\"")
                .collect(Collectors.joining(", "));
        String roles = isControl
                ? "ControlPlane = \"" + vm + ":" + controlPort + "\"\n"
                : "FrontAddr = \"" + vm + ":" + callerPort + "\"\nReadyAddr = \"" + vm + ":" + readinessPort + "\"\n";
        return "NodeName = \"vm-" + vm + "\"\nIp = \"" + vm + "\"\nZone = \"a\"\nBootstrap = " + isFirstStart
                + "\nHeartbeatMs = " + HEARTBEAT_MILLIS + "\n"
                + (isControl ? "DataDir = \"" + dataFolder(vm) + "\"\n" : "")
                + "InternalPortRange = [" + internalPort + ", " + internalPort + "]\nSeedNodes = [" + seeds
                + "]\n[Listen]\n" + roles + "[Bounds]\nGraceS = " + gracePeriodSeconds + "\nRetryBudgetRatio = 0.2\n"
                + "RetryBudgetSlack = 60\n[Zones]\na = \"near\"\nb = \"near\"\n";
    }

    /** Starts a VM that does not run. */
    void start(String vm) throws IOException {
        boolean isFirstStart = !Files.exists(dataFolder(vm));
        Path file = Files.writeString(folder.resolve(vm + ".toml"), settings(vm, isFirstStart));
        List<String> command = List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "org.borageproxy.Borageproxy",
                "platform");
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("BORAGEPROXY_BOOT", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(vm + ".log").toFile()));
        processes.put(vm, builder.start());
    }

    /** Returns whether the other end of a connection on this machine belongs to the process of a VM. */
    boolean isFrom(String vm, Socket connection) {
        Process process = processes.get(vm);
        if (process == null) {
            return false;
        }
        String end = String.format(":%04X ", connection.getPort());
        // The JVM opens sockets of both protocol versions.
        try (Stream<String> sockets =
                        Stream.concat(Files.lines(Path.of("/proc/net/tcp")), Files.lines(Path.of("/proc/net/tcp6")));
                Stream<Path> files = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            Set<String> inodes = sockets.filter(line -> line.contains(end))
                    .map(line -> line.strip().split("\\s+"))
                    .filter(fields -> (fields[1] + " ").endsWith(end))
                    .map(fields -> "socket:[" + fields[9] + "]")
                    .collect(Collectors.toSet());
            return files.anyMatch(file -> inodes.contains(targetOf(file)));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Returns the VM whose process has the other end of a connection on this machine; empty for none. */
    String vmOf(Socket connection) {
        return Stream.concat(controls.stream(), entries.stream())
                .filter(vm -> isFrom(vm, connection))
                .findFirst()
                .orElse("");
    }

    private static String targetOf(Path link) {
        try {
            return Files.readSymbolicLink(link).toString();
        } catch (IOException exception) {
            // The file was closed meanwhile.
            return "";
        }
    }

    /** Kills a VM. */
    void kill(String vm) throws InterruptedException {
        Process process = processes.remove(vm);
        process.destroyForcibly();
        process.waitFor();
    }

    /** Stops a VM from running until it is thawed or killed; its connections stay open. */
    void freeze(String vm) throws IOException, InterruptedException {
        signal(vm, "STOP");
    }

    /** Lets a frozen VM run again. */
    void thaw(String vm) throws IOException, InterruptedException {
        signal(vm, "CONT");
    }

    /** Asks a VM to stop, as the platform does in a planned stop; does not wait until it has stopped. */
    void terminate(String vm) throws IOException, InterruptedException {
        signal(vm, "TERM");
    }

    private void signal(String vm, String signal) throws IOException, InterruptedException {
        String processId = Long.toString(processes.get(vm).pid());
        new ProcessBuilder("kill", "-" + signal, processId).start().waitFor();
    }

    /** Publishes the document again, under another version, through one control VM; returns the status. */
    int publish(String control, int version) throws IOException, InterruptedException {
        return publish(control, PUBLICATION.replace("\"Version\":1", "\"Version\":" + version));
    }

    /**
     * Publishes the document with the route of the engines split between services of engines, by their weights; returns
     * the status.
     */
    int publishSplit(int version, Map<String, Integer> weights) throws IOException, InterruptedException {
        String engines = PUBLICATION.substring(
                PUBLICATION.indexOf("{\"Name\":\"engines\""), PUBLICATION.indexOf("{\"Name\":\"plain\""));
        String services = weights.keySet().stream()
                .map(service -> engines.replace("\"engines\"", "\"" + service + "\""))
                .collect(Collectors.joining());
        String split = weights.entrySet().stream()
                .map(each -> "{\"Service\":\"" + each.getKey() + "\",\"Weight\":" + each.getValue() + "}")
                .collect(Collectors.joining(",", "\"TrafficSplit\":[", "]"));
        return publish(
                CONTROL,
                PUBLICATION
                        .replace("\"Version\":1", "\"Version\":" + version)
                        .replace(engines, services)
                        .replace("\"Service\":\"engines\"", split));
    }

    private int publish(String control, String document) throws IOException, InterruptedException {
        HttpRequest call = request(control, controlPort, "/Config.Replace")
                .POST(HttpRequest.BodyPublishers.ofString(document))
                .build();
        return client.send(call, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    /** Returns the addresses on which a VM listens. */
    List<InetSocketAddress> listeningAddresses(String vm) {
        List<Integer> ports = controls.contains(vm)
                ? List.of(controlPort, internalPort)
                : List.of(callerPort, readinessPort, internalPort);
        return ports.stream().map(port -> new InetSocketAddress(vm, port)).toList();
    }

    /** Returns whether the process of a VM runs. */
    boolean isRunning(String vm) {
        return processes.containsKey(vm) && processes.get(vm).isAlive();
    }

    /** Waits until an entry is ready. */
    void awaitReady(String entry) throws Exception {
        awaitOk(request(entry, readinessPort, "/readyz"));
    }

    /** Starts an engine, which announces itself from then on. */
    EngineStandIn startEngine(String name, String software, boolean isFramed) throws Exception {
        return startServer(ENGINES, name, software, isFramed);
    }

    /** Starts a server of a service, which announces itself from then on. */
    EngineStandIn startServer(String service, String name, String software, boolean isFramed) throws Exception {
        return startServer(service, name, software, isFramed, "a");
    }

    /** Starts a server in an availability zone, "a" or "b". */
    EngineStandIn startServer(String service, String name, String software, boolean isFramed, String zone)
            throws Exception {
        EngineStandIn engine = new EngineStandIn(service, name, software, isFramed);
        engine.placeInZone(zone);
        synchronized (engines) {
            engines.add(engine);
        }
        return engine;
    }

    /** Returns the number of callers' requests that have reached an engine. */
    int requestCount() {
        synchronized (engines) {
            return engines.stream().mapToInt(engine -> engine.requests().size()).sum();
        }
    }

    private void announceEngines() {
        List<EngineStandIn> announced;
        synchronized (engines) {
            announced = engines.stream().filter(EngineStandIn::isRunning).toList();
        }
        for (EngineStandIn engine : announced) {
            try {
                client.send(
                        request(CONTROL, controlPort, "/Replicas.Heartbeat/" + engine.name())
                                .POST(HttpRequest.BodyPublishers.ofString(engine.heartbeat()))
                                .build(),
                        HttpResponse.BodyHandlers.discarding());
            } catch (IOException exception) {
                // The control VM does not run; the next heartbeat may reach it.
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static HttpRequest.Builder request(String host, int port, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + host + ":" + port + path))
                .timeout(Duration.ofSeconds(2))
                .version(HttpClient.Version.HTTP_1_1);
    }

    /** Returns the address of the control VM for operators. */
    Endpoint controlEndpoint() {
        return new Endpoint(CONTROL, controlPort);
    }

    /** Sends a call of an operator without a body to the control VM and returns the status. */
    int callControl(String path) throws IOException, InterruptedException {
        HttpRequest.Builder call = request(CONTROL, controlPort, path).POST(HttpRequest.BodyPublishers.noBody());
        return client.send(call.build(), HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    /** Repeats a call of an operator to the control VM until it is acknowledged. */
    void awaitAcknowledged(String path) throws Exception {
        awaitOk(request(CONTROL, controlPort, path).POST(HttpRequest.BodyPublishers.noBody()));
    }

    private void awaitOk(HttpRequest.Builder builder) throws Exception {
        long end = System.nanoTime() + STEP_TIMEOUT.toNanos();
        int status = 0;
        while (status != OK) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError(builder.build().uri() + " answered " + status + "\n" + logs());
            }
            try {
                status = client.send(builder.build(), HttpResponse.BodyHandlers.discarding())
                        .statusCode();
            } catch (IOException exception) {
                status = 0;
            }
            Thread.sleep(status == OK ? 0 : 50);
        }
    }

    /** Returns the log lines of a VM with a text, in their order. */
    List<String> logLines(String vm, String text) throws IOException {
        try (Stream<String> lines = Files.lines(folder.resolve(vm + ".log"))) {
            return lines.filter(line -> line.contains(text)).toList();
        }
    }

    private String logs() throws IOException {
        StringBuilder logs = new StringBuilder();
        for (String vm : processes.keySet()) {
            List<String> lines = Files.readAllLines(folder.resolve(vm + ".log"), StandardCharsets.UTF_8);
            logs.append(vm)
                    .append('\n')
                    .append(String.join("\n", lines.subList(Math.max(0, lines.size() - 15), lines.size())));
        }
        return logs.toString();
    }

    /** Opens a connection to an entry, sends a request for the model and returns the connection. */
    Socket send(String entry, String identity, String parts, String extraHeaders) throws IOException {
        return sendTo(
                entry,
                "/e/" + identity,
                identity,
                "X-Model: m\r\nX-Token-Count: 100,10\r\nX-Prompt-Prefix: " + parts + "\r\n" + extraHeaders);
    }

    /** Opens a connection to an entry whose caller has a small receive buffer. */
    Socket connectWithSmallBuffer(String entry) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(16_384);
        socket.connect(new InetSocketAddress(entry, callerPort));
        socket.setSoTimeout(15_000);
        return socket;
    }

    /** Opens a connection to an entry, sends a request and returns the connection. */
    private Socket sendTo(String entry, String path, String identity, String extraHeaders) throws IOException {
        Socket socket = new Socket(entry, callerPort);
        socket.setSoTimeout(15_000);
        String request = "POST " + path + " HTTP/1.1\r\nHost: e.example\r\nX-Request-Id: " + identity
                + "\r\nX-Credential: k\r\n"
                + (extraHeaders.contains("X-Deadline-Ms") ? "" : "X-Deadline-Ms: 9000\r\n")
                + "Connection: close\r\n" + extraHeaders
                + "Content-Length: 2\r\n\r\nhi";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    /** Sends a request for the plain service and returns the whole answer, or what arrived of it. */
    String callPlain(String entry, String identity) throws IOException {
        try (Socket socket = sendPlain(entry, identity, "")) {
            return readAll(socket);
        }
    }

    /** Sends requests for the plain service to an entry at the same time and returns how many were served. */
    int callPlainAtOnce(String entry, int count) throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(count);
        try {
            List<Callable<String>> calls = new ArrayList<>();
            for (int number = 0; number < count; number++) {
                String identity = "once" + number + "-" + System.nanoTime();
                calls.add(() -> callPlain(entry, identity));
            }
            int served = 0;
            for (Future<String> answer : callers.invokeAll(calls)) {
                served += answer.get().startsWith("HTTP/1.1 200") ? 1 : 0;
            }
            return served;
        } finally {
            callers.shutdownNow();
        }
    }

    /** Opens a connection to an entry, sends a request for the plain service and returns the connection. */
    Socket sendPlain(String entry, String identity, String extraHeaders) throws IOException {
        return sendTo(entry, "/p/" + identity, identity, extraHeaders);
    }

    /** Sends a request and returns the whole answer, or what arrived of it before the connection broke. */
    String call(String entry, String identity, String parts, String extraHeaders) throws IOException {
        try (Socket socket = send(entry, identity, parts, extraHeaders)) {
            return readAll(socket);
        }
    }

    /** Returns all that a connection brings until its end. */
    static String readAll(Socket socket) throws IOException {
        StringBuilder answer = new StringBuilder();
        InputStream input = socket.getInputStream();
        try {
            int next = input.read();
            while (next >= 0) {
                answer.append((char) next);
                next = input.read();
            }
        } catch (IOException exception) {
            answer.append("<broken>");
        }
        return answer.toString();
    }

    @Override
    public void close() throws Exception {
        heartbeats.shutdownNow();
        processes.values().forEach(Process::destroyForcibly);
        for (Process process : processes.values()) {
            process.onExit().join();
        }
        for (EngineStandIn engine : engines) {
            engine.close();
        }
    }
}
