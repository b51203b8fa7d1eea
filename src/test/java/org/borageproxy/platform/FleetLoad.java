package org.borageproxy.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Callers that send requests for one service to all entries of a fleet in turn, at a constant rate until
 * {@link #close()}. Thread safe.
 */
final class FleetLoad implements AutoCloseable {

    private final PlatformFleet fleet;
    private final String service;
    private final String prefix;
    private final ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor();
    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final AtomicInteger callCount = new AtomicInteger();
    private final List<Call> calls = new ArrayList<>();

    /** A call that has ended, with the whole answer or what arrived of it. */
    record Call(String entry, String identity, long startedAtNanos, long endedAtNanos, String answer) {
        boolean isServed() {
            return answer.startsWith("HTTP/1.1 200") && !answer.endsWith("<broken>");
        }

        /** Returns whether the request was refused as not run. */
        boolean isRefused() {
            return answer.startsWith("HTTP/1.1 503");
        }

        Duration duration() {
            return Duration.ofNanos(endedAtNanos - startedAtNanos);
        }

        /** Returns the time after which the caller may come back, in seconds; negative if none is stated. */
        double retryAfterSeconds() {
            return answer.lines()
                    .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("retry-after: "))
                    .mapToDouble(line -> Double.parseDouble(line.substring("retry-after: ".length())))
                    .findFirst()
                    .orElse(-1);
        }
    }

    /** Starts the callers. */
    FleetLoad(PlatformFleet fleet, String service, Duration interval) {
        this.fleet = fleet;
        this.service = service;
        this.prefix = service + System.nanoTime() + "-";
        clock.scheduleAtFixedRate(() -> callers.execute(this::call), 0, interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void call() {
        int number = callCount.incrementAndGet();
        String entry = fleet.entries().get(number % fleet.entries().size());
        String identity = prefix + number;
        long startedAtNanos = System.nanoTime();
        String answer;
        try {
            answer = service.equals(PlatformFleet.ENGINES)
                    ? fleet.call(entry, identity, "a" + number % 7 + ":50,b" + number + ":50", "")
                    : fleet.callPlain(entry, identity);
        } catch (IOException exception) {
            answer = exception.toString();
        }
        synchronized (calls) {
            calls.add(new Call(entry, identity, startedAtNanos, System.nanoTime(), answer));
        }
    }

    /** Returns the ended calls that began at a time or later. */
    List<Call> callsSince(long sinceNanos) {
        synchronized (calls) {
            return calls.stream()
                    .filter(call -> call.startedAtNanos() - sinceNanos >= 0)
                    .toList();
        }
    }

    /** Waits until a number of calls in a row were served. */
    void awaitServed(int count) throws InterruptedException {
        long end = System.nanoTime() + PlatformFleet.STEP_TIMEOUT.toNanos();
        boolean areServed = false;
        while (!areServed) {
            assertTrue(System.nanoTime() - end < 0, () -> "not served: " + callsSince(0));
            Thread.sleep(50);
            synchronized (calls) {
                areServed = calls.size() >= count
                        && calls.subList(calls.size() - count, calls.size()).stream()
                                .allMatch(Call::isServed);
            }
        }
    }

    /** Asserts that a share of the calls that began at a time or later was served. */
    void assertServed(double share, long sinceNanos) {
        List<Call> since = callsSince(sinceNanos);
        long served = since.stream().filter(Call::isServed).count();
        assertTrue(
                served >= since.size() * share,
                () -> served + " of " + since.size() + " served; first other: "
                        + since.stream().filter(call -> !call.isServed()).findFirst());
    }

    @Override
    public void close() throws InterruptedException {
        clock.shutdownNow();
        callers.shutdown();
        assertTrue(callers.awaitTermination(PlatformFleet.STEP_TIMEOUT.toSeconds(), TimeUnit.SECONDS));
    }
}
