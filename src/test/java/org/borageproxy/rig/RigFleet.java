package org.borageproxy.rig;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A control VM, two entries, three plain servers and three stream servers, each a separate process on a loopback
 * address; one server of each kind is behind a {@link LoopbackProxy}. Servers that ask for it are killed and started
 * again, or frozen. {@link #close()} ends every process. Thread safe after its start.
 */
final class RigFleet implements AutoCloseable {

    static final String SAFE = "/s/";
    static final String ONCE = "/o/";
    static final String RESUMABLE_STREAM = "/t/";
    static final String ONCE_STREAM = "/u/";
    static final String HEALTH = "/healthz";

    private static final String PREFIX = "127.0.40.";
    private static final String CONTROL = PREFIX + "10";
    private static final List<String> ENTRIES = List.of(PREFIX + "11", PREFIX + "12");
    private static final int SERVERS_OF_A_KIND = 3;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final int OK = 200;
    private static final String ROUTE = """
            {"Name":"%s","Host":"r.example","PathPrefix":"%s","Type":"%s","TimeoutMs":4000,"TargetLatencyMs":500,
            "Priority":1,"Service":"%s","MaxAttempts":2%s}""";
    private static final String SERVICE = """
            {"Name":"%s","HealthPath":"/healthz","MaxConnections":90}""";

    private final Path folder;
    private final long seed;
    private final Random random;
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final List<Disturbance> disturbances = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService restarts = Executors.newSingleThreadScheduledExecutor();
    private final List<Integer> ports;
    /** Ends the processes if this one is ended before {@link #close()}. */
    private final Thread endProcesses = new Thread(this::end);

    private boolean isClosed;

    /**
     * What was done to a server.
     *
     * @param server the id of the incarnation
     * @param kind what was done
     * @param fromMillis the start
     * @param toMillis the end; the greatest value for a kill
     */
    record Disturbance(String server, String kind, long fromMillis, long toMillis) {}

    /** A place of a server, at which one incarnation after the other runs. */
    private record Place(String name, String service, String address, int port, int announcedPort) {}

    /** Starts all processes and waits until requests of all kinds are served. */
    RigFleet(Path folder, long seed) throws Exception {
        this.folder = folder;
        this.seed = seed;
        random = new Random(seed);
        ports = freePorts(4);
        Runtime.getRuntime().addShutdownHook(endProcesses);
        try {
            startVm(CONTROL);
            for (String entry : ENTRIES) {
                startVm(entry);
            }
            startServers();
            awaitOk(CONTROL, ports.get(3), "/Config.Replace", publication());
            for (String entry : ENTRIES) {
                awaitOk(entry, ports.get(2), "/readyz", "");
                for (String route : List.of(SAFE, RESUMABLE_STREAM)) {
                    awaitOk(entry, ports.get(1), route + "start", "");
                }
            }
        } catch (Exception | AssertionError exception) {
            close();
            throw exception;
        }
    }

    private static String publication() {
        return "{\"Version\":1,\"Routes\":["
                + String.join(
                        ",",
                        ROUTE.formatted("safe", SAFE, "safe", "plain", ""),
                        ROUTE.formatted("once", ONCE, "unsafe", "plain", ""),
                        ROUTE.formatted(
                                "resumable",
                                RESUMABLE_STREAM,
                                "streaming",
                                "streams",
                                ",\"Resumable\":true,\"TargetGapMs\":400"),
                        ROUTE.formatted("stream", ONCE_STREAM, "streaming", "streams", ",\"TargetGapMs\":400"))
                + "],\"Services\":[" + SERVICE.formatted("plain") + "," + SERVICE.formatted("streams")
                + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
                + "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"w\",\"ApiKeys\":[\"k\"],\"Priority\":1,"
                + "\"Unit\":\"requests\",\"RatePerS\":0,\"Burst\":0}]}";
    }

    /** Returns ports that are free on the addresses of all VMs and differ from one another. */
    private static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        List<Integer> free = new ArrayList<>();
        try {
            while (free.size() < count) {
                ServerSocket first = bind(CONTROL, 0);
                held.add(first);
                try {
                    for (String entry : ENTRIES) {
                        held.add(bind(entry, first.getLocalPort()));
                    }
                    free.add(first.getLocalPort());
                } catch (IOException exception) {
                    // Another process uses the port on one of the addresses; the next one is tried.
                    continue;
                }
            }
        } finally {
            for (ServerSocket socket : held) {
                socket.close();
            }
        }
        return free;
    }

    private static ServerSocket bind(String address, int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(false);
        socket.bind(new InetSocketAddress(address, port), 1);
        return socket;
    }

    private static int freePort(String address) throws IOException {
        try (ServerSocket socket = bind(address, 0)) {
            return socket.getLocalPort();
        }
    }

    List<InetSocketAddress> entries() {
        return ENTRIES.stream()
                .map(entry -> new InetSocketAddress(entry, ports.get(1)))
                .toList();
    }

    List<Disturbance> disturbances() {
        return disturbances;
    }

    /** Returns the log lines of the entries that name a request. */
    List<String> logLines(String requestId) throws IOException {
        List<String> lines = new ArrayList<>();
        for (String entry : ENTRIES) {
            Files.readAllLines(folder.resolve(entry + ".log")).stream()
                    .filter(line -> line.contains(requestId))
                    .forEach(lines::add);
        }
        return lines;
    }

    private void startVm(String vm) throws IOException {
        boolean isControl = vm.equals(CONTROL);
        String settings = "NodeName = \"vm-" + vm + "\"\nIp = \"" + vm + "\"\nZone = \"a\"\nBootstrap = true\n"
                + "HeartbeatMs = 300\n"
                + (isControl ? "DataDir = \"" + folder.resolve("data") + "\"\n" : "")
                + "InternalPortRange = [" + ports.get(0) + ", " + ports.get(0) + "]\nSeedNodes = [\"" + CONTROL + ":"
                + ports.get(3) + "\"]\n[Listen]\n"
                + (isControl
                        ? "ControlPlane = \"" + vm + ":" + ports.get(3) + "\"\n"
                        : "FrontAddr = \"" + vm + ":" + ports.get(1) + "\"\nReadyAddr = \"" + vm + ":" + ports.get(2)
                                + "\"\n")
                + "[Bounds]\nGraceS = 3\nRetryBudgetRatio = 0.2\nRetryBudgetSlack = 200\n[Zones]\na = \"near\"\n";
        Path file = Files.writeString(folder.resolve(vm + ".toml"), settings);
        ProcessBuilder builder = java("128m", "org.borageproxy.Borageproxy", "platform");
        builder.environment().put("BORAGEPROXY_BOOT", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(folder.resolve(vm + ".log").toFile());
        processes.put(vm, builder.start());
    }

    private static ProcessBuilder java(String heap, String... arguments) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx" + heap,
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path")));
        command.addAll(List.of(arguments));
        return new ProcessBuilder(command);
    }

    private void startServers() throws IOException {
        int address = 20;
        for (String service : List.of("plain", "streams")) {
            for (int number = 0; number < SERVERS_OF_A_KIND; number++) {
                String host = PREFIX + address;
                address++;
                int port = freePort(host);
                int announced = port;
                if (number == 0) {
                    announced = freePort(host);
                    Process proxy = java("32m", LoopbackProxy.class.getName(), host, "" + announced, "" + port)
                            .redirectErrorStream(true)
                            .redirectOutput(
                                    folder.resolve("proxy-" + service + ".log").toFile())
                            .start();
                    processes.put("proxy-" + service, proxy);
                }
                startServer(new Place("i-" + service + number, service, host, port, announced), 1);
            }
        }
    }

    private synchronized void startServer(Place place, int incarnation) throws IOException {
        if (isClosed) {
            return;
        }
        String id = place.name() + "-" + incarnation;
        Process process = java(
                        "48m",
                        RigServer.class.getName(),
                        id,
                        place.service(),
                        place.address(),
                        "" + place.port(),
                        "" + place.announcedPort(),
                        CONTROL + ":" + ports.get(3),
                        "" + seed,
                        folder.resolve(id + ".record").toString())
                .redirectError(folder.resolve(id + ".log").toFile())
                .start();
        processes.put(place.name(), process);
        RigServer.startThread(() -> obey(place, incarnation, process));
    }

    /** Kills or freezes a server when it asks for it. */
    private void obey(Place place, int incarnation, Process process) {
        String id = place.name() + "-" + incarnation;
        try (BufferedReader lines = process.inputReader()) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                long from = System.currentTimeMillis();
                if (line.equals(RigServer.KILL)) {
                    disturbances.add(new Disturbance(id, line, from, Long.MAX_VALUE));
                    process.destroyForcibly();
                    process.onExit().join();
                    restart(place, incarnation + 1);
                    return;
                }
                if (line.equals(RigServer.FREEZE)) {
                    signal(process, "STOP");
                    RigServer.sleep(pause(150, 900));
                    signal(process, "CONT");
                    disturbances.add(new Disturbance(id, line, from, System.currentTimeMillis()));
                }
            }
        } catch (IOException exception) {
            // The process has ended.
        }
        disturbances.add(new Disturbance(id, "ended", System.currentTimeMillis(), Long.MAX_VALUE));
        restart(place, incarnation + 1);
    }

    private synchronized long pause(int minMillis, int maxMillis) {
        return random.nextLong(minMillis, maxMillis);
    }

    private void restart(Place place, int incarnation) {
        Runnable start = () -> {
            try {
                startServer(place, incarnation);
            } catch (IOException exception) {
                throw new UncheckedIOException(exception);
            }
        };
        long delayMillis = pause(200, 700);
        synchronized (this) {
            if (!isClosed) {
                restarts.schedule(start, delayMillis, TimeUnit.MILLISECONDS);
            }
        }
    }

    private static void signal(Process process, String signal) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Repeats a call on connections of its own until it is answered with 200. */
    private static void awaitOk(String host, int port, String path, String body) throws Exception {
        long end = System.nanoTime() + START_TIMEOUT.toNanos();
        String answer = "";
        for (int status = 0; status != OK; ) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError(host + ":" + port + path + " answered " + answer);
            }
            String id = "start" + System.nanoTime();
            try (Socket socket = new Socket(host, port)) {
                socket.setSoTimeout(5_000);
                String head = (body.isEmpty() ? "GET " : "POST ") + path + " HTTP/1.1\r\nHost: r.example\r\n"
                        + "X-Request-Id: " + id + "\r\nX-Credential: k\r\nX-Deadline-Ms: 3000\r\n"
                        + "Connection: close\r\nContent-Length: " + body.length() + "\r\n\r\n";
                socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
                CallerRecord.Attempt attempt =
                        new CallerRecord.Attempt(id, path, 0, host, false, System.currentTimeMillis());
                CallerRecord record = CallerRecord.read(attempt, socket.getInputStream());
                status = record.status();
                answer = record.toString();
            } catch (IOException exception) {
                answer = exception.toString();
            }
            Thread.sleep(status == OK ? 0 : 100);
        }
    }

    private List<Process> end() {
        synchronized (this) {
            isClosed = true;
            restarts.shutdownNow();
            List<Process> started = List.copyOf(processes.values());
            started.forEach(Process::destroyForcibly);
            return started;
        }
    }

    @Override
    public void close() {
        for (Process process : end()) {
            process.onExit().join();
        }
        Runtime.getRuntime().removeShutdownHook(endProcesses);
    }
}
