package org.borageproxy.platform;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Servers of a plain service that end if they have to reject several requests within a second, with real VMs and
 * simulated servers, which have one slot each.
 */
class BrittleServerTest {

    private static final int SERVER_COUNT = 3;
    private static final int SURVIVED_REJECTIONS = 2;
    /** Half of the requests that all servers can run one after the other. */
    private static final int CALLS_PER_SECOND = 25;

    private static final Duration MEASURED_TIME = Duration.ofSeconds(10);
    private static final int ALLOWED_FALLS = 2 + SERVER_COUNT / 10;
    private static final long RESTART_MILLIS = 2_000;

    @TempDir
    Path folder;

    private final List<EngineStandIn> servers = new ArrayList<>();
    private final ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor();
    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final Random random = new Random(31);
    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private PlatformFleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new PlatformFleet(folder, 3);
        for (int number = 0; number < SERVER_COUNT; number++) {
            servers.add(fleet.startServer(PlatformFleet.PLAIN, "p-" + number, "v1", true));
        }
        long end = System.nanoTime() + PlatformFleet.STEP_TIMEOUT.toNanos();
        while (served.get() < 2 * fleet.entries().size()) {
            assertTrue(System.nanoTime() - end < 0, "servers are not reached");
            call();
        }
        clock.schedule(this::callAgain, 0, TimeUnit.MILLISECONDS);
        clock.scheduleWithFixedDelay(this::restart, RESTART_MILLIS, RESTART_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Calls at random times, so that callers meet at the same moment. */
    private void callAgain() {
        callers.execute(this::call);
        long delayMillis = (long) (-Math.log(1 - random.nextDouble()) * 1_000 / CALLS_PER_SECOND);
        clock.schedule(this::callAgain, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void call() {
        int number = calls.incrementAndGet();
        String entry = fleet.entries().get(number % fleet.entries().size());
        try {
            if (fleet.callPlain(entry, "p" + number).startsWith("HTTP/1.1 200")) {
                served.incrementAndGet();
            }
        } catch (IOException exception) {
            // Counted as not served.
        }
    }

    private void restart() {
        for (EngineStandIn server : servers) {
            try {
                if (!server.isRunning()) {
                    server.restart();
                }
            } catch (IOException exception) {
                // The port is still in use; the next round tries again.
            }
        }
    }

    @AfterEach
    void stop() throws Exception {
        clock.shutdownNow();
        callers.shutdownNow();
        fleet.close();
    }

    /** Guards against servers that end one after the other because entries send them more than they have room for. */
    @Test
    void brittleServersGetNoMoreThanTheyHaveRoomFor() throws Exception {
        servers.forEach(server -> server.makeBrittle(SURVIVED_REJECTIONS));
        Thread.sleep(PlatformFleet.STABLE.toMillis());
        int fallsBefore = falls();
        int callsBefore = calls.get();
        int servedBefore = served.get();
        Thread.sleep(MEASURED_TIME.toMillis());
        int falls = falls() - fallsBefore;
        assertTrue(falls <= ALLOWED_FALLS, falls + " falls");
        int made = calls.get() - callsBefore;
        int answered = served.get() - servedBefore;
        assertTrue(answered * 2 >= made, answered + " of " + made + " served");
    }

    private int falls() {
        return servers.stream().mapToInt(EngineStandIn::falls).sum();
    }
}
