package org.borageproxy.scheduling;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.borageproxy.time.Deadline;

/**
 * Places of refused requests that were told when to come back. A request that does so then goes before new ones of its
 * rank. A request has one place, however often it is repeated, and repeats of a caller that do not carry the identity
 * of the refused request share one place for each kind; a request that comes back earlier than told counts as new. Not
 * thread safe.
 */
public final class ReturnPlaces {

    /** Time before the stated one at which a request may come back; callers round. */
    private static final Duration TOLERANCE = Duration.ofMillis(50);
    /** Time after the stated one for which a place is kept, the wait of the returned request included. */
    private static final Duration RETENTION = Duration.ofSeconds(5);

    private static final int MAX_PLACES = 8_192;

    private final Map<Object, Deadline> dueTimes = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Object, Deadline> eldest) {
            return size() > MAX_PLACES;
        }
    };

    /**
     * A request of a caller.
     *
     * @param caller a hash of the caller's API key
     * @param identity the identity of the request; an empty string if none is stated
     * @param service the service
     * @param model the model; an empty string for a plain service
     * @param rank the rank
     */
    public record Returning(long caller, String identity, String service, String model, int rank) {
        private Object ownKey() {
            return identity.isEmpty() ? kindKey() : new OwnKey(caller, identity);
        }

        private Object kindKey() {
            return new KindKey(caller, service, model, rank);
        }
    }

    private record OwnKey(long caller, String identity) {}

    private record KindKey(long caller, String service, String model, int rank) {}

    /**
     * Returns whether a request comes back at the time that it, or another one of its caller, was told. It keeps the
     * place until {@link #release}.
     *
     * @param request the request
     * @param nowNanos the current reading of the clock in nanoseconds
     * @return {@code false} for a new request, and one that comes back too early or too late
     */
    public boolean isReturning(Returning request, long nowNanos) {
        if (isDue(dueTimes.get(request.ownKey()), nowNanos)) {
            return true;
        }
        Deadline shared = dueTimes.get(request.kindKey());
        if (!isDue(shared, nowNanos)) {
            return false;
        }
        dueTimes.remove(request.kindKey());
        dueTimes.put(request.ownKey(), shared);
        return true;
    }

    private static boolean isDue(Deadline dueAt, long nowNanos) {
        return dueAt != null && dueAt.remainingNanos(nowNanos) <= TOLERANCE.toNanos() && !isExpired(dueAt, nowNanos);
    }

    private static boolean isExpired(Deadline dueAt, long nowNanos) {
        return Deadline.after(dueAt.atNanos(), RETENTION).hasPassed(nowNanos);
    }

    /**
     * Returns the time that a request was told at an earlier refusal, if it comes back too early.
     *
     * @param request the request
     * @param nowNanos the current reading of the clock in nanoseconds
     * @return empty if the request has no place that is due later
     */
    public Optional<Deadline> dueAt(Returning request, long nowNanos) {
        return Optional.ofNullable(dueTimes.get(request.ownKey())).filter(dueAt -> !dueAt.hasPassed(nowNanos));
    }

    /**
     * Keeps a place for a refused request.
     *
     * @param request the request
     * @param dueAt the time that it is told
     * @param nowNanos the current reading of the clock in nanoseconds
     */
    public void keep(Returning request, Deadline dueAt, long nowNanos) {
        dueTimes.put(request.ownKey(), dueAt);
        Deadline shared = dueTimes.get(request.kindKey());
        if (shared == null || isExpired(shared, nowNanos)) {
            dueTimes.put(request.kindKey(), dueAt);
        }
    }

    /**
     * Gives up the place of a request that begins.
     *
     * @param request the request
     */
    public void release(Returning request) {
        Deadline dueAt = dueTimes.remove(request.ownKey());
        if (dueAt != null) {
            dueTimes.remove(request.kindKey(), dueAt);
        }
    }
}
