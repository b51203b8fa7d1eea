package org.borageproxy.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Streams of a service whose engines run two software versions, with real VMs and simulated engines. All tests use one
 * fleet; each restarts the VMs that it kills.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class StreamVersionTest {

    private static final int STREAM_COUNT = 24;
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\S+)\n");

    private PlatformFleet fleet;

    /** A stream whose first event a caller has. */
    private record Begun(String identity, String software) {}

    @BeforeAll
    void start(@TempDir Path folder) throws Exception {
        fleet = new PlatformFleet(folder, 2);
        for (int number = 0; number < 4; number++) {
            boolean isFramed = number < 2;
            fleet.startEngine("i-" + number, number % 2 == 0 ? "v1" : "v2", isFramed);
        }
        awaitBothVersions();
    }

    private void awaitBothVersions() throws Exception {
        for (String entry : fleet.entries()) {
            TreeSet<String> seen = new TreeSet<>();
            for (int number = 0; seen.size() < 2; number++) {
                assertTrue(number < 400, () -> entry + " reaches " + seen);
                seen.addAll(versions(call(entry, "warm-" + entry + number, EngineStandIn.WHOLE, "")));
            }
        }
    }

    @AfterAll
    void stop() throws Exception {
        fleet.close();
    }

    private String call(String entry, String identity, String script, String headers) throws IOException {
        return fleet.call(
                entry, identity, identity + "p:50," + identity + ":50", "X-Script: " + script + "\r\n" + headers);
    }

    private static TreeSet<String> versions(String answer) {
        TreeSet<String> versions = new TreeSet<>();
        EVENT.matcher(answer).results().forEach(event -> versions.add(event.group(2)));
        return versions;
    }

    /**
     * Begins streams at an entry, several at each version. The callers leave when all have the first event, since the
     * load of the streams is what spreads them over the engines.
     */
    private List<Begun> begin(String entry, String prefix) throws IOException {
        List<Begun> streams = new ArrayList<>();
        List<Socket> callers = new ArrayList<>();
        try {
            for (int number = 0; number < STREAM_COUNT || !hasSeveralOfEachVersion(streams); number++) {
                assertTrue(number < 10 * STREAM_COUNT, () -> "" + streams);
                String identity = prefix + number;
                Socket caller = fleet.send(
                        entry,
                        identity,
                        identity + "p:50," + identity + ":50",
                        "X-Script: " + EngineStandIn.HOLD + "\r\n");
                callers.add(caller);
                streams.add(new Begun(identity, firstEvent(caller)));
            }
        } finally {
            for (Socket caller : callers) {
                caller.close();
            }
        }
        return streams;
    }

    private static boolean hasSeveralOfEachVersion(List<Begun> streams) {
        return List.of("v1", "v2").stream()
                .allMatch(version -> streams.stream()
                                .filter(stream -> stream.software().equals(version))
                                .count()
                        >= STREAM_COUNT / 4);
    }

    private static String firstEvent(Socket socket) throws IOException {
        StringBuilder received = new StringBuilder();
        Optional<String> software = Optional.empty();
        while (software.isEmpty()) {
            int next = socket.getInputStream().read();
            assertTrue(next >= 0, () -> "answer ended: " + received);
            received.append((char) next);
            Matcher matcher = EVENT.matcher(received);
            software = matcher.find() ? Optional.of(matcher.group(2)) : Optional.empty();
        }
        return software.get();
    }

    private String takeUp(String entry, String identity, String begunBy) throws IOException {
        return call(entry, identity, EngineStandIn.WHOLE, "Last-Event-Id: 1\r\nResumes: " + begunBy + "\r\n");
    }

    /** Takes streams up at an entry: none goes on at another version, and at least half go on. */
    private void assertGoOnAtTheirVersion(String entry, List<Begun> streams) throws IOException {
        List<String> mixed = new ArrayList<>();
        int resumed = 0;
        for (Begun stream : streams) {
            String answer = takeUp(entry, "again-" + stream.identity(), stream.identity());
            if (answer.startsWith("HTTP/1.1 200")) {
                resumed++;
                if (!versions(answer).equals(new TreeSet<>(List.of(stream.software())))) {
                    mixed.add(stream + " " + versions(answer));
                }
            } else {
                assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            }
        }
        assertEquals(List.of(), mixed);
        assertTrue(resumed >= streams.size() / 2, resumed + " of " + streams.size());
    }

    /** Guards against events of two software versions in one stream: the caller takes it up at another VM. */
    @Test
    void streamThatCallerTakesUpAtAnotherVmStaysAtVersionThatBeganIt() throws Exception {
        List<Begun> streams = begin(fleet.entries().get(0), "s");
        Thread.sleep(300);
        assertGoOnAtTheirVersion(fleet.entries().get(1), streams);
    }

    /** Guards against events of two software versions in one stream: the VM that began it is killed. */
    @Test
    void streamOfKilledVmStaysAtVersionThatBeganIt() throws Exception {
        String killed = fleet.entries().get(0);
        List<Begun> streams = begin(killed, "k");
        Thread.sleep(300);
        fleet.kill(killed);
        assertGoOnAtTheirVersion(fleet.entries().get(1), streams);
        fleet.start(killed);
        fleet.awaitReady(killed);
        awaitResumption(killed, streams.get(0));
        assertGoOnAtTheirVersion(killed, streams);
    }

    /** Guards against events of two software versions in one stream: the control VM lost what it had been told. */
    @Test
    void streamStaysAtVersionThatBeganItAfterCoordinatorRestarted() throws Exception {
        List<Begun> streams = begin(fleet.entries().get(0), "c");
        fleet.kill(fleet.control());
        List<String> mixed = new ArrayList<>();
        for (Begun stream : streams) {
            String answer = takeUp(fleet.entries().get(1), "cut-" + stream.identity(), stream.identity());
            if (answer.startsWith("HTTP/1.1 200")
                    && !versions(answer).equals(new TreeSet<>(List.of(stream.software())))) {
                mixed.add(stream + " " + versions(answer));
            }
        }
        assertEquals(List.of(), mixed);
        fleet.start(fleet.control());
        awaitResumption(fleet.entries().get(1), streams.get(0));
        assertGoOnAtTheirVersion(fleet.entries().get(1), streams);
    }

    /** Waits until an entry resumes a stream, for at most twice the time in which the fleet agrees again. */
    private void awaitResumption(String entry, Begun stream) throws Exception {
        long end = System.nanoTime() + 2 * PlatformFleet.STABLE.toNanos();
        String answer = takeUp(entry, "await", stream.identity());
        while (!answer.startsWith("HTTP/1.1 200") && System.nanoTime() - end < 0) {
            Thread.sleep(100);
            answer = takeUp(entry, "await", stream.identity());
        }
    }

    /** Guards against events of two software versions in one answer: the engine breaks off inside an event. */
    @Test
    void streamThatEngineBreaksOffGoesOnAtItsVersionInOneAnswer() throws Exception {
        int whole = 0;
        for (int number = 0; number < STREAM_COUNT; number++) {
            String answer = call(fleet.entries().get(0), "b" + number, EngineStandIn.BREAK, "");
            assertEquals(1, versions(answer).size(), answer);
            whole += answer.contains("id: " + EngineStandIn.EVENT_COUNT) ? 1 : 0;
        }
        assertTrue(whole >= STREAM_COUNT / 2, whole + " of " + STREAM_COUNT);
    }

    /** Guards against a stream that goes on at any version because no VM knows which one began it. */
    @Test
    void streamThatNoVmKnowsIsRefusedAtOnceAndNotSent() throws Exception {
        int sent = fleet.requestCount();
        for (String entry : fleet.entries()) {
            long startedAt = System.nanoTime();
            String answer = takeUp(entry, "again-" + entry, "nobody-knows");
            assertTrue(answer.startsWith("HTTP/1.1 503") && answer.toLowerCase().contains("retry-after: "), answer);
            assertTrue(System.nanoTime() - startedAt < 2_000_000_000L, answer);
        }
        assertEquals(sent, fleet.requestCount());
    }
}
