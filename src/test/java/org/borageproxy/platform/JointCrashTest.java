package org.borageproxy.platform;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Equal requests that ran on several servers which ended at one moment, with real VMs and simulated servers. */
class JointCrashTest {

    private static final int SERVER_COUNT = 6;
    private static final int CALLER_COUNT = 12;
    private static final int ROUNDS = 8;
    private static final long RESTART_MILLIS = 700;
    private static final String QUARANTINED = "quarantined";

    @TempDir
    Path folder;

    private final List<EngineStandIn> servers = new ArrayList<>();
    private final Queue<String> answers = new ConcurrentLinkedQueue<>();
    private PlatformFleet fleet;
    private volatile boolean isOver;

    @BeforeEach
    void start() throws Exception {
        fleet = new PlatformFleet(folder, 2);
        for (int number = 0; number < SERVER_COUNT; number++) {
            servers.add(fleet.startServer(PlatformFleet.PLAIN, "plain-" + number, "v1", true));
        }
        for (String entry : fleet.entries()) {
            for (int number = 0; !lookUp(entry).startsWith("HTTP/1.1 200"); number++) {
                assertTrue(number < 400, entry);
            }
        }
    }

    @AfterEach
    void stop() throws Exception {
        isOver = true;
        fleet.close();
    }

    /** Sends the same request as all others. */
    private String lookUp(String entry) throws IOException {
        return fleet.callPlain(entry, "lookup");
    }

    private void lookUpUntilTheEnd(String entry) {
        while (!isOver) {
            try {
                answers.add(lookUp(entry));
            } catch (IOException exception) {
                answers.add(String.valueOf(exception));
            }
        }
    }

    private boolean isQuarantineLogged() throws IOException {
        for (String entry : fleet.entries()) {
            if (!fleet.logLines(entry, "suspicion=QUARANTINED").isEmpty()
                    || !fleet.logLines(entry, "outcome=\"" + QUARANTINED).isEmpty()) {
                return true;
            }
        }
        return false;
    }

    /** Crashes two servers at one moment, again and again, until equal requests were in flight at both. */
    private void crashUntilQuarantined() throws Exception {
        for (int round = 0; round < ROUNDS && !isQuarantineLogged(); round++) {
            List<EngineStandIn> crashed = List.of(servers.get(round % 2), servers.get(2 + round % 2));
            for (EngineStandIn server : crashed) {
                server.crash();
            }
            Thread.sleep(RESTART_MILLIS);
            for (EngineStandIn server : crashed) {
                server.restart();
            }
        }
        assertTrue(isQuarantineLogged());
    }

    /** Guards against equal sound requests that are refused for good, also after a restart of everything. */
    @Test
    void equalRequestsAreServedAgainAndAfterARestartOfEverything() throws Exception {
        for (int number = 0; number < CALLER_COUNT; number++) {
            String entry = fleet.entries().get(number % 2);
            RawCaller.start(() -> lookUpUntilTheEnd(entry));
        }
        crashUntilQuarantined();
        Thread.sleep(PlatformFleet.STABLE.toMillis());
        assertServed();
        List<String> vms = new ArrayList<>(fleet.controls());
        vms.addAll(fleet.entries());
        for (String vm : vms) {
            fleet.kill(vm);
        }
        for (String vm : vms) {
            fleet.start(vm);
        }
        for (String entry : fleet.entries()) {
            fleet.awaitReady(entry);
        }
        Thread.sleep(2 * PlatformFleet.STABLE.toMillis());
        assertServed();
    }

    private void assertServed() throws InterruptedException {
        answers.clear();
        Thread.sleep(1_000);
        List<String> seen = List.copyOf(answers);
        assertTrue(seen.size() >= CALLER_COUNT, seen.size() + " answers");
        assertEquals(
                List.of(),
                seen.stream().filter(answer -> answer.contains(QUARANTINED)).toList());
        long served = seen.stream()
                .filter(answer -> answer.startsWith("HTTP/1.1 200"))
                .count();
        assertTrue(served >= seen.size() / 2, served + " of " + seen.size() + " served");
    }
}
