package org.borageproxy.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Planned stops of an entry, with real VMs and simulated servers. */
class StoppingEntryTest {

    private static final int SERVERS = 4;
    private static final int SHORT_GRACE_SECONDS = 3;
    private static final int USUAL_GRACE_SECONDS = 8;
    private static final long SEND_INTERVAL_MILLIS = 100;
    private static final int BYTES_PER_READ = 4_096;
    private static final long READ_PAUSE_MILLIS = 45;

    @TempDir
    Path folder;

    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final List<EngineStandIn> servers = new ArrayList<>();
    private PlatformFleet fleet;
    private String entry;

    private void start(int gracePeriodSeconds) throws Exception {
        fleet = new PlatformFleet(folder, 1, 1, gracePeriodSeconds);
        entry = fleet.entries().get(0);
        for (int number = 0; number < SERVERS; number++) {
            servers.add(fleet.startServer(PlatformFleet.PLAIN, "plain-" + number, "v1", true));
        }
        long end = System.nanoTime() + PlatformFleet.STEP_TIMEOUT.toNanos();
        int calls = 0;
        while (servers.stream().anyMatch(server -> server.requests().isEmpty())) {
            assertTrue(System.nanoTime() - end < 0, "servers are not reached");
            fleet.callPlain(entry, "warm-up-" + calls++);
        }
    }

    @AfterEach
    void stop() throws Exception {
        callers.shutdownNow();
        fleet.close();
    }

    /** Guards against requests that are passed on late in the grace period and cut at its end. */
    @Test
    void requestsPassedOnWhileTheEntryStopsAreAnswered() throws Exception {
        start(SHORT_GRACE_SECONDS);
        fleet.terminate(entry);
        Map<String, Future<String>> answers = new LinkedHashMap<>();
        long end = System.nanoTime() + PlatformFleet.STEP_TIMEOUT.toNanos();
        while (fleet.isRunning(entry)) {
            assertTrue(System.nanoTime() - end < 0, "the entry does not stop");
            String identity = "late-" + answers.size();
            answers.put(identity, callers.submit(() -> callScripted(identity, EngineStandIn.PAUSE)));
            Thread.sleep(SEND_INTERVAL_MILLIS);
        }
        List<String> cut = new ArrayList<>();
        int refused = 0;
        int served = 0;
        for (Map.Entry<String, Future<String>> answer : answers.entrySet()) {
            String text = answer.getValue().get();
            boolean isServed = text.startsWith("HTTP/1.1 200");
            served += isServed ? 1 : 0;
            if (arrivals(answer.getKey()) > 0 && !isServed) {
                cut.add(answer.getKey() + ": " + text.lines().findFirst().orElse("no answer"));
            } else if (text.startsWith("HTTP/1.1 503")) {
                assertRefusedAsNotRun(text);
                refused++;
            }
        }
        assertEquals(List.of(), cut);
        assertTrue(served > 0, "requests were served during the notice period");
        assertTrue(refused > 0, "late requests were refused");
    }

    /** Guards against another attempt, late in the grace period, of a request that a server refused as not run. */
    @Test
    void requestsRefusedByServersAfterTheNoticePeriodAreNotSentAgain() throws Exception {
        start(SHORT_GRACE_SECONDS);
        Map<String, Future<String>> answers = new LinkedHashMap<>();
        fleet.terminate(entry);
        Thread.sleep(SHORT_GRACE_SECONDS * 1_000 / 10);
        for (int number = 0; number < SERVERS; number++) {
            String identity = "rejected-" + number;
            answers.put(identity, callers.submit(() -> callScripted(identity, EngineStandIn.REJECT_LATE)));
        }
        for (Map.Entry<String, Future<String>> answer : answers.entrySet()) {
            assertRefusedAsNotRun(answer.getValue().get());
            assertTrue(arrivals(answer.getKey()) <= 1, answer.getKey() + " was sent again");
        }
        assertTrue(answers.keySet().stream().mapToLong(this::arrivals).sum() > 0, "no server was asked");
    }

    /** Guards against a request that follows another one on a connection, is passed on and cut with the connection. */
    @Test
    void requestBehindAnotherOneIsNotPassedOnWithoutAnswer() throws Exception {
        start(SHORT_GRACE_SECONDS);
        try (Socket socket = fleet.connectWithSmallBuffer(entry)) {
            String both = requestText("first", EngineStandIn.PAUSE) + requestText("second", EngineStandIn.PAUSE);
            socket.getOutputStream().write(both.getBytes(StandardCharsets.UTF_8));
            await("first");
            fleet.terminate(entry);
            String answers = PlatformFleet.readAll(socket).toLowerCase(Locale.ROOT);
            assertTrue(answers.startsWith("http/1.1 200"), answers);
            assertTrue(answers.contains("\r\nconnection: close"), answers);
            assertEquals(arrivals("second"), answers.split("http/1.1 200", -1).length - 2, answers);
        }
    }

    /** Guards against an entry that stops while callers still read complete answers slowly. */
    @Test
    void slowCallersReadTheirWholeAnswersWithinTheGracePeriod() throws Exception {
        start(USUAL_GRACE_SECONDS);
        List<Future<Integer>> bodies = new ArrayList<>();
        for (int number = 0; number < SERVERS; number++) {
            String identity = "slow-" + number;
            bodies.add(callers.submit(() -> readSlowly(identity)));
        }
        for (int number = 0; number < SERVERS; number++) {
            await("slow-" + number);
        }
        fleet.terminate(entry);
        List<Integer> lengths = new ArrayList<>();
        for (Future<Integer> body : bodies) {
            lengths.add(body.get());
        }
        assertEquals(Collections.nCopies(SERVERS, EngineStandIn.LARGE_BYTES), lengths);
    }

    private void await(String identity) throws InterruptedException {
        long end = System.nanoTime() + PlatformFleet.STEP_TIMEOUT.toNanos();
        while (arrivals(identity) == 0) {
            assertTrue(System.nanoTime() - end < 0, identity + " did not arrive");
            Thread.sleep(20);
        }
    }

    /** Returns a request that leaves its connection open. */
    private static String requestText(String identity, String script) {
        return "POST /p/" + identity + " HTTP/1.1\r\nHost: e.example\r\nX-Request-Id: " + identity
                + "\r\nX-Credential: k\r\nX-Deadline-Ms: 9000\r\nX-Script: " + script
                + "\r\nContent-Length: 2\r\n\r\nhi";
    }

    private String callScripted(String identity, String script) {
        try (Socket socket = fleet.sendPlain(entry, identity, "X-Script: " + script + "\r\n")) {
            return PlatformFleet.readAll(socket);
        } catch (IOException exception) {
            // The entry closed its port before the request was read.
            return "";
        }
    }

    private int readSlowly(String identity) throws Exception {
        try (Socket socket = fleet.connectWithSmallBuffer(entry)) {
            String request = requestText(identity, EngineStandIn.LARGE);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return readBodySlowly(socket.getInputStream());
        }
    }

    /** Returns the number of bytes of the body that were read before it was complete or the connection ended. */
    private static int readBodySlowly(InputStream input) throws Exception {
        byte[] part = new byte[BYTES_PER_READ];
        StringBuilder answer = new StringBuilder();
        int bodyStart = -1;
        while (bodyStart < 0 || answer.length() - bodyStart < EngineStandIn.LARGE_BYTES) {
            int count;
            try {
                count = input.read(part);
            } catch (IOException exception) {
                count = -1;
            }
            if (count < 0) {
                break;
            }
            answer.append(new String(part, 0, count, StandardCharsets.ISO_8859_1));
            if (bodyStart < 0 && answer.indexOf("\r\n\r\n") >= 0) {
                bodyStart = answer.indexOf("\r\n\r\n") + 4;
            }
            Thread.sleep(READ_PAUSE_MILLIS);
        }
        return bodyStart < 0 ? 0 : answer.length() - bodyStart;
    }

    private long arrivals(String identity) {
        return servers.stream()
                .flatMap(server -> server.requests().stream())
                .filter(request -> request.startsWith("POST /p/" + identity + " "))
                .count();
    }

    private static void assertRefusedAsNotRun(String answer) {
        String head = answer.toLowerCase(Locale.ROOT);
        assertTrue(head.startsWith("http/1.1 503"), answer);
        assertTrue(head.contains("\r\nretry-after: "), answer);
        assertTrue(head.contains("\r\nconnection: close"), answer);
    }
}
