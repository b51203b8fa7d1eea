package org.borageproxy.platform;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

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

    private PlatformFleet fleet;
    private VersionedStreams callers;

    @BeforeAll
    void start(@TempDir Path folder) throws Exception {
        fleet = new PlatformFleet(folder, 2);
        for (int number = 0; number < 4; number++) {
            boolean isFramed = number < 2;
            fleet.startEngine("i-" + number, number % 2 == 0 ? "v1" : "v2", isFramed);
        }
        callers = new VersionedStreams(fleet);
        callers.awaitBothVersions();
    }

    @AfterAll
    void stop() throws Exception {
        fleet.close();
    }

    /** Takes streams up at an entry: none goes on at another version, and at least half go on. */
    private void assertGoOnAtTheirVersion(String entry, List<VersionedStreams.Begun> streams) throws IOException {
        List<String> mixed = new ArrayList<>();
        int resumed = 0;
        for (VersionedStreams.Begun stream : streams) {
            String answer = callers.takeUp(entry, "again-" + stream.identity(), stream.identity());
            if (answer.startsWith("HTTP/1.1 200")) {
                resumed++;
                if (!VersionedStreams.versions(answer).equals(Set.of(stream.software()))) {
                    mixed.add(stream + " " + VersionedStreams.versions(answer));
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
        List<VersionedStreams.Begun> streams = callers.begin(fleet.entries().get(0), "s");
        Thread.sleep(300);
        assertGoOnAtTheirVersion(fleet.entries().get(1), streams);
    }

    /** Guards against events of two software versions in one stream: the VM that began it is killed. */
    @Test
    void streamOfKilledVmStaysAtVersionThatBeganIt() throws Exception {
        String killed = fleet.entries().get(0);
        List<VersionedStreams.Begun> streams = callers.begin(killed, "k");
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
        List<VersionedStreams.Begun> streams = callers.begin(fleet.entries().get(0), "c");
        fleet.kill(fleet.control());
        List<String> mixed = new ArrayList<>();
        for (VersionedStreams.Begun stream : streams) {
            String answer = callers.takeUp(fleet.entries().get(1), "cut-" + stream.identity(), stream.identity());
            if (answer.startsWith("HTTP/1.1 200")
                    && !VersionedStreams.versions(answer).equals(Set.of(stream.software()))) {
                mixed.add(stream + " " + VersionedStreams.versions(answer));
            }
        }
        assertEquals(List.of(), mixed);
        fleet.start(fleet.control());
        awaitResumption(fleet.entries().get(1), streams.get(0));
        assertGoOnAtTheirVersion(fleet.entries().get(1), streams);
    }

    /** Waits until an entry resumes a stream, for at most twice the time in which the fleet agrees again. */
    private void awaitResumption(String entry, VersionedStreams.Begun stream) throws Exception {
        long end = System.nanoTime() + 2 * PlatformFleet.STABLE.toNanos();
        String answer = callers.takeUp(entry, "await", stream.identity());
        while (!answer.startsWith("HTTP/1.1 200") && System.nanoTime() - end < 0) {
            Thread.sleep(100);
            answer = callers.takeUp(entry, "await", stream.identity());
        }
    }

    /** Guards against events of two software versions in one answer: the engine breaks off inside an event. */
    @Test
    void streamThatEngineBreaksOffGoesOnAtItsVersionInOneAnswer() throws Exception {
        int whole = 0;
        for (int number = 0; number < VersionedStreams.STREAM_COUNT; number++) {
            String answer = callers.call(fleet.entries().get(0), "b" + number, EngineStandIn.BREAK, "");
            assertEquals(1, VersionedStreams.versions(answer).size(), answer);
            whole += answer.contains("id: " + EngineStandIn.EVENT_COUNT) ? 1 : 0;
        }
        assertTrue(whole >= VersionedStreams.STREAM_COUNT / 2, whole + " of " + VersionedStreams.STREAM_COUNT);
    }

    /** Guards against a stream that goes on at any version because no VM knows which one began it. */
    @Test
    void streamThatNoVmKnowsIsRefusedAtOnceAndNotSent() throws Exception {
        int sent = fleet.requestCount();
        for (String entry : fleet.entries()) {
            long startedAt = System.nanoTime();
            String answer = callers.takeUp(entry, "again-" + entry, "nobody-knows");
            assertTrue(answer.startsWith("HTTP/1.1 503") && answer.toLowerCase().contains("retry-after: "), answer);
            assertTrue(System.nanoTime() - startedAt < 2_000_000_000L, answer);
        }
        assertEquals(sent, fleet.requestCount());
    }
}
