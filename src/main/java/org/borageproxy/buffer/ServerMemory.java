package org.borageproxy.buffer;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.BiPredicate;

import org.borageproxy.time.Deadline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The bytes of request bodies that backend servers can hold, learned from crashes. A crash teaches a limit only if the
 * requests lost in it held more than the server has survived before, and at least {@link #MIN_BYTES}; any other crash
 * has another cause, such as a part of a prompt. Limits outlast restarts of their servers and end at a deadline, which
 * is checked at each use. Not thread safe; confined to one event loop.
 */
public final class ServerMemory {

    /** Bytes below which no crash is taken for one of memory; the bodies of most prompts are far smaller. */
    public static final long MIN_BYTES = 256L << 10;

    /** Time for which a limit is kept; afterwards the server may have got more memory. */
    static final Duration VALIDITY = Duration.ofMinutes(30);
    /** Time after which bytes that a server holds count as survived. */
    static final Duration SURVIVAL = Duration.ofSeconds(1);
    /** Time in which the VMs report their losses, which is several times the interval of their reports. */
    static final Duration COLLECTION = Duration.ofMillis(800);
    /** Time after a loss in which the end of the server explains it. */
    static final Duration CONFIRMATION = Duration.ofSeconds(5);

    private static final Logger LOGGER = LoggerFactory.getLogger(ServerMemory.class);
    /** Fraction of the bytes in a crash that is used from then on. */
    private static final double LIMIT_FRACTION = 0.8;

    private final Map<String, Known> known = new HashMap<>();
    private final Map<Incarnation, Loss> losses = new HashMap<>();
    private long version;

    private record Incarnation(String server, long number) {}

    private record Limit(long bytes, Deadline validUntil) {}

    private record Loss(long bytes, Deadline collectedAt, Deadline expiresAt) {
        Loss plus(long more) {
            return new Loss(bytes + more, collectedAt, expiresAt);
        }
    }

    private static final class Known {
        private long survivedBytes;
        private long candidateBytes;
        private Deadline survivedAt;
        private Limit limit;
        private Deadline expiresAt;
    }

    /**
     * Records the bytes that the requests of all VMs hold at a server.
     *
     * @param server the server
     * @param bytes the bytes; at or below {@link #MIN_BYTES} nothing is learned
     * @param nowNanos the clock reading in nanoseconds
     */
    public void recordHeld(String server, long bytes, long nowNanos) {
        if (bytes < MIN_BYTES) {
            return;
        }
        Known each = touch(server, nowNanos);
        if (each.survivedAt != null && each.survivedAt.hasPassed(nowNanos)) {
            each.survivedBytes = Math.max(each.survivedBytes, each.candidateBytes);
            each.survivedAt = null;
        }
        if (bytes > each.survivedBytes && (each.survivedAt == null || bytes > each.candidateBytes)) {
            each.candidateBytes = bytes;
            each.survivedAt = Deadline.after(nowNanos, SURVIVAL);
        }
    }

    /**
     * Records that a VM lost its connections to a server.
     *
     * @param server the server
     * @param incarnation its incarnation
     * @param bytes the bytes that the requests on these connections held there
     * @param nowNanos the clock reading in nanoseconds
     */
    public void recordLost(String server, long incarnation, long bytes, long nowNanos) {
        losses.merge(
                new Incarnation(server, incarnation),
                new Loss(bytes, Deadline.after(nowNanos, COLLECTION), Deadline.after(nowNanos, CONFIRMATION)),
                (earlier, later) -> earlier.plus(later.bytes()));
        Known each = known.get(server);
        if (each != null) {
            each.survivedAt = null;
        }
    }

    /**
     * Learns from the losses that the ends of servers explain, and forgets the others after a while.
     *
     * @param hasEnded tests whether an incarnation of a server has ended
     * @param nowNanos the clock reading in nanoseconds
     */
    public void learn(BiPredicate<String, Long> hasEnded, long nowNanos) {
        losses.entrySet().removeIf(entry -> {
            Loss loss = entry.getValue();
            if (loss.expiresAt().hasPassed(nowNanos)) {
                return true;
            }
            boolean isCrash = loss.collectedAt().hasPassed(nowNanos)
                    && hasEnded.test(entry.getKey().server(), entry.getKey().number());
            if (isCrash) {
                recordCrash(entry.getKey().server(), loss.bytes(), nowNanos);
            }
            return isCrash;
        });
    }

    private void recordCrash(String server, long lostBytes, long nowNanos) {
        Known each = touch(server, nowNanos);
        boolean isForMemory = lostBytes >= MIN_BYTES && lostBytes > each.survivedBytes;
        if (isForMemory) {
            long learned = Math.max(each.survivedBytes, (long) (lostBytes * LIMIT_FRACTION));
            apply(server, learned, nowNanos);
        }
        LOGGER.info(
                "event=server-memory-learned server={} lost_bytes={} survived_bytes={} for_memory={} limit_bytes={}",
                server,
                lostBytes,
                each.survivedBytes,
                isForMemory,
                limit(server, nowNanos).orElse(0));
    }

    private Known touch(String server, long nowNanos) {
        Known each = known.computeIfAbsent(server, name -> new Known());
        each.expiresAt = Deadline.after(nowNanos, VALIDITY);
        return each;
    }

    /**
     * Takes over a limit, which another VM may have learned. The lower of two limits holds.
     *
     * @param server the server
     * @param bytes the limit
     * @param nowNanos the clock reading in nanoseconds
     */
    public void apply(String server, long bytes, long nowNanos) {
        long previous = limit(server, nowNanos).orElse(Long.MAX_VALUE);
        touch(server, nowNanos).limit = new Limit(Math.min(bytes, previous), Deadline.after(nowNanos, VALIDITY));
        version += bytes < previous ? 1 : 0;
    }

    /**
     * Forgets servers of which nothing was observed for a long time.
     *
     * @param nowNanos the clock reading in nanoseconds
     */
    public void removeExpired(long nowNanos) {
        known.values().removeIf(each -> each.expiresAt.hasPassed(nowNanos));
    }

    /**
     * Returns the bytes that the requests of all VMs may hold at a server.
     *
     * @param server the server
     * @param nowNanos the clock reading in nanoseconds
     * @return empty if no limit is known
     */
    public OptionalLong limit(String server, long nowNanos) {
        Known each = known.get(server);
        boolean isLimited =
                each != null && each.limit != null && !each.limit.validUntil().hasPassed(nowNanos);
        return isLimited ? OptionalLong.of(each.limit.bytes()) : OptionalLong.empty();
    }

    /**
     * Returns whether a server has memory for another request.
     *
     * @param server the server
     * @param heldBytes the bytes that it holds
     * @param addedBytes the size of the request's body
     * @param share the fraction of the limit that may be used, one for the whole
     * @param nowNanos the clock reading in nanoseconds
     * @return {@code true} for a server without a limit
     */
    public boolean admits(String server, long heldBytes, long addedBytes, double share, long nowNanos) {
        OptionalLong limit = limit(server, nowNanos);
        return limit.isEmpty() || heldBytes + addedBytes <= limit.getAsLong() * share;
    }

    /**
     * Returns whether a crash in which this VM lost bytes may be one of memory, so that the requests are not suspected.
     *
     * @param server the server
     * @param lostBytes the bytes that this VM's requests held there
     * @param nowNanos the clock reading in nanoseconds
     * @return {@code false} if little was lost, or if a limit is known and kept
     */
    public boolean mayExplain(String server, long lostBytes, long nowNanos) {
        return lostBytes >= MIN_BYTES && limit(server, nowNanos).isEmpty();
    }

    /**
     * Returns the limits that hold now.
     *
     * @param nowNanos the clock reading in nanoseconds
     * @return the limit in bytes by server
     */
    public Map<String, Long> limits(long nowNanos) {
        Map<String, Long> limits = new HashMap<>();
        known.keySet().forEach(server -> limit(server, nowNanos).ifPresent(bytes -> limits.put(server, bytes)));
        return limits;
    }

    /**
     * Returns a number that changes with every limit.
     *
     * @return the version
     */
    public long version() {
        return version;
    }
}
