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
 * Selects a replica by power of two choices: draws two at random and takes the one with the smaller predicted response
 * time. Load reports lag, so that taking the minimum over all replicas would send every VM to the same one. Stateless
 * and thread safe.
 */
public enum ReplicaSelector {
    /** The only instance. */
    INSTANCE;

    /** Share of the prefill that remains when the prompt's prefix is cached. */
    private static final double CACHED_PREFILL_SHARE = 0.2;
    /** Additional response time of a replica in another availability zone. */
    private static final double ZONE_PENALTY_SECONDS = 0.002;
    /** Ratio to the smallest mean response time above which a replica is demoted. */
    private static final double SLOW_RATIO = 4.0;
    /** Mean response time up to which a replica is never demoted. */
    private static final double SLOW_FLOOR_MILLIS = 50.0;
    /** Penalty of a demoted replica. */
    private static final double SLOW_PENALTY_SECONDS = 30.0;
    /** One in this many selections ignores predictions, so that a replica that was slow gets new samples. */
    private static final int EXPLORATION_INTERVAL = 64;
    /** Lower bound of reported token rates, against division by zero. */
    private static final double MIN_RATE = 0.001;

    /**
     * Selects a replica.
     *
     * @param query the requirements of the request
     * @param servers all backend servers
     * @param usages returns this VM's requests in flight and the circuit breaker of a backend server
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @param random the source of random draws
     * @return a replica; {@link Selection.Busy} if every replica is reserved or, for an exclusive request, occupied;
     *     {@link Selection.Missing} if none is eligible
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
        List<Candidate> admitting =
                serving.stream().filter(candidate -> candidate.admits(query)).toList();
        if (admitting.isEmpty()) {
            return Selection.Busy.INSTANCE;
        }
        List<Candidate> preferred = preferred(query, admitting, isMajorityUnhealthy(serving), nowNanos);
        return new Selection.Chosen(fasterOfTwo(query, preferred, random).server());
    }

    /** If most replicas appear unhealthy, the fault is probably near this VM, and the health state is ignored. */
    private static boolean isMajorityUnhealthy(List<Candidate> candidates) {
        long unhealthy = candidates.stream().filter(Candidate::isUnhealthy).count();
        return unhealthy * 2 > candidates.size();
    }

    /**
     * Filters the replicas by preferences in turn; a preference that no replica meets is skipped.
     *
     * @param query the requirements of the request
     * @param admitting the replicas that admit the request, never empty
     * @param ignoresHealth whether unhealthy replicas are not filtered out
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return the preferred replicas, never empty
     */
    private static List<Candidate> preferred(
            ReplicaQuery query, List<Candidate> admitting, boolean ignoresHealth, long nowNanos) {
        List<Candidate> healthy = ignoresHealth
                ? admitting
                : filteredOrAll(admitting, candidate -> !candidate.isUnhealthy() || candidate.admitsProbe(nowNanos));
        List<Candidate> inOtherZone = query.triedServers().isEmpty()
                ? healthy
                : filteredOrAll(healthy, candidate -> !query.triedServers()
                        .containsValue(candidate.server().zone()));
        List<Candidate> probes = filteredOrAll(inOtherZone, candidate -> candidate.admitsProbe(nowNanos));
        // Retries and exclusive requests are not sent to a replica because it is due for a probe.
        return query.triedServers().isEmpty() && !query.exclusive() ? probes : inOtherZone;
    }

    private static List<Candidate> filteredOrAll(List<Candidate> candidates, Predicate<Candidate> preference) {
        List<Candidate> filtered = candidates.stream().filter(preference).toList();
        return filtered.isEmpty() ? candidates : filtered;
    }

    /**
     * Draws two replicas and returns the one with the smaller predicted time. The replica with prefix affinity takes
     * the place of one draw while its batch has room.
     *
     * @param query the requirements of the request
     * @param candidates the replicas, never empty
     * @param random the source of random draws
     * @return the replica with the smaller predicted time
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
        int firstIndex = random.nextInt(candidates.size());
        if (random.nextInt(EXPLORATION_INTERVAL) == 0) {
            return candidates.get(firstIndex);
        }
        int step = candidates.size() == 1 ? 0 : 1 + random.nextInt(candidates.size() - 1);
        Candidate firstDraw = candidates.get(firstIndex);
        Candidate secondDraw = candidates.get((firstIndex + step) % candidates.size());
        return byTime.compare(firstDraw, secondDraw) <= 0 ? firstDraw : secondDraw;
    }

    /**
     * A replica with this VM's view of it.
     *
     * @param server the backend server
     * @param usage this VM's requests in flight there and the circuit breaker
     */
    private record Candidate(BackendServer server, ServerTable.Usage usage) {

        /** An exclusive request and any other request never run on a replica at the same time. */
        boolean admits(ReplicaQuery query) {
            return !usage.exclusive() && (!query.exclusive() || usage.inFlight() == 0);
        }

        boolean isUnhealthy() {
            return server.state() == BackendServerState.SUSPECT
                    || usage.circuit().isOpen();
        }

        boolean admitsProbe(long nowNanos) {
            return server.state() == BackendServerState.ALIVE && usage.circuit().mayProbe(nowNanos);
        }

        boolean hasRoom() {
            return requestCount() < server.load().batchLimit();
        }

        /** The load report lags, so that this VM's own count may be the larger one. */
        int requestCount() {
            return Math.max(server.load().running() + server.load().waiting(), usage.inFlight());
        }

        /**
         * Predicts the time to the end of the answer.
         *
         * @param query the requirements of the request
         * @param fastestMillis the smallest mean response time per part of the answer among the replicas, in
         *     milliseconds; zero if none is known
         * @return the time in seconds
         */
        double predictedSeconds(ReplicaQuery query, double fastestMillis) {
            double penalty = (server.zone().equals(query.zone()) ? 0.0 : ZONE_PENALTY_SECONDS)
                    + (isSlow(fastestMillis) ? SLOW_PENALTY_SECONDS : 0.0);
            if (server.kind() == BackendServerKind.SERVICE) {
                return penalty + usage.circuit().meanMillis() / 1000.0 * (1 + usage.inFlight()) + requestCount() * 1e-6;
            }
            LoadReport load = server.load();
            double decode = query.work().outputTokens() / Math.max(MIN_RATE, load.tokensPerSecond());
            double share = server.name().equals(query.affinity()) ? CACHED_PREFILL_SHARE : 1.0;
            double prefill = share * query.work().promptTokens() / Math.max(MIN_RATE, load.prefillTokensPerSecond());
            double fullBatches = (double) requestCount() / Math.max(1, load.batchLimit());
            double queue = Math.max(0.0, fullBatches - 1.0) * decode;
            return penalty + queue + prefill + decode * (1.0 + Math.min(1.0, fullBatches));
        }

        private boolean isSlow(double fastestMillis) {
            double ownMillis = usage.circuit().meanMillis();
            return ownMillis > SLOW_FLOOR_MILLIS && fastestMillis > 0 && ownMillis > SLOW_RATIO * fastestMillis;
        }
    }
}
