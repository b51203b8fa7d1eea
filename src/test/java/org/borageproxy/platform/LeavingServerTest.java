package org.borageproxy.platform;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Backend servers that say in their answers that they leave, while their heartbeats still say that they are ready, with
 * real VMs and simulated servers.
 */
class LeavingServerTest {

    /** Time from an answer that says so within which requests may still reach the server. */
    private static final Duration DRAIN_TIME = Duration.ofSeconds(2);

    private static final Duration MEASURED_TIME = Duration.ofSeconds(3);
    private static final Duration CALL_INTERVAL = Duration.ofMillis(20);
    private static final double SERVED_SHARE = 0.95;
    private static final String STATEMENT = "Server-Leaving: 1\r\n";

    @TempDir
    Path folder;

    private final List<EngineStandIn> servers = new ArrayList<>();
    private PlatformFleet fleet;
    private FleetLoad plainLoad;
    private FleetLoad engineLoad;

    @BeforeEach
    void start() throws Exception {
        fleet = new PlatformFleet(folder, 3);
        for (int number = 0; number < 3; number++) {
            servers.add(fleet.startServer(PlatformFleet.PLAIN, "plain-" + number, "v1", true));
            servers.add(fleet.startServer(PlatformFleet.ENGINES, "engine-" + number, "v1", true));
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

    private List<EngineStandIn> leaving() {
        return servers.subList(0, 2);
    }

    /** Lets servers say that they leave, and asserts that they get no requests of VMs that they have told so. */
    private void assertLeavingServersGetNoRequests() throws InterruptedException {
        for (EngineStandIn server : leaving()) {
            server.identifyCallers(fleet::vmOf);
            server.state(STATEMENT);
            server.forgetRefusals();
        }
        Thread.sleep(DRAIN_TIME.toMillis());
        long sinceNanos = System.nanoTime();
        Thread.sleep(MEASURED_TIME.toMillis());
        for (EngineStandIn server : leaving()) {
            Map<String, Long> firstArrivals = new HashMap<>();
            for (EngineStandIn.Arrival arrival : server.arrivals()) {
                long toldAtNanos = firstArrivals.computeIfAbsent(arrival.vm(), vm -> arrival.atNanos());
                long afterNanos = arrival.atNanos() - toldAtNanos;
                assertTrue(
                        !arrival.isOfCaller() || afterNanos < DRAIN_TIME.toNanos(),
                        () -> server.name() + " got a request of " + arrival.vm() + " after " + afterNanos + " ns");
            }
        }
        plainLoad.assertServed(SERVED_SHARE, sinceNanos);
        engineLoad.assertServed(SERVED_SHARE, sinceNanos);
    }

    /** Guards against servers that get requests after they have said in an answer that they leave. */
    @Test
    void serversThatLeaveGetNoRequestsAndTheirSuccessorsDo() throws Exception {
        assertLeavingServersGetNoRequests();
        for (EngineStandIn server : leaving()) {
            server.state("");
            server.close();
            server.forgetRefusals();
            restart(server);
        }
        Thread.sleep(PlatformFleet.STABLE.toMillis());
        servers.subList(2, servers.size()).forEach(server -> server.state(STATEMENT));
        Thread.sleep(DRAIN_TIME.toMillis());
        long sinceNanos = System.nanoTime();
        Thread.sleep(MEASURED_TIME.toMillis());
        plainLoad.assertServed(SERVED_SHARE, sinceNanos);
        engineLoad.assertServed(SERVED_SHARE, sinceNanos);
    }

    /** Restarts a server on its port, which a connection may use meanwhile. */
    private static void restart(EngineStandIn server) throws InterruptedException {
        long end = System.nanoTime() + PlatformFleet.STEP_TIMEOUT.toNanos();
        while (!server.isRunning()) {
            try {
                server.restart();
            } catch (IOException exception) {
                assertTrue(System.nanoTime() - end < 0, exception::toString);
                Thread.sleep(100);
            }
        }
    }

    /** Guards against entries that learn of leaving servers from the control VMs only. */
    @Test
    void serversThatLeaveGetNoRequestsWhileTheControlVmIsDown() throws Exception {
        fleet.kill(fleet.control());
        Thread.sleep(MEASURED_TIME.toMillis());
        assertLeavingServersGetNoRequests();
    }
}
