package org.borageproxy.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Servers that send bytes without end or fall silent for a while, with real VMs and simulated servers. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class TroubledServerTest {

    /** Far more than an entry may hold of one answer. */
    private static final int READ_BYTES = 4 << 20;

    private static final Duration STALL_DEADLINE = Duration.ofMillis(2_500);
    /** The time after which a server must have been left once its caller's deadline has passed. */
    private static final Duration TOLERATED_DELAY = Duration.ofMillis(500);

    private static final long MALFORMED_SEED = 20261204;
    private static final int MALFORMED_READ_MILLIS = 60;

    private final List<EngineStandIn> servers = new ArrayList<>();
    private PlatformFleet fleet;
    private int calls;

    @BeforeAll
    void start(@TempDir Path folder) throws Exception {
        fleet = new PlatformFleet(folder, 2);
        for (String service : List.of(PlatformFleet.ENGINES, PlatformFleet.PLAIN)) {
            for (int number = 0; number < 2; number++) {
                servers.add(fleet.startServer(service, service + "-" + number, "v1", true));
            }
        }
        for (String entry : fleet.entries()) {
            await(() -> isServed(entry));
        }
    }

    @AfterAll
    void stop() throws Exception {
        fleet.close();
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + PlatformFleet.STEP_TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() - end < 0, "condition not met");
            Thread.sleep(50);
        }
    }

    private boolean isServed(String entry) {
        calls++;
        try {
            return fleet.call(entry, "e" + calls, "a:50,b" + calls + ":50", "").startsWith("HTTP/1.1 200")
                    && fleet.callPlain(entry, "p" + calls).startsWith("HTTP/1.1 200");
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private Socket send(boolean isForEngine, String script) throws IOException {
        calls++;
        String header = "X-Script: " + script + "\r\n";
        String entry = fleet.entries().get(calls % 2);
        return isForEngine
                ? fleet.send(entry, "t" + calls, "a:50,t" + calls + ":50", header)
                : fleet.sendPlain(entry, "t" + calls, header);
    }

    /** Waits until no server sends an endless answer, and checks that all entries still serve. */
    private void assertAllIsWell() throws Exception {
        await(() -> servers.stream().allMatch(server -> server.endlessAnswers() == 0));
        for (String entry : fleet.entries()) {
            await(() -> isServed(entry));
        }
    }

    /** Guards against entries that fill their memory with bytes that are no answer, or wait for their end. */
    @Test
    void answersThatAreNoneAreGivenUp() throws Exception {
        for (String script : List.of(EngineStandIn.ENDLESS_HEAD, EngineStandIn.ENDLESS_INTERIM)) {
            for (boolean isForEngine : List.of(true, false)) {
                try (Socket socket = send(isForEngine, script)) {
                    String answer = PlatformFleet.readAll(socket);
                    assertTrue(answer.startsWith("HTTP/1.1 502"), script + ": " + answer);
                }
            }
        }
        assertAllIsWell();
    }

    /** Guards against an event without end that fills the memory of an entry. */
    @Test
    void eventWithoutEndIsGivenUp() throws Exception {
        try (Socket socket = send(true, EngineStandIn.ENDLESS_BODY)) {
            String answer = PlatformFleet.readAll(socket);
            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
        }
        assertAllIsWell();
    }

    /** Guards against a body without end that is read on after its caller has left. */
    @Test
    void bodyWithoutEndIsGivenUpWithItsCaller() throws Exception {
        try (Socket socket = send(false, EngineStandIn.ENDLESS_BODY)) {
            assertEquals(READ_BYTES, socket.getInputStream().readNBytes(READ_BYTES).length);
        }
        assertAllIsWell();
    }

    /** Guards against a sound server that falls silent for a moment being given up, or asked twice. */
    @Test
    void shortSilenceChangesNothing() throws Exception {
        for (boolean isForEngine : List.of(true, false)) {
            String identity = "t" + (calls + 1);
            try (Socket socket = send(isForEngine, EngineStandIn.PAUSE)) {
                String answer = PlatformFleet.readAll(socket);
                assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
                assertTrue(!isForEngine || answer.contains("id: " + EngineStandIn.EVENT_COUNT), answer);
            }
            long sends = servers.stream()
                    .flatMap(server -> server.requests().stream())
                    .filter(request -> request.contains("/" + identity + " "))
                    .count();
            assertEquals(1, sends);
        }
        assertAllIsWell();
    }

    /** Guards against streams that are cut because they are slow, though each event arrives before their deadline. */
    @Test
    void slowStreamIsDeliveredWhole() throws Exception {
        try (Socket socket = send(true, EngineStandIn.SLOW)) {
            String answer = PlatformFleet.readAll(socket);
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
            for (int number = 1; number <= EngineStandIn.EVENT_COUNT; number++) {
                assertTrue(answer.contains("id: " + number + "\n"), answer);
            }
            assertTrue(answer.endsWith("0\r\n\r\n"), answer);
        }
    }

    /** Guards against streams that never end, since a byte now and then counts as progress. */
    @Test
    void stalledStreamIsCutAtItsDeadlineAndItsServerIsLeft() throws Exception {
        long startedAtNanos = System.nanoTime();
        calls++;
        String header = "X-Script: " + EngineStandIn.STALL + "\r\nX-Deadline-Ms: " + STALL_DEADLINE.toMillis() + "\r\n";
        try (Socket socket = fleet.send(fleet.entries().get(0), "t" + calls, "a:50,t" + calls + ":50", header)) {
            String answer = PlatformFleet.readAll(socket);
            long tookMillis = (System.nanoTime() - startedAtNanos) / 1_000_000;
            assertTrue(answer.startsWith("HTTP/1.1 200") && answer.contains("id: 1\n"), answer);
            assertTrue(!answer.endsWith("0\r\n\r\n") && !answer.contains("id: 2\n"), answer);
            assertTrue(tookMillis < STALL_DEADLINE.plus(TOLERATED_DELAY).toMillis(), tookMillis + " ms");
        }
        assertAllIsWell();
    }

    /** Guards against input that is no message, or one with absurd values, and ends the process that reads it. */
    @Test
    void malformedInputEndsNoProcess() throws Exception {
        List<String> vms = new ArrayList<>(fleet.entries());
        vms.add(fleet.control());
        Random random = new Random(MALFORMED_SEED);
        for (String vm : vms) {
            for (InetSocketAddress address : fleet.listeningAddresses(vm)) {
                for (byte[] input : malformedInputs(random)) {
                    sendAndReadShortly(address, input);
                }
            }
        }
        for (String vm : vms) {
            assertTrue(fleet.isRunning(vm), vm);
        }
        assertAllIsWell();
    }

    private static List<byte[]> malformedInputs(Random random) {
        List<byte[]> inputs = new ArrayList<>();
        for (int length : List.of(1, 64, 4_096)) {
            byte[] bytes = new byte[length];
            random.nextBytes(bytes);
            inputs.add(bytes);
        }
        String nested = "[".repeat(20_000);
        for (String body : List.of("{", nested, "{\"Version\":1e999}", "{\"born\":\"x\",\"Sequence\":-1}", "\u0000")) {
            for (String path : List.of("/Replicas.Heartbeat/x", "/Replicas.Deregister/x", "/Config.Replace", "/e/x")) {
                inputs.add(bytes("POST " + path + " HTTP/1.1\r\nHost: e.example\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body));
            }
        }
        for (String header : List.of(
                "X-Token-Count: 99999999999999999999,-1",
                "X-Token-Count: ,",
                "X-Prompt-Prefix: a:-1,:,b",
                "X-Deadline-Ms: -5",
                "X-Deadline-Ms: 99999999999999999999",
                "Last-Event-Id: \u0001",
                "Content-Length: -1")) {
            inputs.add(bytes(
                    "POST /e/x HTTP/1.1\r\nHost: e.example\r\nX-Request-Id: m\r\nX-Credential: k\r\nX-Model: m\r\n"
                            + header + "\r\n\r\n"));
        }
        return inputs;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sends input and waits a moment for an answer; a connection that the VM closes is in order. */
    private static void sendAndReadShortly(InetSocketAddress address, byte[] input) {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(MALFORMED_READ_MILLIS);
            socket.getOutputStream().write(input);
            socket.getOutputStream().flush();
            socket.getInputStream().read(new byte[512]);
        } catch (IOException exception) {
            // Closed, reset or silent; the test asserts that the process still serves.
        }
    }
}
