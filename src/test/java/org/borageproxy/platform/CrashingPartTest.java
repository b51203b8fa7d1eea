package org.borageproxy.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Requests that crash each engine because of one part of their prompts, with real VMs and simulated engines. */
class CrashingPartTest {

    private static final int ENGINE_COUNT = 8;
    private static final int CRASH_COUNT = 5;
    /** The number of requests that may reach an engine once the part could be known. */
    private static final int TOLERATED_REQUESTS = 3;

    private static final String SHARED_PART = "a1";
    private static final String CRASHING_PART = "bad0";
    private static final long RESTART_MILLIS = 700;

    @TempDir
    Path folder;

    private final List<EngineStandIn> engines = new ArrayList<>();
    private final ScheduledExecutorService restarts = Executors.newSingleThreadScheduledExecutor();
    private PlatformFleet fleet;
    private int crashes;
    private int sentRequests;

    @BeforeEach
    void start() throws Exception {
        fleet = new PlatformFleet(folder, 2);
        for (int number = 0; number < ENGINE_COUNT; number++) {
            EngineStandIn engine = fleet.startEngine("i-" + number, "v1", number % 2 == 0);
            engine.crashOn(CRASHING_PART);
            engines.add(engine);
        }
        for (String entry : fleet.entries()) {
            for (int number = 0; !sound(entry); number++) {
                assertTrue(number < 400, entry);
            }
        }
        restarts.scheduleWithFixedDelay(this::restartEngines, RESTART_MILLIS, RESTART_MILLIS, TimeUnit.MILLISECONDS);
    }

    @AfterEach
    void stop() throws Exception {
        restarts.shutdownNow();
        fleet.close();
    }

    private synchronized void restartEngines() {
        for (EngineStandIn engine : engines) {
            try {
                if (!engine.isRunning()) {
                    engine.restart();
                    crashes++;
                }
            } catch (IOException exception) {
                // The port is still in use; the next round tries again.
            }
        }
    }

    private synchronized int crashCount() {
        return crashes
                + (int) engines.stream().filter(engine -> !engine.isRunning()).count();
    }

    private int receivedCrashingRequests() {
        return (int) engines.stream()
                .flatMap(engine -> engine.requests().stream())
                .filter(request -> request.contains(CRASHING_PART + ":"))
                .count();
    }

    /** Sends a request with the part at which engines crash; no two are alike but for that part. */
    private String crashing(String entry) throws IOException {
        sentRequests++;
        String parts = SHARED_PART + ":50," + CRASHING_PART + ":40,c" + sentRequests + ":10";
        return fleet.call(entry, "crash-" + sentRequests, parts, "X-Script: whole\r\n");
    }

    /** Sends a sound request that shares caller and first part, and returns whether it was answered. */
    private boolean sound(String entry) throws IOException {
        sentRequests++;
        String parts = SHARED_PART + ":50,b" + sentRequests % 5 + ":40,d" + sentRequests + ":10";
        String answer = fleet.call(entry, "sound-" + sentRequests, parts, "X-Script: whole\r\n");
        return answer.startsWith("HTTP/1.1 200") && answer.contains("id: " + EngineStandIn.EVENT_COUNT);
    }

    private void crashEngines(int count) throws Exception {
        long end = System.nanoTime() + PlatformFleet.STEP_TIMEOUT.toNanos();
        for (int number = 0; crashCount() < count; number++) {
            assertTrue(System.nanoTime() - end < 0, () -> crashCount() + " engines crashed");
            String answer = crashing(fleet.entries().get(number % 2));
            assertTrue(!answer.startsWith("HTTP/1.1 200"), answer);
            if (answer.contains("quarantined")) {
                return;
            }
            sound(fleet.entries().get(number % 2));
        }
    }

    /** Guards against one engine after the other crashing under requests that share only a part of their prompts. */
    @Test
    void requestsWithCrashingPartStopReachingEnginesAndSoundOnesGoOn() throws Exception {
        crashEngines(CRASH_COUNT);
        Thread.sleep(PlatformFleet.STABLE.toMillis());
        int before = receivedCrashingRequests();
        int served = 0;
        int rounds = 40;
        for (int round = 0; round < rounds; round++) {
            crashing(fleet.entries().get(round % 2));
            served += sound(fleet.entries().get(round % 2)) ? 1 : 0;
        }
        int sent = receivedCrashingRequests() - before;
        assertTrue(sent <= TOLERATED_REQUESTS, sent + " requests sent after " + crashCount() + " crashes");
        assertTrue(served >= rounds / 2, served + " of " + rounds + " sound requests served");
    }

    /** Guards against a sound part that is refused since the entry that reports the crashes has not served it. */
    @Test
    void partThatOnlyAnotherEntryHasServedIsNotRefused() throws Exception {
        String serving = fleet.entries().get(0);
        String reporting = fleet.entries().get(1);
        assertTrue(isServed(serving, "own"));
        long end = System.nanoTime() + PlatformFleet.STEP_TIMEOUT.toNanos();
        String answer = "";
        while (!answer.contains("quarantined")) {
            assertTrue(System.nanoTime() - end < 0, answer);
            sentRequests++;
            answer = fleet.call(
                    reporting,
                    "crash-" + sentRequests,
                    "own:50," + CRASHING_PART + ":40,c" + sentRequests + ":10",
                    "X-Script: whole\r\n");
        }
        Thread.sleep(PlatformFleet.STABLE.toMillis());
        int served = 0;
        int rounds = 20;
        for (int round = 0; round < rounds; round++) {
            crashing(reporting);
            served += isServed(fleet.entries().get(round % 2), "own") ? 1 : 0;
        }
        assertTrue(served >= rounds / 2, served + " of " + rounds + " sound requests served");
    }

    private boolean isServed(String entry, String part) throws IOException {
        sentRequests++;
        String parts = part + ":50,d" + sentRequests + ":10";
        return fleet.call(entry, "sound-" + sentRequests, parts, "X-Script: whole\r\n")
                .startsWith("HTTP/1.1 200");
    }

    /** Guards against an entry that forgets with its memory which parts crash engines. */
    @Test
    void restartedEntryDoesNotSendRequestsWithCrashingPart() throws Exception {
        crashEngines(CRASH_COUNT);
        String killed = fleet.entries().get(0);
        fleet.kill(killed);
        fleet.start(killed);
        fleet.awaitReady(killed);
        Thread.sleep(PlatformFleet.STABLE.toMillis());
        int before = receivedCrashingRequests();
        for (int round = 0; round < 20; round++) {
            crashing(killed);
        }
        int sent = receivedCrashingRequests() - before;
        assertTrue(sent <= TOLERATED_REQUESTS, sent + " requests sent after " + crashCount() + " crashes");
        assertTrue(sound(killed));
    }

    /** Guards against sound requests being taken for the cause because they were running when engines crashed. */
    @Test
    void requestsThatRanOnCrashedEnginesAreServedAgain() throws Exception {
        String parts = SHARED_PART + ":50,b1:40,e1:10";
        for (int round = 0; round < 3; round++) {
            List<Socket> running = new ArrayList<>();
            for (int number = 0; number < 2 * ENGINE_COUNT; number++) {
                Socket socket = fleet.send(fleet.entries().get(number % 2), "same", parts, "X-Script: hold\r\n");
                running.add(socket);
                readFirstEvent(socket);
            }
            int before = crashCount();
            crashEngines(before + 1);
            Thread.sleep(2 * RESTART_MILLIS);
            for (Socket socket : running) {
                socket.close();
            }
        }
        Thread.sleep(PlatformFleet.STABLE.toMillis());
        for (String entry : fleet.entries()) {
            String answer = fleet.call(entry, "same", parts, "X-Script: whole\r\n");
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        }
        assertEquals(
                List.of(),
                fleet.entries().stream().filter(entry -> !isSound(entry)).toList());
    }

    private boolean isSound(String entry) {
        try {
            return sound(entry);
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static void readFirstEvent(Socket socket) throws IOException {
        StringBuilder received = new StringBuilder();
        while (received.indexOf("data: v1\n") < 0) {
            int next = socket.getInputStream().read();
            assertTrue(next >= 0, () -> "answer ended: " + received);
            received.append((char) next);
        }
    }
}
