package org.borageproxy.platform;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Streams that callers take up after all entries were killed at once, with real VMs and simulated engines of two
 * software versions.
 */
class SplicedStreamTest {

    @TempDir
    Path folder;

    private final List<EngineStandIn> old = new ArrayList<>();
    private PlatformFleet fleet;
    private VersionedStreams callers;

    @BeforeEach
    void start() throws Exception {
        fleet = new PlatformFleet(folder, 2);
        for (int number = 0; number < 4; number++) {
            EngineStandIn engine = fleet.startEngine("i-" + number, number % 2 == 0 ? "v1" : "v2", number < 2);
            if (engine.software().equals("v1")) {
                old.add(engine);
            }
        }
        callers = new VersionedStreams(fleet);
        callers.awaitBothVersions();
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    private void restart(List<String> vms) throws Exception {
        for (String vm : vms) {
            fleet.kill(vm);
        }
        for (String vm : vms) {
            fleet.start(vm);
        }
        for (String entry : fleet.entries()) {
            fleet.awaitReady(entry);
        }
    }

    /** Takes streams up with some headers and returns how many go on; none may go on at another version. */
    private int takeUp(List<VersionedStreams.Begun> streams, String prefix, boolean isNamed) throws IOException {
        List<String> spliced = new ArrayList<>();
        int resumed = 0;
        for (VersionedStreams.Begun stream : streams) {
            for (String entry : fleet.entries()) {
                String headers = "Last-Event-Id: 1\r\n" + (isNamed ? "Resumes: " + stream.identity() + "\r\n" : "");
                String answer =
                        callers.call(entry, prefix + stream.identity() + "-" + entry, EngineStandIn.WHOLE, headers);
                if (answer.startsWith("HTTP/1.1 200")) {
                    resumed++;
                    if (!VersionedStreams.versions(answer).equals(Set.of(stream.software()))) {
                        spliced.add(stream + " " + VersionedStreams.versions(answer));
                    }
                } else {
                    assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
                }
            }
        }
        assertEquals(List.of(), spliced);
        return resumed;
    }

    /** Guards against events of two versions in one stream: the old version has left, and no VM remembers a stream. */
    @Test
    void streamIsNotTakenUpAtTheOnlyVersionLeftAfterAllVmsRestarted() throws Exception {
        List<VersionedStreams.Begun> streams = callers.begin(fleet.entries().get(0), "o");
        Thread.sleep(300);
        for (EngineStandIn engine : old) {
            engine.close();
        }
        List<String> vms = new ArrayList<>(fleet.entries());
        vms.add(fleet.control());
        restart(vms);
        awaitServed();
        takeUp(streams, "unnamed", false);
        takeUp(streams, "named", true);
    }

    /**
     * Guards against streams that nobody can resume, since all VMs were killed and the coordinator's table is empty.
     */
    @Test
    void streamsGoOnAtTheirVersionAfterAllVmsRestarted() throws Exception {
        List<VersionedStreams.Begun> streams = callers.begin(fleet.entries().get(0), "a");
        Thread.sleep(300);
        List<String> vms = new ArrayList<>(fleet.entries());
        vms.add(fleet.control());
        restart(vms);
        callers.awaitBothVersions();
        int resumed = takeUp(streams, "named", true);
        assertTrue(resumed >= streams.size(), resumed + " of " + 2 * streams.size());
    }

    /**
     * Guards against resumptions at a wrong version, or at none, after a kill of all entries; the coordinator stays.
     */
    @Test
    void streamsGoOnAtTheirVersionAfterAllEntriesRestarted() throws Exception {
        List<VersionedStreams.Begun> streams = callers.begin(fleet.entries().get(0), "e");
        Thread.sleep(300);
        restart(fleet.entries());
        takeUp(streams, "unnamed", false);
        callers.awaitBothVersions();
        int resumed = takeUp(streams, "named", true);
        assertTrue(resumed >= streams.size(), resumed + " of " + 2 * streams.size());
    }

    /** Guards against a second resumption that finds no version: the caller names the attempt that resumed. */
    @Test
    void streamGoesOnWhenItsLatestAttemptIsNamed() throws Exception {
        List<VersionedStreams.Begun> streams = callers.begin(fleet.entries().get(0), "l");
        Thread.sleep(300);
        List<VersionedStreams.Begun> resumed = new ArrayList<>();
        for (VersionedStreams.Begun stream : streams) {
            String identity = "second-" + stream.identity();
            String answer = callers.takeUp(fleet.entries().get(1), identity, stream.identity());
            if (answer.startsWith("HTTP/1.1 200")) {
                resumed.add(new VersionedStreams.Begun(identity, stream.software()));
            }
        }
        Thread.sleep(300);
        assertTrue(takeUp(resumed, "third", true) >= streams.size(), () -> "" + resumed.size());
    }

    private void awaitServed() throws Exception {
        for (String entry : fleet.entries()) {
            long end = System.nanoTime() + PlatformFleet.STEP_TIMEOUT.toNanos();
            while (!callers.call(entry, "await" + System.nanoTime(), EngineStandIn.WHOLE, "")
                    .startsWith("HTTP/1.1 200")) {
                assertTrue(System.nanoTime() - end < 0, entry);
                Thread.sleep(50);
            }
        }
    }
}
