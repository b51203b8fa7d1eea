package org.borageproxy.scheduling;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.borageproxy.time.Deadline;

/**
 * The times at which refused callers were told to come back, by kind. Each refusal takes the time that the work needs,
 * so that the next caller of the kind comes later. Not thread safe.
 */
final class RetryTimes {

    /** Shortest time after which a caller is told to come back. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(300);
    /** Time beyond the expected one within which returns are spread; later ones begin at the expected time again. */
    private static final Duration MAX_SPREAD = Duration.ofSeconds(3);

    private static final int MAX_KINDS = 4_096;
    private static final double NANOS_PER_MILLISECOND = 1e6;

    private final Map<Kind, Deadline> occupiedUntil = new HashMap<>();

    private record Kind(String service, String model, int rank) {}

    Deadline next(WaitingRequest request, Deadline expectedStart, double rate, long nowNanos) {
        if (occupiedUntil.size() >= MAX_KINDS) {
            occupiedUntil.values().removeIf(each -> each.hasPassed(nowNanos));
        }
        Kind kind = new Kind(
                request.lane().service(), request.lane().model(), request.cost().rank());
        Deadline earliest = later(expectedStart, Deadline.after(nowNanos, MIN_RETRY_AFTER));
        Deadline occupied = occupiedUntil.getOrDefault(kind, earliest);
        Deadline returnAt = later(earliest, occupied).earlierOf(Deadline.after(earliest.atNanos(), MAX_SPREAD));
        long workNanos = (long) (request.cost().workMillis() / rate * NANOS_PER_MILLISECOND);
        occupiedUntil.put(kind, new Deadline(returnAt.atNanos() + workNanos));
        return returnAt;
    }

    private static Deadline later(Deadline one, Deadline other) {
        return one.compareTo(other) >= 0 ? one : other;
    }
}
