package org.borageproxy.routing.speed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Function;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.time.Deadline;

/**
 * Speeds that the coordinator learns from the samples of all entries. A server is compared with its peers, which are
 * the servers with the same services. A slow moving quantile stands for the server itself, so that short disturbances
 * do not change it; a factor with a deadline stands for a disturbance. Speeds close to one count as one. An estimate is
 * computed anew at most once in {@link #UPDATE_INTERVAL}, so that a look-up is cheap. Not thread safe.
 */
public final class LearnedSpeeds implements ServerSpeeds {

    /** Interval at which the slow estimate of a server is computed anew. */
    static final Duration UPDATE_INTERVAL = Duration.ofMillis(250);
    /** Number of servers below which no median of the peers is known. */
    static final int MIN_PEERS = 3;
    /** Deviations up to this count as none, so that equal servers are treated as equal. */
    private static final double DEAD_BAND = Math.log(1.15);
    /** Bound of the speeds, and of their inverses. */
    private static final double MAX_SPEED = 3.0;
    /** Time for which a speed that an earlier coordinator learned counts until this one has learned its own. */
    private static final Duration INHERITED_VALIDITY = Duration.ofSeconds(60);

    private final Map<BackendServerName, Learned> servers = new HashMap<>();
    private final Map<Set<String>, PeerGroup> groups = new HashMap<>();

    private static final class Learned {
        private final SpeedEstimate estimate;
        private final Set<String> services;
        private double inherited = 1.0;
        private Deadline inheritedUntil;
        private double lasting = 1.0;
        private Deadline nextUpdateAt;

        private Learned(BackendServer server, long nowNanos) {
            estimate = new SpeedEstimate(server.incarnation(), nowNanos);
            services = server.services();
            inheritedUntil = new Deadline(nowNanos);
            nextUpdateAt = new Deadline(nowNanos);
        }
    }

    private static final class PeerGroup {
        private SpeedEstimate.Peers medians = SpeedEstimate.Peers.UNKNOWN;
        private Deadline nextUpdateAt;
    }

    /**
     * Records how long a server took compared with the prediction for a server of the speed one.
     *
     * @param server the server
     * @param sample the samples of one report
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return the factor by which the server is slower than usual if a disturbance begins
     */
    public OptionalDouble record(BackendServer server, SlownessSample sample, long nowNanos) {
        SpeedEstimate estimate = learned(server, nowNanos).estimate;
        boolean wasDisturbed = estimate.disturbance(nowNanos) > 0;
        if (sample.firstEvents() > 0) {
            estimate.recordFirstEvent(sample.firstEvent(), nowNanos);
        }
        if (sample.pauses() > 0) {
            estimate.recordPause(sample.pause(), nowNanos);
        }
        double disturbance = estimate.disturbance(nowNanos);
        return wasDisturbed || disturbance == 0 ? OptionalDouble.empty() : OptionalDouble.of(Math.exp(disturbance));
    }

    /**
     * Takes over a speed that an earlier coordinator learned. It counts until this one has enough samples.
     *
     * @param server the server
     * @param speed the speed; unusable values are ignored
     * @param age the time since it was stated
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    public void inherit(BackendServer server, double speed, Duration age, long nowNanos) {
        Deadline until = Deadline.after(nowNanos, INHERITED_VALIDITY.minus(age));
        boolean isUsable = speed >= 1 / MAX_SPEED && speed <= MAX_SPEED;
        Learned learned = learned(server, nowNanos);
        if (isUsable && until.compareTo(learned.inheritedUntil) > 0) {
            learned.inherited = speed;
            learned.inheritedUntil = until;
            learned.nextUpdateAt = new Deadline(nowNanos);
        }
    }

    private Learned learned(BackendServer server, long nowNanos) {
        return find(server).orElseGet(() -> {
            Learned created = new Learned(server, nowNanos);
            servers.put(server.name(), created);
            return created;
        });
    }

    @Override
    public double speedOf(BackendServer server, long nowNanos) {
        return find(server)
                .map(known -> clamp(lastingSpeed(known, nowNanos) * Math.exp(-known.estimate.disturbance(nowNanos))))
                .orElse(1.0);
    }

    private Optional<Learned> find(BackendServer server) {
        return Optional.ofNullable(servers.get(server.name()))
                .filter(known -> known.estimate.incarnation() == server.incarnation());
    }

    /**
     * Returns the speed of a server without short disturbances.
     *
     * @param server the server
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return the speed; 1 is the median of the server's peers
     */
    public double lastingSpeedOf(BackendServer server, long nowNanos) {
        return find(server).map(known -> lastingSpeed(known, nowNanos)).orElse(1.0);
    }

    /**
     * Returns the number of valid samples of a server.
     *
     * @param name the server
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return the samples of the time to the first event and of the pauses
     */
    public int sampleCount(BackendServerName name, long nowNanos) {
        Learned known = servers.get(name);
        return known == null
                ? 0
                : known.estimate.firstEvents().count(nowNanos)
                        + known.estimate.pauses().count(nowNanos);
    }

    private double lastingSpeed(Learned known, long nowNanos) {
        if (known.nextUpdateAt.hasPassed(nowNanos)) {
            known.nextUpdateAt = Deadline.after(nowNanos, UPDATE_INTERVAL);
            SpeedEstimate estimate = known.estimate;
            boolean hasSamples = estimate.firstEvents().count(nowNanos) >= SpeedEstimate.MIN_SAMPLES
                    || estimate.pauses().count(nowNanos) >= SpeedEstimate.MIN_SAMPLES;
            boolean isInherited = !hasSamples && !known.inheritedUntil.hasPassed(nowNanos);
            double own = estimate.relativeSlowness(peers(known.services, nowNanos), nowNanos);
            known.lasting = isInherited ? known.inherited : clamp(Math.exp(-withoutDeadBand(own)));
        }
        return known.lasting;
    }

    /** Removes the dead band and restores the full deviation at twice its width, without a step between. */
    private static double withoutDeadBand(double deviation) {
        double size = Math.abs(deviation);
        double reduced = Math.min(size, 2 * Math.max(0.0, size - DEAD_BAND));
        return Math.copySign(reduced, deviation);
    }

    private static double clamp(double speed) {
        return Math.max(1 / MAX_SPEED, Math.min(MAX_SPEED, speed));
    }

    private SpeedEstimate.Peers peers(Set<String> services, long nowNanos) {
        PeerGroup group = groups.computeIfAbsent(services, key -> new PeerGroup());
        if (group.nextUpdateAt == null || group.nextUpdateAt.hasPassed(nowNanos)) {
            group.nextUpdateAt = Deadline.after(nowNanos, UPDATE_INTERVAL);
            List<SpeedEstimate> estimates = servers.values().stream()
                    .filter(learned -> learned.services.equals(services))
                    .map(learned -> learned.estimate)
                    .toList();
            group.medians = new SpeedEstimate.Peers(
                    median(estimates, SpeedEstimate::firstEvents, nowNanos),
                    median(estimates, SpeedEstimate::pauses, nowNanos));
        }
        return group.medians;
    }

    private static OptionalDouble median(
            List<SpeedEstimate> estimates, Function<SpeedEstimate, SlownessHistory> kind, long nowNanos) {
        List<Double> known = new ArrayList<>();
        for (SpeedEstimate estimate : estimates) {
            SlownessHistory history = kind.apply(estimate);
            if (history.count(nowNanos) >= SpeedEstimate.MIN_SAMPLES) {
                known.add(history.slowness(nowNanos).orElseThrow());
            }
        }
        known.sort(null);
        return known.size() < MIN_PEERS ? OptionalDouble.empty() : OptionalDouble.of(known.get(known.size() / 2));
    }

    /**
     * Removes all other servers.
     *
     * @param names the servers to keep
     */
    public void retain(Collection<BackendServerName> names) {
        servers.keySet().retainAll(names);
        groups.keySet()
                .retainAll(servers.values().stream()
                        .map(learned -> learned.services)
                        .toList());
    }
}
