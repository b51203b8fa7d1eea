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
 * Chooses the backend server of a request by predicted time to the answer, or to its first event. A pure function of
 * the candidates. Stateless and thread safe.
 */
public enum ServerSelector {
    /** The only choice. */
    INSTANCE;

    /** Prompt tokens that an engine reads in a millisecond, until its own pace is known; from the users' sheets. */
    public static final double PREFILL_TOKENS_PER_MILLISECOND = 19.0;
    /** Milliseconds of a decoding step; from the users' sheets. */
    private static final double STEP_MILLISECONDS = 10.0;
    /** Milliseconds that each request in the batch adds to a step; from the users' sheets. */
    private static final double STEP_MILLISECONDS_PER_REQUEST = 0.04;
    /** Milliseconds of a plain service's request until its own pace is known; from the users' sheets. */
    private static final double SERVICE_MILLISECONDS = 60.0;
    /** Milliseconds by which another availability zone counts as slower. */
    private static final double ZONE_MILLISECONDS = 30.0;
    /** Milliseconds that a surely failing server counts as slower. */
    private static final double FAILURE_MILLISECONDS = 1_500.0;
    /** The part of an engine's cache beyond which requests wait for memory. */
    private static final double USABLE_CACHE = 0.85;
    /** Milliseconds that a request waits for each whole cache of tokens beyond the usable part. */
    private static final double FULL_CACHE_MILLISECONDS = 4_000.0;
    /** Milliseconds of unread prompts at an engine beyond which its running streams pause for too long. */
    private static final double MOST_UNREAD_MILLISECONDS = 300.0;
    /** Milliseconds of unread prompts at an engine that its running streams do not notice. */
    private static final double HARMLESS_UNREAD_MILLISECONDS = 160.0;
    /** Milliseconds by which a running stream that may pause for too long counts against an engine. */
    private static final double PAUSE_MILLISECONDS = 25.0;

    /**
     * What is asked for.
     *
     * @param work the work of an engine; empty for a plain service
     * @param engines the engines of the service; empty for a plain service
     * @param zone the availability zone of this VM
     * @param triedServers the servers that are not asked again
     */
    public record Query(
            Optional<EngineWork> work,
            Optional<EnginePool> engines,
            AvailabilityZone zone,
            Set<BackendServerName> triedServers) {}

    /**
     * A server that can run the request.
     *
     * @param server the server
     * @param load what is in flight there
     * @param latencyRatio the pace of its model in proportion to the expected one
     */
    public record Candidate(BackendServer server, ServerLoad load, double latencyRatio) {}

    /**
     * The chosen server.
     *
     * @param server the server
     * @param expectedMillis the predicted time to the answer or its first event
     * @param prefillTokens the prompt tokens that the server has to read
     */
    public record Choice(BackendServer server, double expectedMillis, int prefillTokens) {}

    /**
     * Chooses a server.
     *
     * @param query what is asked for
     * @param candidates the servers that can run it
     * @param nowNanos the reading of the clock
     * @param random decides between equals
     * @return empty if there is no candidate
     */
    public Optional<Choice> choose(Query query, List<Candidate> candidates, long nowNanos, RandomGenerator random) {
        List<Candidate> untried = candidates.stream()
                .filter(candidate ->
                        !query.triedServers().contains(candidate.server().name()))
                .toList();
        List<Candidate> sound = untried.stream()
                .filter(candidate -> !candidate.load().isAvoided(nowNanos)
                        && candidate.server().state() == BackendServerState.ALIVE)
                .toList();
        List<Candidate> considered = (sound.isEmpty() ? untried : sound)
                .stream().filter(candidate -> admits(query, candidate)).toList();
        int offset = considered.isEmpty() ? 0 : random.nextInt(considered.size());
        return IntStream.range(0, considered.size())
                .mapToObj(index -> considered.get((index + offset) % considered.size()))
                .map(candidate -> predicted(query, candidate))
                .min(Comparator.comparingDouble(Scored::score))
                .map(Scored::chosen);
    }

    private static boolean admits(Query query, Candidate candidate) {
        if (query.work().isEmpty()
                || query.engines().isEmpty()
                || candidate.load().totalRequests() == 0) {
            return true;
        }
        ServerLoad use = candidate.load();
        EngineWork work = query.work().get();
        int unread = work.promptTokens() - use.prefixCache().cachedTokens(work) + Math.max(0, use.totalPrefillTokens());
        boolean isReadSoon =
                unread / PREFILL_TOKENS_PER_MILLISECOND * candidate.latencyRatio() <= MOST_UNREAD_MILLISECONDS;
        boolean hasRoom = use.totalReservedTokens() + work.totalTokens()
                <= query.engines().get().cacheTokens() * USABLE_CACHE;
        boolean hasSlot = use.totalRequests() < query.engines().get().batchSlots();
        return (isReadSoon || use.totalPrefillTokens() <= 0) && hasRoom && hasSlot;
    }

    private record Scored(Choice chosen, double score) {}

    private Scored predicted(Query query, Candidate candidate) {
        ServerLoad use = candidate.load();
        int unread = query.work()
                .map(work -> Math.max(1, work.promptTokens() - use.prefixCache().cachedTokens(work)))
                .orElse(0);
        double expected = query.work()
                .map(work -> engineMillis(query, candidate, work, unread))
                .orElseGet(() -> serviceMillis(candidate));
        double penalty = candidate.server().zone().equals(query.zone()) ? 0.0 : ZONE_MILLISECONDS;
        double score = expected * use.latencyRatio()
                + use.failureRate() * FAILURE_MILLISECONDS
                + penalty
                + harmMillis(use, unread, candidate.latencyRatio());
        return new Scored(new Choice(candidate.server(), expected, unread), score);
    }

    private static double harmMillis(ServerLoad use, int unread, double pace) {
        double reading = (use.totalPrefillTokens() + unread) / PREFILL_TOKENS_PER_MILLISECOND * pace;
        double excess = Math.max(0, reading - HARMLESS_UNREAD_MILLISECONDS) / HARMLESS_UNREAD_MILLISECONDS;
        return Math.min(1.0, excess) * use.totalRequests() * PAUSE_MILLISECONDS;
    }

    private static double engineMillis(Query query, Candidate candidate, EngineWork work, int unread) {
        ServerLoad use = candidate.load();
        double prefill = (use.totalPrefillTokens() + unread) / PREFILL_TOKENS_PER_MILLISECOND;
        double step = STEP_MILLISECONDS + use.totalRequests() * STEP_MILLISECONDS_PER_REQUEST;
        double memory = 0.0;
        if (query.engines().isPresent()) {
            EnginePool engines = query.engines().get();
            double held =
                    (use.totalReservedTokens() + work.totalTokens()) / (double) Math.max(1, engines.cacheTokens());
            memory = Math.max(0.0, held - USABLE_CACHE) * FULL_CACHE_MILLISECONDS;
            int beyond = use.totalRequests() + 1 - engines.batchSlots();
            memory += Math.max(0, beyond) * step;
        }
        return (prefill + 2 * step) * candidate.latencyRatio() + memory;
    }

    private static double serviceMillis(Candidate candidate) {
        int slots = Math.max(1, candidate.server().load().batchLimit());
        int ahead = Math.max(0, candidate.load().totalRequests() + 1 - slots);
        double crowding = candidate.load().totalRequests() / (double) slots;
        return SERVICE_MILLISECONDS * candidate.latencyRatio() * (1 + ahead / (double) slots) + crowding;
    }
}
