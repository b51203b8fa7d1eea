package org.borageproxy.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.borageproxy.time.Deadline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The models and adapters that callers asked for and that have not been served since, each with the time of the first
 * such request. A claim outlives the refusal of its requests: it ends when a request gets a slot, or some time after
 * the latest request. Writes a line for each change of a claim's link; a claim whose obstacle varies writes one a
 * second. Confined to one thread; the totals may be read by any thread.
 */
public final class Claims {

    private static final Logger LOGGER = LoggerFactory.getLogger(Claims.class);
    /** Time after the latest request at which a claim ends; longer than rarely requested models go without requests. */
    private static final Duration VALIDITY = Duration.ofSeconds(30);
    /** Minimum time between two lines about the obstacles of one claim. */
    private static final Duration OBSTACLE_INTERVAL = Duration.ofSeconds(1);
    /** Maximum number of claims; targets beyond it have a claim once another one has ended. */
    private static final int MAX_CLAIMS = 4096;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<Target, Claim> claims = new HashMap<>();
    private volatile int count;
    private volatile long oldestMillis;

    private static final class Claim {
        private final long sinceNanos;
        private Deadline validUntil;
        private int requests;
        private ClaimLink link = ClaimLink.COUNTED;
        private String detail = "-";
        private Deadline nextObstacleAt;

        private Claim(long sinceNanos, long nowNanos) {
            this.sinceNanos = sinceNanos;
            this.nextObstacleAt = new Deadline(nowNanos);
        }
    }

    /**
     * Records that a request asks for a target that no engine can serve now.
     *
     * @param target the target
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    public void recordRequest(Target target, long nowNanos) {
        renew(target, nowNanos, nowNanos);
    }

    /**
     * Records a claim that an entry reports; the earliest known begin counts.
     *
     * @param target the target
     * @param sinceNanos the time of the first request that was not served
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    public void restore(Target target, long sinceNanos, long nowNanos) {
        Claim known = claims.get(target);
        if (known != null && known.sinceNanos > sinceNanos) {
            claims.remove(target);
            Claim earlier = open(target, sinceNanos, nowNanos);
            earlier.link = known.link;
            earlier.detail = known.detail;
            earlier.requests = known.requests;
        }
        renew(target, sinceNanos, nowNanos);
    }

    private void renew(Target target, long sinceNanos, long nowNanos) {
        Claim claim = claims.get(target);
        if (claim == null && claims.size() >= MAX_CLAIMS) {
            return;
        }
        if (claim == null) {
            claim = open(target, sinceNanos, nowNanos);
            write(target, claim, nowNanos);
        }
        claim.requests++;
        claim.validUntil = Deadline.after(nowNanos, VALIDITY);
    }

    private Claim open(Target target, long sinceNanos, long nowNanos) {
        Claim claim = new Claim(sinceNanos, nowNanos);
        claims.put(target, claim);
        claim.validUntil = Deadline.after(nowNanos, VALIDITY);
        return claim;
    }

    /**
     * Ends the claim of a target, since a request for it got a slot.
     *
     * @param target the target
     * @param server the server of the slot
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    public void recordGrant(Target target, String server, long nowNanos) {
        Claim claim = claims.remove(target);
        if (claim != null) {
            claim.link = ClaimLink.GRANTED;
            claim.detail = server;
            write(target, claim, nowNanos);
        }
    }

    /**
     * Records how far the claims of some targets have come.
     *
     * @param targets selects the targets
     * @param link the link
     * @param detail the server or the reason
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    public void record(Predicate<Target> targets, ClaimLink link, String detail, long nowNanos) {
        claims.forEach((target, claim) -> {
            boolean isChanged = claim.link != link || !claim.detail.equals(detail);
            boolean isObstacle = link == ClaimLink.UNPLANNED;
            if (isChanged && targets.test(target) && (!isObstacle || claim.nextObstacleAt.hasPassed(nowNanos))) {
                claim.link = link;
                claim.detail = detail;
                claim.nextObstacleAt = Deadline.after(nowNanos, OBSTACLE_INTERVAL);
                write(target, claim, nowNanos);
            }
        });
    }

    /**
     * Ends the claims of targets that nobody has asked for lately, and updates the totals.
     *
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    public void removeExpired(long nowNanos) {
        claims.entrySet().removeIf(entry -> {
            Claim claim = entry.getValue();
            boolean isExpired = claim.validUntil.hasPassed(nowNanos);
            if (isExpired) {
                String last = claim.link.name();
                claim.link = ClaimLink.EXPIRED;
                claim.detail = last;
                write(entry.getKey(), claim, nowNanos);
            }
            return isExpired;
        });
        updateTotals(nowNanos);
    }

    private void updateTotals(long nowNanos) {
        count = claims.size();
        long earliest = claims.values().stream()
                .mapToLong(claim -> claim.sinceNanos)
                .min()
                .orElse(nowNanos);
        oldestMillis = (nowNanos - earliest) / NANOS_PER_MILLI;
    }

    /** Discards all claims without a line, since another VM decides from now on. */
    public void clear() {
        claims.clear();
        count = 0;
        oldestMillis = 0;
    }

    /**
     * Returns the targets with a claim, the earliest claim first.
     *
     * @param service the service of the targets
     * @return the targets
     */
    public List<Target> targets(String service) {
        List<Target> targets = new ArrayList<>(claims.keySet());
        targets.removeIf(target -> !target.service().equals(service));
        targets.sort(Comparator.comparingLong((Target target) -> claims.get(target).sinceNanos)
                .thenComparing(Target::label));
        return targets;
    }

    /**
     * Returns since when a target has had a claim.
     *
     * @param target the target
     * @return the time on the monotonic clock in nanoseconds, empty without a claim
     */
    public Optional<Long> sinceNanos(Target target) {
        return Optional.ofNullable(claims.get(target)).map(claim -> claim.sinceNanos);
    }

    /**
     * Returns the number of claims. May be called by any thread.
     *
     * @return the number at the last update
     */
    public int count() {
        return count;
    }

    /**
     * Returns the age of the earliest claim. May be called by any thread.
     *
     * @return the age at the last update in milliseconds; zero without claims
     */
    public long oldestMillis() {
        return oldestMillis;
    }

    private static void write(Target target, Claim claim, long nowNanos) {
        LOGGER.info(
                "event=claim service={} target={} link={} detail={} age_ms={} questions={}",
                target.service(),
                target.label(),
                claim.link,
                claim.detail,
                (nowNanos - claim.sinceNanos) / NANOS_PER_MILLI,
                claim.requests);
    }
}
