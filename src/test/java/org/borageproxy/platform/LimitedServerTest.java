package org.borageproxy.platform;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
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
 * Backend servers that state how many requests per second they take from all VMs, with real VMs and simulated servers.
 * One engine and one server of a plain service state a limit far below their part of the load.
 */
class LimitedServerTest {

    /** Requests per second that the limited servers take. */
    private static final double LIMIT = 2;
    /** Interval between the requests for each service. */
    private static final Duration CALL_INTERVAL = Duration.ofMillis(50);

    private static final Duration WINDOW = Duration.ofSeconds(4);
    private static final Duration MEASURED_TIME = Duration.ofSeconds(5);
    /** Requests within a window that a limit of {@link #LIMIT} allows. */
    private static final double ALLOWED_REQUESTS = 1.5 * LIMIT * WINDOW.toSeconds() + 5;
    /** Share of the requests that may fail while the limited servers can be replaced by others. */
    private static final double TOLERATED_FAILURES = 0.05;

    private static final String STATEMENT = "Server-Limit: " + LIMIT + "\r\n";

    @TempDir
    Path folder;

    private final ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor();
    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final List<EngineStandIn> servers = new ArrayList<>();
    private final List<EngineStandIn> limited = new ArrayList<>();
    private PlatformFleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new PlatformFleet(folder, 3);
        for (String service : List.of(PlatformFleet.ENGINES, PlatformFleet.PLAIN)) {
            for (int number = 0; number < 3; number++) {
                EngineStandIn server = fleet.startServer(service, service + "-" + number, "v1", true);
                servers.add(server);
                if (number == 0) {
                    limited.add(server);
                }
            }
        }
        clock.scheduleAtFixedRate(
                () -> {
                    callers.execute(() -> call(true));
                    callers.execute(() -> call(false));
                },
                0,
                CALL_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
        awaitLoad();
    }

    private void call(boolean isForEngine) {
        int number = calls.incrementAndGet();
        String entry = fleet.entries().get(number % fleet.entries().size());
        try {
            String answer = isForEngine
                    ? fleet.call(entry, "e" + number, "a" + number % 7 + ":50,b" + number + ":50", "")
                    : fleet.callPlain(entry, "p" + number);
            if (answer.startsWith("HTTP/1.1 200")) {
                served.incrementAndGet();
            }
        } catch (IOException exception) {
            // Counted as not served.
        }
    }

    /** Waits until all servers get requests, and almost all of these are served. */
    private void awaitLoad() throws Exception {
        long end = System.nanoTime() + PlatformFleet.STEP_TIMEOUT.toNanos();
        boolean isLoaded = false;
        while (!isLoaded) {
            assertTrue(System.nanoTime() - end < 0, "no load: " + served + " of " + calls);
            int servedBefore = served.get();
            Thread.sleep(1_000);
            isLoaded = servers.stream().noneMatch(server -> server.requests().isEmpty())
                    && served.get() - servedBefore > 30;
        }
    }

    private static int arrivalsSince(EngineStandIn server, long sinceNanos) {
        return (int) server.arrivalsNanos().stream()
                .filter(each -> each - sinceNanos >= 0)
                .count();
    }

    @AfterEach
    void stop() throws Exception {
        clock.shutdownNow();
        callers.shutdownNow();
        fleet.close();
    }

    private void stateLimits() throws InterruptedException {
        limited.forEach(server -> server.state(STATEMENT));
        Thread.sleep(PlatformFleet.STABLE.toMillis());
    }

    /** Returns the highest number of requests that reached a server within a window that ended since the given time. */
    private static int busiestWindow(EngineStandIn server, long sinceNanos) {
        List<Long> arrivals = server.arrivalsNanos();
        int busiest = 0;
        for (long end : arrivals) {
            if (end - sinceNanos >= 0) {
                long begin = end - WINDOW.toNanos();
                busiest = Math.max(busiest, (int) arrivals.stream()
                        .filter(each -> each - begin >= 0 && each - end <= 0)
                        .count());
            }
        }
        return busiest;
    }

    private void assertLimitsAreKept(long sinceNanos) {
        for (EngineStandIn server : limited) {
            int busiest = busiestWindow(server, sinceNanos + WINDOW.toNanos());
            assertTrue(
                    busiest <= ALLOWED_REQUESTS,
                    () -> server.name() + " got " + busiest + " requests within " + WINDOW);
        }
    }

    /** Guards against servers that state a request limit getting as many requests as before. */
    @Test
    void limitedServersGetNoMoreThanTheyTakeAndTheOthersTheRest() throws Exception {
        stateLimits();
        long since = System.nanoTime();
        assertAlmostAllAreServedDuring(MEASURED_TIME);
        assertLimitsAreKept(since);
    }

    private void assertAlmostAllAreServedDuring(Duration time) throws InterruptedException {
        int callsBefore = calls.get();
        int servedBefore = served.get();
        Thread.sleep(time.toMillis());
        int made = calls.get() - callsBefore;
        int answered = served.get() - servedBefore;
        assertTrue(answered >= made * (1 - TOLERATED_FAILURES), answered + " of " + made + " served");
    }

    /** Guards against servers that no longer state a limit being spared further on. */
    @Test
    void serviceWhoseServersStateLimitsServesWhatTheyTakeAndAllOnceTheyStateNone() throws Exception {
        limited.clear();
        limited.addAll(servers);
        stateLimits();
        long since = System.nanoTime();
        int servedBefore = served.get();
        Thread.sleep(MEASURED_TIME.toMillis());
        assertLimitsAreKept(since);
        int answered = served.get() - servedBefore;
        assertTrue(answered >= servers.size() * LIMIT * MEASURED_TIME.toSeconds() / 2, answered + " served");
        for (EngineStandIn server : servers) {
            int arrivals = arrivalsSince(server, since);
            assertTrue(
                    arrivals >= LIMIT * MEASURED_TIME.toSeconds() / 2,
                    () -> server.name() + " got only " + arrivals + " requests");
        }
        servers.forEach(server -> server.state(""));
        Thread.sleep(PlatformFleet.STABLE.toMillis());
        assertAlmostAllAreServedDuring(MEASURED_TIME);
    }

    /**
     * Guards against entries that exceed request limits together while the coordinator is down and after its restart.
     */
    @Test
    void limitsAreKeptWhileTheCoordinatorIsDownAndAfterItsRestart() throws Exception {
        stateLimits();
        long since = System.nanoTime();
        fleet.kill(fleet.control());
        Thread.sleep(MEASURED_TIME.toMillis());
        fleet.start(fleet.control());
        assertAlmostAllAreServedDuring(MEASURED_TIME);
        assertLimitsAreKept(since);
    }
}
