package org.borageproxy.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
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
}
