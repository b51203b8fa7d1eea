package org.borageproxy.platform;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A drained availability zone under load, with real VMs and simulated servers. */
class ZoneDrainTest {

    private static final String BEGIN = "/Evacuations.Begin/";
    private static final String FINISH = "/Evacuations.Finish/";
    /** Time from the acknowledgement within which requests may still reach the zone. */
    private static final Duration DRAIN_TIME = Duration.ofSeconds(5);

    private static final Duration MEASURED_TIME = Duration.ofSeconds(2);
    private static final Duration CALL_INTERVAL = Duration.ofMillis(40);
    private static final double SERVED_SHARE = 0.95;

    @TempDir
    Path folder;

    private final List<EngineStandIn> drained = new ArrayList<>();
    private PlatformFleet fleet;
    private FleetLoad plainLoad;
    private FleetLoad engineLoad;

    @BeforeEach
    void start() throws Exception {
        fleet = new PlatformFleet(folder, 3);
        for (int number = 0; number < 2; number++) {
            drained.add(fleet.startServer(PlatformFleet.PLAIN, "near-plain-" + number, "v1", true, "a"));
            drained.add(fleet.startServer(PlatformFleet.ENGINES, "near-engine-" + number, "v1", true, "a"));
            fleet.startServer(PlatformFleet.PLAIN, "far-plain-" + number, "v1", true, "b");
            fleet.startServer(PlatformFleet.ENGINES, "far-engine-" + number, "v1", true, "b");
        }
        plainLoad = new FleetLoad(fleet, PlatformFleet.PLAIN, CALL_INTERVAL);
        engineLoad = new FleetLoad(fleet, PlatformFleet.ENGINES, CALL_INTERVAL);
        plainLoad.awaitServed(50);
        engineLoad.awaitServed(50);
    }

    @AfterEach
    void stop() throws Exception {
        plainLoad.close();
        engineLoad.close();
        fleet.close();
    }

    private void assertNothingArrivesWhile(Step step) throws Exception {
        drained.forEach(EngineStandIn::forgetRefusals);
        step.run();
        for (EngineStandIn server : drained) {
            assertEquals(List.of(), server.arrivals(), server.name());
        }
    }

    /** A part of a test during which nothing may reach the drained servers. */
    @FunctionalInterface
    private interface Step {
        void run() throws Exception;
    }

    /**
     * Guards against requests that reach a drained zone by the choice of an entry, by a granted slot, or from VMs that
     * have lost their memory, and against a zone that stays without requests after its return.
     */
    @Test
    void drainedZoneGetsNothingThroughRestartsUntilItReturns() throws Exception {
        assertEquals(404, fleet.callControl(BEGIN + "elsewhere"));
        assertEquals(404, fleet.callControl(FINISH + "elsewhere"));
        fleet.awaitAcknowledged(BEGIN + "a");
        assertEquals(200, fleet.callControl(BEGIN + "a"));
        ZoneClient client = new ZoneClient(List.of(fleet.controlEndpoint()));
        assertEquals(Optional.of("{\"Drained\":[\"a\"]}"), client.read());
        Thread.sleep(DRAIN_TIME.toMillis());
        assertNothingArrivesWhile(() -> {
            long sinceNanos = System.nanoTime();
            Thread.sleep(MEASURED_TIME.toMillis());
            plainLoad.assertServed(SERVED_SHARE, sinceNanos);
            engineLoad.assertServed(SERVED_SHARE, sinceNanos);
        });
        assertNothingArrivesWhile(() -> {
            fleet.kill(fleet.entries().get(0));
            fleet.start(fleet.entries().get(0));
            fleet.awaitReady(fleet.entries().get(0));
            Thread.sleep(MEASURED_TIME.toMillis());
        });
        assertNothingArrivesWhile(() -> {
            fleet.kill(fleet.control());
            Thread.sleep(MEASURED_TIME.toMillis());
            fleet.start(fleet.control());
            fleet.awaitAcknowledged(BEGIN + "a");
            Thread.sleep(MEASURED_TIME.toMillis());
        });
        assertEquals(ZoneClient.Outcome.UNKNOWN_ZONE, client.order("elsewhere", false));
        assertEquals(ZoneClient.Outcome.ACKNOWLEDGED, client.order("a", false));
        awaitRequests();
        plainLoad.awaitServed(50);
        engineLoad.awaitServed(50);
    }

    private void awaitRequests() throws InterruptedException {
        drained.forEach(EngineStandIn::forgetRefusals);
        long end = System.nanoTime() + PlatformFleet.STEP_TIMEOUT.toNanos();
        while (drained.stream().anyMatch(server -> server.arrivals().isEmpty())) {
            assertTrue(System.nanoTime() - end < 0, "a returned server gets no requests");
            Thread.sleep(50);
        }
    }

    /** Guards against callers that wait for servers which they will not get. */
    @Test
    void drainOfAllZonesIsObeyedAndCallersAreToldAtOnce() throws Exception {
        fleet.awaitAcknowledged(BEGIN + "a");
        fleet.awaitAcknowledged(BEGIN + "b");
        Thread.sleep(DRAIN_TIME.toMillis());
        assertNothingArrivesWhile(() -> {
            long sinceNanos = System.nanoTime();
            Thread.sleep(MEASURED_TIME.toMillis());
            for (FleetLoad load : List.of(plainLoad, engineLoad)) {
                List<FleetLoad.Call> calls = load.callsSince(sinceNanos);
                assertTrue(!calls.isEmpty() && calls.stream().allMatch(FleetLoad.Call::isRefused), () -> calls.stream()
                        .filter(call -> !call.isRefused())
                        .findFirst()
                        .toString());
                List<Long> slowest = calls.stream()
                        .map(call -> call.duration().toMillis())
                        .sorted(Comparator.reverseOrder())
                        .limit(10)
                        .toList();
                assertTrue(slowest.get(0) < 500, () -> slowest + " ms of " + calls.size() + " calls");
            }
        });
    }
}
