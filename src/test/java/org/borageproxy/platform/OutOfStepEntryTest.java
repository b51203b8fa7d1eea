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
 * Guards against events of two software versions in one stream that is taken up at an entry which was out of step while
 * engines of a new version joined: it knows neither them nor the streams that began there.
 */
class OutOfStepEntryTest {

    private PlatformFleet fleet;
    private VersionedStreams callers;
    private List<VersionedStreams.Begun> streams;

    /** Lets streams begin at engines that joined while the second entry was frozen. */
    @BeforeEach
    void start(@TempDir Path folder) throws Exception {
        fleet = new PlatformFleet(folder, 2);
        fleet.startEngine("i-0", "v1", true);
        fleet.startEngine("i-1", "v1", false);
        callers = new VersionedStreams(fleet);
        for (String entry : fleet.entries()) {
            String answer = callers.call(entry, "warm-" + entry, EngineStandIn.WHOLE, "");
            for (int number = 0; !answer.startsWith("HTTP/1.1 200") && number < 100; number++) {
                Thread.sleep(100);
                answer = callers.call(entry, "warm-" + entry + number, EngineStandIn.WHOLE, "");
            }
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        }
        fleet.freeze(fleet.entries().get(1));
        fleet.startEngine("i-2", "v2", true);
        fleet.startEngine("i-3", "v2", false);
        callers.awaitBothVersions(fleet.entries().get(0));
        streams = callers.begin(fleet.entries().get(0), "s");
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    @Test
    void entryThatWasFrozenJoinsNoVersions() throws Exception {
        Thread.sleep(300);
        fleet.thaw(fleet.entries().get(1));
        assertEquals(List.of(), takeUpAll());
    }

    @Test
    void entryThatIsCutOffFromTheCoordinatorJoinsNoVersions() throws Exception {
        fleet.freeze(fleet.control());
        fleet.thaw(fleet.entries().get(1));
        assertEquals(List.of(), takeUpAll());
        fleet.thaw(fleet.control());
        assertEquals(List.of(), takeUpAll());
    }

    /** Takes all streams up at the entry that was out of step, and returns those that went on at another version. */
    private List<String> takeUpAll() throws IOException {
        List<String> joined = new ArrayList<>();
        for (VersionedStreams.Begun stream : streams) {
            String answer = callers.takeUp(
                    fleet.entries().get(1), "again-" + joined.size() + stream.identity(), stream.identity());
            boolean isWhole = answer.startsWith("HTTP/1.1 200");
            assertTrue(isWhole || answer.startsWith("HTTP/1.1 50"), answer);
            if (isWhole && !VersionedStreams.versions(answer).equals(Set.of(stream.software()))) {
                joined.add(stream + " " + VersionedStreams.versions(answer));
            }
        }
        return joined;
    }
}
