package org.borageproxy.process;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

/**
 * A fleet of VMs and simulated backend servers, each a separate process on a loopback address. {@link #close()} kills
 * every process that is still running. Used by one thread.
 */
final class FleetProcesses implements AutoCloseable {

    /** Far above the usual duration of a step, since it only bounds a hang. */
    static final Duration STEP_TIMEOUT = Duration.ofSeconds(60);

    private static final int FIRST_PORT = 12_000;
    /** The lowest port that Linux assigns to outgoing connections by default. */
    private static final int FIRST_EPHEMERAL_PORT = 32_768;

    private static final Set<Integer> RETURNED_PORTS = ConcurrentHashMap.newKeySet();
    private static final String SECRET_PREFIX = "a-secret-of-the-process-tests";

    private final Path folder;
    private final int controlCount;
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, VmPorts> ports = new LinkedHashMap<>();

    /**
     * The loopback address of a VM and its ports.
     *
     * @param vmPort the port for other VMs
     */
    record VmPorts(String host, int vmPort, int callerPort, int operatorPort, int announcementPort) {}

    /**
     * Writes the settings and credentials of the VMs; starts no process. Every VM serves callers.
     *
     * @param folder the folder for settings, credentials, data and logs
     * @param controlCount the number of VMs in the control group, which are the first ones
     * @param entryCount the number of further VMs, which are not in the control group
     */
    FleetProcesses(Path folder, int controlCount, int entryCount) throws IOException {
        this.folder = folder;
        this.controlCount = controlCount;
        Files.createDirectories(folder.resolve("secrets"));
        for (String name : List.of("vms", "operator", "announcer")) {
            Files.writeString(folder.resolve("secrets").resolve(name), SECRET_PREFIX + "-" + name);
        }
        for (int number = 1; number <= controlCount + entryCount; number++) {
            String host = "127.0.0." + (10 + number);
            ports.put(
                    "vm-" + number,
                    new VmPorts(host, findFreePort(host), findFreePort(host), findFreePort(host), findFreePort(host)));
        }
        for (String vm : ports.keySet()) {
            Files.writeString(settingsFile(vm), settings(vm));
        }
    }

    /**
     * Returns a port that no other call has returned and on which nothing listens. It lies below the ephemeral ports,
     * so that no outgoing connection takes it before the process that is to listen there.
     */
    static int findFreePort(String host) throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, FIRST_EPHEMERAL_PORT);
            if (RETURNED_PORTS.add(port) && isFree(host, port)) {
                return port;
            }
        }
    }

    private static boolean isFree(String host, int port) throws IOException {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
            return socket.isBound();
        } catch (BindException exception) {
            return false;
        }
    }

    List<String> vms() {
        return List.copyOf(ports.keySet());
    }

    VmPorts portsOf(String vm) {
        return ports.get(vm);
    }

    Path settingsFile(String vm) {
        return folder.resolve(vm + ".toml");
    }

    Path dataFolder(String vm) {
        return folder.resolve("data").resolve(vm);
    }

    String secret(String name) {
        return SECRET_PREFIX + "-" + name;
    }

    private boolean isControl(String vm) {
        return Integer.parseInt(vm.substring("vm-".length())) <= controlCount;
    }

    private String zone(String vm) {
        return "zone-" + (char) ('a' + Integer.parseInt(vm.substring("vm-".length())) % 3);
    }

    private String settings(String vm) {
        VmPorts own = ports.get(vm);
        StringBuilder text = new StringBuilder();
        text.append(table("[vm]", vm, own.host(), own.vmPort()));
        if (isControl(vm)) {
            text.append("data_folder = \"data/" + vm + "\"\n");
        }
        text.append(endpoint("callers", own.host(), own.callerPort()));
        text.append(endpoint("operators", own.host(), own.operatorPort()));
        text.append(endpoint("announcements", own.host(), own.announcementPort()));
        text.append("[control]\ngroup = \"process-tests\"\n");
        for (String other : ports.keySet()) {
            if (isControl(other)) {
                VmPorts peer = ports.get(other);
                text.append(table("[[control.vm]]", other, peer.host(), peer.vmPort()));
            }
        }
        text.append("[credentials]\nvms_file = \"secrets/vms\"\noperator_file = \"secrets/operator\"\n");
        text.append("announcer_file = \"secrets/announcer\"\n");
        text.append("[shutdown]\nnotice_millis = 500\nlimit_millis = 60000\n");
        return text.toString();
    }

    private String table(String header, String vm, String host, int port) {
        return header + "\nname = \"" + vm + "\"\navailability_zone = \"" + zone(vm) + "\"\nhost = \"" + host
                + "\"\nport = " + port + "\n";
    }

    private static String endpoint(String name, String host, int port) {
        return "[" + name + "]\nhost = \"" + host + "\"\nport = " + port + "\n";
    }

    /** Bootstraps the control group and starts every VM. */
    void startAll() throws Exception {
        for (String vm : vms()) {
            if (isControl(vm)) {
                run("bootstrap", settingsFile(vm).toString());
            }
        }
        for (String vm : vms()) {
            start(vm);
        }
    }

    void start(String vm) throws IOException {
        startProcess(vm, List.of("serve", settingsFile(vm).toString()));
    }

    void startStandIn(String name, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of("standin"));
        command.addAll(List.of(arguments));
        startProcess(name, command);
    }

    private void startProcess(String name, List<String> arguments) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(javaCommand(arguments));
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(name).toFile()));
        processes.put(name, builder.start());
    }

    private static List<String> javaCommand(List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "org.borageproxy.Borageproxy"));
        command.addAll(arguments);
        return command;
    }

    /** The exit code and the combined standard output and error of a command. */
    record CommandResult(int exitCode, String output) {}

    /** Runs a command to its end, returns its output and fails unless its exit code is zero. */
    String run(String... arguments) throws Exception {
        CommandResult result = runForResult(arguments);
        if (result.exitCode() != 0) {
            throw new AssertionError(String.join(" ", arguments) + " exited with " + result.exitCode() + "\n"
                    + result.output() + "\n" + logTails());
        }
        return result.output();
    }

    /** Runs a command to its end, whatever its exit code, and fails if it takes longer than {@link #STEP_TIMEOUT}. */
    CommandResult runForResult(String... arguments) throws Exception {
        Path output = Files.createTempFile(folder, "command", ".out");
        ProcessBuilder builder = new ProcessBuilder(javaCommand(List.of(arguments)));
        builder.redirectErrorStream(true);
        builder.redirectOutput(output.toFile());
        Process process = builder.start();
        if (!process.waitFor(STEP_TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
            process.destroyForcibly();
            throw new AssertionError(String.join(" ", arguments) + " did not exit in time\n" + logTails());
        }
        return new CommandResult(process.exitValue(), Files.readString(output));
    }

    /** Runs an operator command with the addresses of all VMs; the command tries them in turn until one handles it. */
    CommandResult runOperatorCommand(String... arguments) throws Exception {
        return runOperatorCommandExcept("", arguments);
    }

    /** Runs an operator command with the addresses of all VMs except the excluded one. */
    CommandResult runOperatorCommandExcept(String excluded, String... arguments) throws Exception {
        List<String> command = new ArrayList<>(List.of(arguments));
        command.addAll(
                List.of("--credential", folder.resolve("secrets/operator").toString()));
        for (Map.Entry<String, VmPorts> vm : ports.entrySet()) {
            if (!vm.getKey().equals(excluded)) {
                command.addAll(List.of(
                        "--vm", vm.getValue().host() + ":" + vm.getValue().operatorPort()));
            }
        }
        return runForResult(command.toArray(String[]::new));
    }

    Path logFile(String name) {
        return folder.resolve(name + ".log");
    }

    String logTails() {
        return processes.keySet().stream().map(this::logTail).collect(Collectors.joining("\n"));
    }

    private String logTail(String name) {
        try {
            List<String> lines = Files.readAllLines(logFile(name), StandardCharsets.UTF_8);
            int from = Math.max(0, lines.size() - 15);
            return "--- " + name + "\n" + String.join("\n", lines.subList(from, lines.size()));
        } catch (IOException exception) {
            return "--- " + name + ": no log";
        }
    }

    void kill(String name) throws InterruptedException {
        Process process = processes.remove(name);
        process.destroyForcibly();
        process.waitFor();
    }

    long pid(String name) {
        return processes.get(name).pid();
    }

    boolean isAlive(String name) {
        return processes.get(name).isAlive();
    }

    /** Sends the termination signal and waits for the exit code. */
    int terminate(String name) throws InterruptedException {
        Process process = processes.remove(name);
        process.destroy();
        if (!process.waitFor(STEP_TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
            process.destroyForcibly();
            throw new AssertionError(name + " did not exit after the termination signal\n" + logTail(name));
        }
        return process.exitValue();
    }

    /**
     * Sends a signal to a process without waiting for its effect.
     *
     * @param signal the name of the signal without "SIG", for example "STOP"
     */
    void signal(String name, String signal) throws Exception {
        long pid = processes.get(name).pid();
        new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
    }

    /** Polls until a condition holds and fails with the logs after {@link #STEP_TIMEOUT}. */
    void await(String description, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + STEP_TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("Timed out waiting for: " + description + "\n" + logTails());
            }
            Thread.sleep(20);
        }
    }

    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
        for (Process process : processes.values()) {
            process.onExit().join();
        }
    }
}
