package org.borageproxy.routing;

import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerKind;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.membership.LoadReport;

/**
 * Chooses the replica that will probably answer first, out of two drawn at random. Load reports lag, so that the
 * minimum over all replicas would send every VM to the same one. Pure, stateless and thread safe.
 */
public enum ReplicaSelector {
    /** The only selector. */
    INSTANCE;

    /** The share of prefill work that remains when the prompt's prefix is cached. */
    private static final double CACHED_PREFILL_SHARE = 0.2;
    /** Seconds that a request to another zone takes longer. */
    private static final double ZONE_PENALTY_SECONDS = 0.002;
    /** How many times slower than the fastest candidate a replica must be to be demoted. */
    private static final double SLOW_RATIO = 4.0;
    /** Milliseconds below which a replica is never slow. */
    private static final double SLOW_FLOOR_MILLIS = 50.0;
    /** Seconds that a demoted replica is taken to be slower. */
    private static final double SLOW_PENALTY_SECONDS = 30.0;
    /** One of so many choices ignores predictions, so that a replica once slow is measured again. */
    private static final int EXPLORATION = 64;
    /** The smallest rate that a prediction divides by. */
    private static final double SMALLEST_RATE = 0.001;

    /**
     * Chooses a replica.
     *
     * @param query what the request needs
     * @param servers all backend servers
     * @param usages what this VM knows of each backend server
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @param random the source of random draws
     * @return the selection
     */
    public Selection select(
            ReplicaQuery query,
            List<BackendServer> servers,
            Function<BackendServerName, ServerTable.Usage> usages,
            long nowNanos,
            RandomGenerator random) {
        List<Candidate> serving = query.eligible(servers).stream()
                .map(server -> new Candidate(server, usages.apply(server.name())))
                .toList();
        if (serving.isEmpty()) {
            return Selection.Missing.INSTANCE;
        }
        List<Candidate> free =
                serving.stream().filter(candidate -> candidate.admits(query)).toList();
        if (free.isEmpty()) {
            return Selection.Busy.INSTANCE;
        }
        List<Candidate> preferred = preferred(query, free, mostLookLost(serving), nowNanos);
        return new Selection.Chosen(fasterOfTwo(query, preferred, random).server());
    }

    /**
     * Tells whether more than half of the replicas look lost, which points to a fault near this VM.
     *
     * @param candidates the replicas
     * @return {@code true} if the looks are not to be trusted
     */
    private static boolean mostLookLost(List<Candidate> candidates) {
        long lost = candidates.stream().filter(Candidate::looksLost).count();
        return lost * 2 > candidates.size();
    }

    /**
     * Narrows the replicas down by preferences, each of which gives way if nothing is left.
     *
     * @param query what the request needs
     * @param free the replicas that admit the request
     * @param lookUntrusted whether the looks of lost replicas are not to be trusted
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return the preferred replicas, never empty
     */
    private static List<Candidate> preferred(
            ReplicaQuery query, List<Candidate> free, boolean lookUntrusted, long nowNanos) {
        List<Candidate> trusted = lookUntrusted
                ? free
                : narrowed(free, candidate -> !candidate.looksLost() || candidate.admitsProbe(nowNanos));
        List<Candidate> otherZone = query.triedServers().isEmpty()
                ? trusted
                : narrowed(trusted, candidate -> !query.triedServers()
                        .containsValue(candidate.server().zone()));
        List<Candidate> probes = narrowed(otherZone, candidate -> candidate.admitsProbe(nowNanos));
        return query.triedServers().isEmpty() && !query.exclusive() ? probes : otherZone;
    }

    /**
     * Keeps the replicas that satisfy a preference, or all if none does.
     *
     * @param candidates the replicas
     * @param preference the preference
     * @return the narrowed replicas, never empty
     */
    private static List<Candidate> narrowed(List<Candidate> candidates, Predicate<Candidate> preference) {
        List<Candidate> kept = candidates.stream().filter(preference).toList();
        return kept.isEmpty() ? candidates : kept;
    }

    /**
     * Draws two replicas and returns the one with the smaller predicted time.
     *
     * @param query what the request needs
     * @param candidates the replicas, never empty
     * @param random the source of random draws
     * @return the faster replica
     */
    private static Candidate fasterOfTwo(ReplicaQuery query, List<Candidate> candidates, RandomGenerator random) {
        double fastestMillis = candidates.stream()
                .mapToDouble(candidate -> candidate.usage().circuit().meanMillis())
                .filter(millis -> millis > 0)
                .min()
                .orElse(0.0);
        Comparator<Candidate> byTime =
                Comparator.comparingDouble(candidate -> candidate.predictedSeconds(query, fastestMillis));
        for (Candidate candidate : candidates) {
            if (candidate.server().name().equals(query.affinity()) && candidate.hasRoom()) {
                Candidate other = candidates.get(random.nextInt(candidates.size()));
                return byTime.compare(candidate, other) <= 0 ? candidate : other;
            }
        }
        int first = random.nextInt(candidates.size());
        if (random.nextInt(EXPLORATION) == 0) {
            return candidates.get(first);
        }
        int step = candidates.size() == 1 ? 0 : 1 + random.nextInt(candidates.size() - 1);
        Candidate one = candidates.get(first);
        Candidate two = candidates.get((first + step) % candidates.size());
        return byTime.compare(one, two) <= 0 ? one : two;
    }

    /**
     * A replica with what this VM knows of it.
     *
     * @param server the backend server
     * @param usage what this VM has under way there
     */
    private record Candidate(BackendServer server, ServerTable.Usage usage) {

        /**
         * Tells whether the replica may take the request beside what runs there.
         *
         * @param query what the request needs
         * @return {@code true} if it may
         */
        boolean admits(ReplicaQuery query) {
            return !usage.exclusive() && (!query.exclusive() || usage.inFlight() == 0);
        }

        /**
         * Tells whether the replica looks lost.
         *
         * @return {@code true} if heartbeats are missing or the circuit is open
         */
        boolean looksLost() {
            return server.state() == BackendServerState.SUSPECT
                    || usage.circuit().isOpen();
        }

        /**
         * Tells whether the replica is due for a probe.
         *
         * @param nowNanos the reading of the monotonic clock in nanoseconds
         * @return {@code true} if it is
         */
        boolean admitsProbe(long nowNanos) {
            return server.state() == BackendServerState.ALIVE && usage.circuit().mayProbe(nowNanos);
        }

        /**
         * Tells whether the batch has a place.
         *
         * @return {@code true} if a request would not have to wait
         */
        boolean hasRoom() {
            return occupied() < server.load().batchLimit();
        }

        /**
         * Returns the requests at the replica, as far as known.
         *
         * @return the larger of what it reported and what this VM has there
         */
        int occupied() {
            return Math.max(server.load().running() + server.load().waiting(), usage.inFlight());
        }

        /**
         * Predicts the time to the whole answer.
         *
         * @param query what the request needs
         * @param fastestMillis the mean time of the fastest replica for a part of an answer, in milliseconds
         * @return seconds
         */
        double predictedSeconds(ReplicaQuery query, double fastestMillis) {
            double penalty = (server.zone().equals(query.zone()) ? 0.0 : ZONE_PENALTY_SECONDS)
                    + (isSlow(fastestMillis) ? SLOW_PENALTY_SECONDS : 0.0);
            if (server.kind() == BackendServerKind.SERVICE) {
                return penalty + usage.circuit().meanMillis() / 1000.0 * (1 + usage.inFlight()) + occupied() * 1e-6;
            }
            LoadReport load = server.load();
            double decode = query.work().outputTokens() / Math.max(SMALLEST_RATE, load.tokensPerSecond());
            double share = server.name().equals(query.affinity()) ? CACHED_PREFILL_SHARE : 1.0;
            double prefill =
                    share * query.work().promptTokens() / Math.max(SMALLEST_RATE, load.prefillTokensPerSecond());
            double fullBatches = (double) occupied() / Math.max(1, load.batchLimit());
            double queue = Math.max(0.0, fullBatches - 1.0) * decode;
            return penalty + queue + prefill + decode * (1.0 + Math.min(1.0, fullBatches));
        }

        /**
         * Tells whether the replica is much slower than the fastest.
         *
         * @param fastestMillis the mean time of the fastest replica for a part of an answer, in milliseconds
         * @return {@code true} if it is demoted
         */
        private boolean isSlow(double fastestMillis) {
            double own = usage.circuit().meanMillis();
            return own > SLOW_FLOOR_MILLIS && fastestMillis > 0 && own > SLOW_RATIO * fastestMillis;
        }
    }
}
