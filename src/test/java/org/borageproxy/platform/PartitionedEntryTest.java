package org.borageproxy.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Predicate;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Entries that lose their links to all backend servers, while callers and the other VMs still reach them, with real VMs
 * and simulated servers. The servers reset all connections of such an entry.
 */
class PartitionedEntryTest {

    private static final int ROUNDS = 20;
    /** Served requests at the other entries, of which those that were cut off have to serve at least two. */
    private static final int OTHERS_SHARE = 3;

    @TempDir
    Path folder;

    private final List<EngineStandIn> servers = new ArrayList<>();
    private final ExecutorService callers = Executors.newCachedThreadPool();
    private PlatformFleet fleet;
    private int calls;

    @BeforeEach
    void start() throws Exception {
        fleet = new PlatformFleet(folder, 3);
        for (String service : List.of(PlatformFleet.ENGINES, PlatformFleet.PLAIN)) {
            for (int number = 0; number < 3; number++) {
                servers.add(fleet.startServer(service, service + "-" + number, "v1", true));
            }
        }
        long end = System.nanoTime() + PlatformFleet.STEP_TIMEOUT.toNanos();
        while (fleet.entries().stream().mapToInt(entry -> served(entry, 2)).sum() < 12) {
            assertTrue(System.nanoTime() - end < 0, "servers are not reached");
        }
    }

    @AfterEach
    void stop() throws Exception {
        callers.shutdownNow();
        fleet.close();
    }

    /** Sends requests for both services, a few at a time, and returns how many were served. */
    private int served(String entry, int rounds) {
        try {
            int served = 0;
            for (int round = 0; round < rounds; round++) {
                int number = ++calls;
                Callable<String> engineCall = () -> fleet.call(entry, "e" + number, "a:50,b" + number + ":50", "");
                Callable<String> plainCall = () -> fleet.callPlain(entry, "p" + number);
                for (Future<String> answer : callers.invokeAll(List.of(engineCall, plainCall))) {
                    served += answer.get().startsWith("HTTP/1.1 200") ? 1 : 0;
                }
            }
            return served;
        } catch (Exception exception) {
            throw new IllegalStateException(exception);
        }
    }

    private void cutOff(List<String> entries) throws IOException {
        Predicate<Socket> isCutOff = connection -> entries.stream().anyMatch(entry -> fleet.isFrom(entry, connection));
        for (EngineStandIn server : servers) {
            server.cutOff(isCutOff);
        }
    }

    private void assertServedAlike(List<String> cutOff) {
        for (String entry : fleet.entries()) {
            int served = served(entry, ROUNDS);
            if (cutOff.contains(entry)) {
                assertTrue(served * OTHERS_SHARE >= 2 * ROUNDS * 2, entry + " served " + served);
            } else {
                assertTrue(served >= 2 * ROUNDS * 0.95, entry + " served " + served);
            }
        }
    }

    /** Guards against callers of an entry that has lost its links to the servers being served far worse than others. */
    @Test
    void entryWithoutLinksToServersServesThroughOthers() throws Exception {
        List<String> cutOff = List.of(fleet.entries().get(0));
        cutOff(cutOff);
        Thread.sleep(PlatformFleet.STABLE.toMillis());
        assertServedAlike(cutOff);
    }

    /** Guards against entries that look for a way through others which have lost their links as well. */
    @Test
    void mostEntriesWithoutLinksServeThroughTheRemainingOne() throws Exception {
        List<String> cutOff = fleet.entries().subList(0, 2);
        cutOff(cutOff);
        served(cutOff.get(0), 4);
        served(cutOff.get(1), 4);
        Thread.sleep(PlatformFleet.STABLE.toMillis());
        assertServedAlike(cutOff);
    }

    /** Guards against an entry that goes on through others, or sends nothing, after its links are back. */
    @Test
    void entryWhoseLinksAreBackSendsDirectlyAgain() throws Exception {
        String entry = fleet.entries().get(0);
        cutOff(List.of(entry));
        served(entry, 10);
        servers.forEach(EngineStandIn::heal);
        Thread.sleep(PlatformFleet.STABLE.toMillis());
        for (String other : fleet.entries()) {
            if (!other.equals(entry)) {
                fleet.kill(other);
            }
        }
        assertEquals(2 * ROUNDS, served(entry, ROUNDS));
    }
}
