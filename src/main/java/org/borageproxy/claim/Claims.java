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
import org.borageproxy.wire.proto.CoordinationProtocol.ModelDemand;
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
    /** Time after the report of an entry at which a restored claim ends; entries repeat it once a second. */
    private static final Duration RESTORED_VALIDITY = Duration.ofSeconds(3);
    /** Minimum time between two lines about the obstacles of one claim. */
    private static final Duration OBSTACLE_INTERVAL = Duration.ofSeconds(1);
    /** Maximum number of claims; targets beyond it have a claim once another one has ended. */
    private static final int MAX_CLAIMS = 4096;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<Target, Claim> claims = new HashMap<>();
    private volatile int count;
    private volatile long oldestMillis;

    private static final class Claim {
        private long sinceNanos;
        private Deadline validUntil;
        private int requests;
        private ClaimLink link = ClaimLink.COUNTED;
        private String detail = "-";
        private Deadline nextObstacleAt;
        private long latestRequestAtNanos;
        private final RecentCount refusals = new RecentCount();

        private Claim(long sinceNanos, long nowNanos) {
            this.sinceNanos = sinceNanos;
            this.nextObstacleAt = new Deadline(nowNanos);
            this.validUntil = new Deadline(nowNanos);
            this.latestRequestAtNanos = sinceNanos;
        }

        private void renew(long nowNanos) {
            requests++;
            latestRequestAtNanos = nowNanos;
            validUntil = Deadline.after(nowNanos, VALIDITY);
        }

        /** A restored claim counts as one request, since those before are not known. */
        private ModelClaim summarize(long nowNanos) {
            double ageSeconds = (nowNanos - sinceNanos) / NANOS_PER_SECOND;
            return new ModelClaim(
                    sinceNanos, latestRequestAtNanos, Math.max(1, requests) * ageSeconds, refusals.count(nowNanos));
        }

        private void change(Target target, ClaimLink newLink, String newDetail, long nowNanos) {
            boolean isChanged = link != newLink || !detail.equals(newDetail);
            link = newLink;
            detail = newDetail;
            if (isChanged) {
                write(target, this, nowNanos);
            }
        }
    }

    /**
     * Records that a request asks for a target that no engine can serve now. Requests that need a version of the
     * software have no claim: they resume a stream, and models are placed without regard to versions.
     *
     * @param target the target
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    public void recordRequest(Target target, long nowNanos) {
        if (target.softwareVersion().isEmpty()) {
            open(target, nowNanos, nowNanos).ifPresent(claim -> claim.renew(nowNanos));
        }
    }

    /**
     * Records that such a request is refused without a wait.
     *
     * @param target the target
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    public void recordRefusal(Target target, long nowNanos) {
        recordRequest(target, nowNanos);
        Optional.ofNullable(claims.get(target)).ifPresent(claim -> claim.refusals.record(nowNanos));
    }

    /**
     * Restores the claims that an entry reports, which a former coordinator may have known; the earliest known begin
     * counts. A restored claim is valid for as long as an entry repeats it.
     *
     * @param reportedDemands the demand that the entry reports
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    public void restore(List<ModelDemand> reportedDemands, long nowNanos) {
        for (ModelDemand demand : reportedDemands) {
            if (demand.getUnservedMillis() > 0) {
                Target target = new Target(demand.getService(), demand.getModel(), demand.getAdapter());
                restore(target, nowNanos - demand.getUnservedMillis() * NANOS_PER_MILLI, nowNanos);
            }
        }
    }

    private void restore(Target target, long sinceNanos, long nowNanos) {
        open(target, sinceNanos, nowNanos).ifPresent(claim -> {
            claim.sinceNanos = Math.min(claim.sinceNanos, sinceNanos);
            claim.latestRequestAtNanos = Math.max(claim.latestRequestAtNanos, nowNanos);
            Deadline repeatedUntil = Deadline.after(nowNanos, RESTORED_VALIDITY);
            if (claim.validUntil.compareTo(repeatedUntil) < 0) {
                claim.validUntil = repeatedUntil;
            }
        });
    }

    /** Returns the claim of a target, which is opened if there is none; empty if there are too many. */
    private Optional<Claim> open(Target target, long sinceNanos, long nowNanos) {
        Claim known = claims.get(target);
        if (known != null || claims.size() >= MAX_CLAIMS) {
            return Optional.ofNullable(known);
        }
        Claim opened = new Claim(sinceNanos, nowNanos);
        claims.put(target, opened);
        write(target, opened, nowNanos);
        return Optional.of(opened);
    }

    /**
     * Ends the claim of a target, since a request for it got a slot.
     *
     * @param target the target
     * @param server the server of the slot
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    public void recordGrant(Target target, String server, long nowNanos) {
        Claim claim = claims.remove(target.ofAnyVersion());
        if (claim != null) {
            claim.change(target, ClaimLink.GRANTED, server, nowNanos);
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
            boolean isDue = link != ClaimLink.UNPLANNED || claim.nextObstacleAt.hasPassed(nowNanos);
            if (isDue && targets.test(target)) {
                claim.nextObstacleAt = Deadline.after(nowNanos, OBSTACLE_INTERVAL);
                claim.change(target, link, detail, nowNanos);
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
                claim.change(entry.getKey(), ClaimLink.EXPIRED, claim.link.name(), nowNanos);
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
     * Returns the targets whose obstacle may be written again.
     *
     * @param service the service of the targets
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return the targets, in no order
     */
    public List<Target> dueForObstacle(String service, long nowNanos) {
        return claims.entrySet().stream()
                .filter(entry -> entry.getKey().service().equals(service)
                        && entry.getValue().nextObstacleAt.hasPassed(nowNanos))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns the claims of each model, with all of its adapters.
     *
     * @param service the service of the models
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return the claims by model
     */
    public Map<String, ModelClaim> byModel(String service, long nowNanos) {
        Map<String, ModelClaim> byModel = new HashMap<>();
        claims.forEach((target, claim) -> {
            if (target.service().equals(service)) {
                byModel.merge(target.model(), claim.summarize(nowNanos), ModelClaim::plus);
            }
        });
        return byModel;
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
