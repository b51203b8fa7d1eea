package org.borageproxy.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.vm.AvailabilityZone;

/**
 * Selects the backend server of a request by the predicted time to the answer or, for streams, to the first event.
 * Stateless and thread safe.
 */
public enum ServerSelector {
    /** The only instance. */
    INSTANCE;

    /** Nominal prefill rate of an engine; its time is scaled by the latency ratio of the model. */
    public static final double PREFILL_TOKENS_PER_MILLISECOND = 19.0;
    /** Nominal duration of a decoding step of an empty batch. */
    private static final double DECODE_STEP_MILLISECONDS = 10.0;
    /** Nominal time that each request in the batch adds to a decoding step. */
    private static final double DECODE_STEP_MILLISECONDS_PER_REQUEST = 0.04;
    /** Nominal response time of a plain service; scaled by the latency ratio of the service. */
    private static final double DEFAULT_SERVICE_MILLISECONDS = 60.0;

    /**
     * Fewest stated slots by which the requests at a plain service are bounded; one slot is also the unknown number.
     */
    private static final int MIN_BOUNDED_SLOTS = 2;
    /** Requests in flight for each slot of a plain service: the slots, and what arrives while the end is reported. */
    private static final double SERVICE_REQUESTS_PER_SLOT = 1.5;

    private static final double CROSS_ZONE_PENALTY_MILLISECONDS = 30.0;
    /** Penalty of a server whose failure rate is one. */
    private static final double FAILURE_PENALTY_MILLISECONDS = 1_500.0;
    /** Share of an engine's KV cache beyond which requests wait for memory. */
    private static final double USABLE_CACHE_SHARE = 0.85;
    /** Wait for a whole cache of tokens beyond the usable share; proportionally less for a part of it. */
    private static final double CACHE_OVERFLOW_PENALTY_MILLISECONDS = 4_000.0;
    /** Prefill backlog of an engine beyond which its running streams stall for too long. */
    private static final double MAX_PREFILL_BACKLOG_MILLISECONDS = 300.0;
    /** Prefill backlog of an engine that does not delay its running streams noticeably. */
    private static final double TOLERATED_PREFILL_BACKLOG_MILLISECONDS = 160.0;
    /** Penalty of an engine for each running stream that a prefill backlog may stall. */
    private static final double STREAM_STALL_PENALTY_MILLISECONDS = 25.0;

    /** Requests in flight, relative to the mean, from which a server of a fleet with different speeds is crowded. */
    private static final double TOLERATED_IMBALANCE = 1.15;
    /** Penalty of a server that has the whole mean in addition to the tolerated requests. */
    private static final double IMBALANCE_PENALTY_MILLISECONDS = 400.0;
    /** Part of the time to the objective that a request may lose on a slower server, in excess of the next constant. */
    private static final double TOLERATED_OBJECTIVE_SHARE = 0.05;
    /** Keeps requests with objectives of up to two seconds on the servers that finish soonest. */
    private static final double URGENT_MILLISECONDS = 100.0;
    /** Penalty, for each unit of speed, of servers that are all fast enough for a request. */
    private static final double FAST_SERVER_PENALTY_MILLISECONDS = 20.0;
    /** Cost to later requests of each millisecond for which a request waits in the queue of a server. */
    private static final double QUEUE_COST_FACTOR = 2.0;
    /** Mean up to which differences between servers are those of single requests. */
    private static final double MIN_MEAN_REQUESTS = 2.0;

    /**
     * The requirements of a request.
     *
     * @param work the inference work; empty for a plain service
     * @param engines the engine pool of the service; empty for a plain service
     * @param zone the availability zone from which the request is sent
     * @param triedServers the servers that must not be selected again
     * @param toleratedMillis the predicted time up to which the request leaves faster servers to others, in
     *     milliseconds
     * @param usableShare the share of its limits up to which a server takes the request; one if nothing is left free,
     *     infinite for a plain service whose load is not known
     */
    public record Query(
            Optional<EngineWork> work,
            Optional<EnginePool> engines,
            AvailabilityZone zone,
            Set<BackendServerName> triedServers,
            double toleratedMillis,
            double usableShare) {

        /**
         * Creates the requirements of an urgent request that may use all of an engine.
         *
         * @param work the inference work; empty for a plain service
         * @param engines the engine pool of the service; empty for a plain service
         * @param zone the availability zone from which the request is sent
         * @param triedServers the servers that must not be selected again
         */
        public Query(
                Optional<EngineWork> work,
                Optional<EnginePool> engines,
                AvailabilityZone zone,
                Set<BackendServerName> triedServers) {
            this(work, engines, zone, triedServers, 0.0, 1);
        }
    }

    /**
     * Returns the predicted time up to which a request leaves faster servers to others.
     *
     * @param objectiveMillis the time until the latency objective is missed, in milliseconds
     * @return a small part of that time; zero for urgent requests
     */
    public static double toleratedMillis(double objectiveMillis) {
        return Math.max(0.0, objectiveMillis * TOLERATED_OBJECTIVE_SHARE - URGENT_MILLISECONDS);
    }

    /**
     * A server that can run the request.
     *
     * @param server the server
     * @param load the load and recent outcomes of the server
     * @param latencyRatio the ratio of observed to expected latency of the model or plain service; one as expected
     * @param speed the speed of the server; one is the median of its peers
     */
    public record Candidate(BackendServer server, ServerLoad load, double latencyRatio, double speed) {

        /** Returns the factor by which the nominal times of the request are multiplied on the server. */
        private double timeFactor() {
            return latencyRatio / speed;
        }

        /** Returns the requests in flight, including one more, in relation to the speed. */
        private double weightedRequests() {
            return (load.totalRequests() + 1) / speed;
        }
    }

    /**
     * The selected server.
     *
     * @param server the server
     * @param expectedMillis the predicted time to the answer or its first event, in milliseconds
     * @param prefillTokens the prompt tokens that the server probably has not cached; zero for a plain service
     * @param speed the speed of the server that the predicted time assumes; one is the median of its peers
     */
    public record Choice(BackendServer server, double expectedMillis, int prefillTokens, double speed) {}

    /**
     * Selects the server with the lowest score. Servers that are suspect or avoided after failures are considered only
     * if no other untried server exists.
     *
     * @param query the requirements of the request
     * @param candidates the servers that can run the request
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @param random breaks ties
     * @return empty if no candidate is untried and has room for the request
     */
    public Optional<Choice> choose(Query query, List<Candidate> candidates, long nowNanos, RandomGenerator random) {
        List<Candidate> untried = candidates.stream()
                .filter(candidate ->
                        !query.triedServers().contains(candidate.server().name()))
                .toList();
        List<Candidate> healthy = untried.stream()
                .filter(candidate -> !candidate.load().isAvoided(nowNanos)
                        && candidate.server().state() == BackendServerState.ALIVE)
                .toList();
        List<Candidate> admitting = (healthy.isEmpty() ? untried : healthy)
                .stream().filter(candidate -> admits(query, candidate)).toList();
        double meanWeightedRequests = meanWeightedRequests(admitting);
        int offset = admitting.isEmpty() ? 0 : random.nextInt(admitting.size());
        return IntStream.range(0, admitting.size())
                .mapToObj(index -> admitting.get((index + offset) % admitting.size()))
                .map(candidate -> score(query, candidate, meanWeightedRequests))
                .min(Comparator.comparingDouble(Scored::score))
                .map(Scored::choice);
    }

    private static boolean admits(Query query, Candidate candidate) {
        if (candidate.load().totalRequests() == 0) {
            return true;
        }
        if (query.engines().isEmpty()) {
            int slots = candidate.server().load().batchLimit();
            return slots < MIN_BOUNDED_SLOTS
                    || candidate.load().totalRequests() < slots * SERVICE_REQUESTS_PER_SLOT * query.usableShare();
        }
        if (query.work().isEmpty()) {
            return true;
        }
        ServerLoad load = candidate.load();
        EngineWork work = query.work().get();
        int prefillTokens =
                work.promptTokens() - load.prefixCache().cachedTokens(work) + Math.max(0, load.totalPrefillTokens());
        boolean isBacklogShort = prefillTokens / PREFILL_TOKENS_PER_MILLISECOND * candidate.timeFactor()
                <= MAX_PREFILL_BACKLOG_MILLISECONDS * query.usableShare();
        boolean hasRoom = load.totalReservedTokens() + work.totalTokens()
                <= query.engines().get().cacheTokens() * USABLE_CACHE_SHARE * query.usableShare();
        boolean hasSlot = load.totalRequests() < query.engines().get().batchSlots() * query.usableShare();
        return (isBacklogShort || load.totalPrefillTokens() <= 0) && hasRoom && hasSlot;
    }

    private record Scored(Choice choice, double score) {}

    private Scored score(Query query, Candidate candidate, double meanWeightedRequests) {
        ServerLoad load = candidate.load();
        int prefillTokens = query.work()
                .map(work ->
                        Math.max(1, work.promptTokens() - load.prefixCache().cachedTokens(work)))
                .orElse(0);
        double expectedMillis = query.work()
                .map(work -> engineMillis(query, candidate, work, prefillTokens))
                .orElseGet(() -> serviceMillis(candidate));
        double penalty = candidate.server().zone().equals(query.zone()) ? 0.0 : CROSS_ZONE_PENALTY_MILLISECONDS;
        boolean isUneven = Double.isFinite(meanWeightedRequests);
        double score = timeScore(query, candidate, expectedMillis, isUneven)
                + load.failureRate() * FAILURE_PENALTY_MILLISECONDS
                + penalty
                + interferenceMillis(load, prefillTokens, candidate.timeFactor())
                + (isUneven ? costToOthers(candidate, meanWeightedRequests) : 0.0);
        return new Scored(new Choice(candidate.server(), expectedMillis, prefillTokens, candidate.speed()), score);
    }

    /** Servers that are all fast enough for a request differ in their value to more urgent ones. */
    private static double timeScore(Query query, Candidate candidate, double expectedMillis, boolean isUneven) {
        double millis = expectedMillis * candidate.load().latencyRatio();
        return isUneven && query.toleratedMillis() > 0
                ? Math.max(millis, query.toleratedMillis()) + candidate.speed() * FAST_SERVER_PENALTY_MILLISECONDS
                : millis;
    }

    /** Returns infinity for servers of equal speed, whose predicted times alone spread the requests evenly. */
    private static double meanWeightedRequests(List<Candidate> candidates) {
        boolean isEqual = candidates.stream().allMatch(candidate -> candidate.speed() == 1.0);
        double mean = candidates.stream()
                .mapToDouble(Candidate::weightedRequests)
                .average()
                .orElse(0);
        return isEqual ? Double.POSITIVE_INFINITY : Math.max(MIN_MEAN_REQUESTS, mean);
    }

    /**
     * Returns what a request costs those that arrive later, where servers differ in speed. If each request only took
     * the server that finishes it first, the queues of the fast servers would grow until they are as slow as the slow
     * ones. The time to the first event hardly depends on the number of running streams, so that a fast engine would
     * moreover get nearly all of them until its batch or memory is full.
     */
    private static double costToOthers(Candidate candidate, double meanWeightedRequests) {
        double backlogMillis =
                candidate.load().totalPrefillTokens() / PREFILL_TOKENS_PER_MILLISECOND * candidate.timeFactor();
        double excess = candidate.weightedRequests() / meanWeightedRequests - TOLERATED_IMBALANCE;
        return QUEUE_COST_FACTOR * backlogMillis + Math.max(0.0, excess) * IMBALANCE_PENALTY_MILLISECONDS;
    }

    private static double interferenceMillis(ServerLoad load, int prefillTokens, double timeFactor) {
        double backlogMillis =
                (load.totalPrefillTokens() + prefillTokens) / PREFILL_TOKENS_PER_MILLISECOND * timeFactor;
        double excess = Math.max(0, backlogMillis - TOLERATED_PREFILL_BACKLOG_MILLISECONDS)
                / TOLERATED_PREFILL_BACKLOG_MILLISECONDS;
        return Math.min(1.0, excess) * load.totalRequests() * STREAM_STALL_PENALTY_MILLISECONDS;
    }

    private static double engineMillis(Query query, Candidate candidate, EngineWork work, int prefillTokens) {
        ServerLoad load = candidate.load();
        double prefillMillis = (load.totalPrefillTokens() + prefillTokens) / PREFILL_TOKENS_PER_MILLISECOND;
        double stepMillis = stepMillis(load);
        double memoryMillis = 0.0;
        if (query.engines().isPresent()) {
            EnginePool engines = query.engines().get();
            double usedShare =
                    (load.totalReservedTokens() + work.totalTokens()) / (double) Math.max(1, engines.cacheTokens());
            memoryMillis = Math.max(0.0, usedShare - USABLE_CACHE_SHARE) * CACHE_OVERFLOW_PENALTY_MILLISECONDS;
            int excessRequests = load.totalRequests() + 1 - engines.batchSlots();
            memoryMillis += Math.max(0, excessRequests) * stepMillis;
        }
        return (prefillMillis + 2 * stepMillis) * candidate.timeFactor() + memoryMillis;
    }

    /**
     * Returns the nominal duration of a decoding step, for a model and a server that are as fast as expected.
     *
     * @param load the load of the server
     * @return the time in milliseconds
     */
    public static double stepMillis(ServerLoad load) {
        return DECODE_STEP_MILLISECONDS + load.totalRequests() * DECODE_STEP_MILLISECONDS_PER_REQUEST;
    }

    private static double serviceMillis(Candidate candidate) {
        int slots = Math.max(1, candidate.server().load().batchLimit());
        int excessRequests = Math.max(0, candidate.load().totalRequests() + 1 - slots);
        double crowding = candidate.load().totalRequests() / (double) slots;
        return DEFAULT_SERVICE_MILLISECONDS * candidate.timeFactor() * (1 + excessRequests / (double) slots) + crowding;
    }
}
