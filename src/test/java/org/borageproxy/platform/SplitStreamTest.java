package org.borageproxy.platform;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Streams of a route that is split between three services, each of whose engines run two software versions, with real
 * VMs and simulated engines.
 */
class SplitStreamTest {

    private static final List<String> SERVICES = List.of("one", "two", "three");

    @TempDir
    Path folder;

    private final Map<String, List<EngineStandIn>> engines = new TreeMap<>();
    private PlatformFleet fleet;
    private VersionedStreams callers;
    private String first;
    private String second;

    @BeforeEach
    void start() throws Exception {
        fleet = new PlatformFleet(folder, 2);
        for (String service : SERVICES) {
            engines.put(service, new ArrayList<>());
            for (int number = 0; number < 4; number++) {
                String software = number % 2 == 0 ? "v1" : "v2";
                engines.get(service).add(fleet.startServer(service, service + number, software, number < 2));
            }
        }
        callers = new VersionedStreams(fleet);
        first = fleet.entries().get(0);
        second = fleet.entries().get(1);
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    private void publish(int version, int one, int two, int three) throws Exception {
        assertEquals(200, fleet.publishSplit(version, Map.of("one", one, "two", two, "three", three)));
        for (String entry : fleet.entries()) {
            Set<String> expected = Map.of("one", one, "two", two, "three", three).entrySet().stream()
                    .filter(each -> each.getValue() > 0)
                    .map(Map.Entry::getKey)
                    .collect(Collectors.toSet());
            long end = System.nanoTime() + PlatformFleet.STEP_TIMEOUT.toNanos();
            Set<String> reached = Set.of();
            for (int round = 0; !reached.equals(expected); round++) {
                assertTrue(System.nanoTime() - end < 0, entry + " reaches " + reached);
                List<String> identities = new ArrayList<>();
                for (int number = 0; number < 30; number++) {
                    String identity = "warm-" + version + entry + round + "-" + number;
                    callers.call(entry, identity, EngineStandIn.WHOLE, "");
                    identities.add(identity);
                }
                reached = identities.stream()
                        .flatMap(identity -> servicesOf(identity).stream())
                        .collect(Collectors.toSet());
            }
        }
    }

    /** Returns the services whose engines a request has reached. */
    private Set<String> servicesOf(String identity) {
        return engines.entrySet().stream()
                .filter(each -> each.getValue().stream()
                        .flatMap(engine -> engine.requests().stream())
                        .anyMatch(request -> request.startsWith("POST /e/" + identity + " ")))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Takes streams up and returns those that go on, each in the service and at the version that began it. */
    private List<VersionedStreams.Begun> takeUp(List<VersionedStreams.Begun> streams) throws IOException {
        List<VersionedStreams.Begun> resumed = new ArrayList<>();
        List<String> mixed = new ArrayList<>();
        for (VersionedStreams.Begun stream : streams) {
            String identity = "again-" + stream.identity();
            String answer = callers.takeUp(second, identity, stream.identity());
            if (!answer.startsWith("HTTP/1.1 200")) {
                assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
                assertEquals(Set.of(), servicesOf(identity));
                continue;
            }
            resumed.add(stream);
            if (!VersionedStreams.versions(answer).equals(Set.of(stream.software()))
                    || !servicesOf(identity).equals(servicesOf(stream.identity()))) {
                mixed.add(stream + " " + servicesOf(stream.identity()) + " -> " + servicesOf(identity) + " " + answer);
            }
        }
        assertEquals(List.of(), mixed);
        return resumed;
    }

    /** Guards against take-ups that are refused since another service than the one that began the stream was drawn. */
    @Test
    void streamsOfKilledVmGoOnInTheServiceThatBeganThem() throws Exception {
        publish(2, 1, 1, 1);
        List<VersionedStreams.Begun> streams = callers.begin(first, "s");
        Thread.sleep(300);
        fleet.kill(first);
        assertEquals(streams, takeUp(streams));
    }

    /** Guards against a draw by the weights of the publication that is in force when the stream is taken up. */
    @Test
    void streamsGoOnAfterWeightsHaveChanged() throws Exception {
        publish(2, 6, 1, 3);
        List<VersionedStreams.Begun> streams = callers.begin(first, "s");
        Thread.sleep(300);
        publish(3, 1, 20, 5);
        assertEquals(streams, takeUp(streams));
    }

    /** Guards against a stream that goes on in a service to which the route does not lead any more. */
    @Test
    void streamsOfAServiceWithoutWeightAreRefusedAndTheOthersGoOn() throws Exception {
        publish(2, 1, 1, 1);
        List<VersionedStreams.Begun> streams = callers.begin(first, "s");
        Thread.sleep(300);
        publish(3, 1, 0, 1);
        List<VersionedStreams.Begun> expected = streams.stream()
                .filter(stream -> !servicesOf(stream.identity()).contains("two"))
                .toList();
        assertTrue(expected.size() < streams.size());
        assertEquals(expected, takeUp(streams));
    }
}
