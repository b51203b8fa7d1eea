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

    /**
     * The requirements of a request.
     *
     * @param work the inference work; empty for a plain service
     * @param engines the engine pool of the service; empty for a plain service
     * @param zone the availability zone from which the request is sent
     * @param triedServers the servers that must not be selected again
     * @param usableShare the share of its limits up to which a server takes the request; one if nothing is left free,
     *     infinite for a plain service whose load is not known
     */
    public record Query(
            Optional<EngineWork> work,
            Optional<EnginePool> engines,
            AvailabilityZone zone,
            Set<BackendServerName> triedServers,
            double usableShare) {

        /**
         * Creates the requirements of a request that may use all of an engine.
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
            this(work, engines, zone, triedServers, 1);
        }
    }

    /**
     * A server that can run the request.
     *
     * @param server the server
     * @param load the load and recent outcomes of the server
     * @param latencyRatio the ratio of observed to expected latency of the model or plain service; one as expected
     */
    public record Candidate(BackendServer server, ServerLoad load, double latencyRatio) {}

    /**
     * The selected server.
     *
     * @param server the server
     * @param expectedMillis the predicted time to the answer or its first event, in milliseconds
     * @param prefillTokens the prompt tokens that the server probably has not cached; zero for a plain service
     */
    public record Choice(BackendServer server, double expectedMillis, int prefillTokens) {}

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
        int offset = admitting.isEmpty() ? 0 : random.nextInt(admitting.size());
        return IntStream.range(0, admitting.size())
                .mapToObj(index -> admitting.get((index + offset) % admitting.size()))
                .map(candidate -> score(query, candidate))
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
        boolean isBacklogShort = prefillTokens / PREFILL_TOKENS_PER_MILLISECOND * candidate.latencyRatio()
                <= MAX_PREFILL_BACKLOG_MILLISECONDS * query.usableShare();
        boolean hasRoom = load.totalReservedTokens() + work.totalTokens()
                <= query.engines().get().cacheTokens() * USABLE_CACHE_SHARE * query.usableShare();
        boolean hasSlot = load.totalRequests() < query.engines().get().batchSlots() * query.usableShare();
        return (isBacklogShort || load.totalPrefillTokens() <= 0) && hasRoom && hasSlot;
    }

    private record Scored(Choice choice, double score) {}

    private Scored score(Query query, Candidate candidate) {
        ServerLoad load = candidate.load();
        int prefillTokens = query.work()
                .map(work ->
                        Math.max(1, work.promptTokens() - load.prefixCache().cachedTokens(work)))
                .orElse(0);
        double expectedMillis = query.work()
                .map(work -> engineMillis(query, candidate, work, prefillTokens))
                .orElseGet(() -> serviceMillis(candidate));
        double penalty = candidate.server().zone().equals(query.zone()) ? 0.0 : CROSS_ZONE_PENALTY_MILLISECONDS;
        double score = expectedMillis * load.latencyRatio()
                + load.failureRate() * FAILURE_PENALTY_MILLISECONDS
                + penalty
                + interferenceMillis(load, prefillTokens, candidate.latencyRatio());
        return new Scored(new Choice(candidate.server(), expectedMillis, prefillTokens), score);
    }

    private static double interferenceMillis(ServerLoad load, int prefillTokens, double latencyRatio) {
        double backlogMillis =
                (load.totalPrefillTokens() + prefillTokens) / PREFILL_TOKENS_PER_MILLISECOND * latencyRatio;
        double excess = Math.max(0, backlogMillis - TOLERATED_PREFILL_BACKLOG_MILLISECONDS)
                / TOLERATED_PREFILL_BACKLOG_MILLISECONDS;
        return Math.min(1.0, excess) * load.totalRequests() * STREAM_STALL_PENALTY_MILLISECONDS;
    }

    private static double engineMillis(Query query, Candidate candidate, EngineWork work, int prefillTokens) {
        ServerLoad load = candidate.load();
        double prefillMillis = (load.totalPrefillTokens() + prefillTokens) / PREFILL_TOKENS_PER_MILLISECOND;
        double stepMillis = DECODE_STEP_MILLISECONDS + load.totalRequests() * DECODE_STEP_MILLISECONDS_PER_REQUEST;
        double memoryMillis = 0.0;
        if (query.engines().isPresent()) {
            EnginePool engines = query.engines().get();
            double usedShare =
                    (load.totalReservedTokens() + work.totalTokens()) / (double) Math.max(1, engines.cacheTokens());
            memoryMillis = Math.max(0.0, usedShare - USABLE_CACHE_SHARE) * CACHE_OVERFLOW_PENALTY_MILLISECONDS;
            int excessRequests = load.totalRequests() + 1 - engines.batchSlots();
            memoryMillis += Math.max(0, excessRequests) * stepMillis;
        }
        return (prefillMillis + 2 * stepMillis) * candidate.latencyRatio() + memoryMillis;
    }

    private static double serviceMillis(Candidate candidate) {
        int slots = Math.max(1, candidate.server().load().batchLimit());
        int excessRequests = Math.max(0, candidate.load().totalRequests() + 1 - slots);
        double crowding = candidate.load().totalRequests() / (double) slots;
        return DEFAULT_SERVICE_MILLISECONDS * candidate.latencyRatio() * (1 + excessRequests / (double) slots)
                + crowding;
    }
}
