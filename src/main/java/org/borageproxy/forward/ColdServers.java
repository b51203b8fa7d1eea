package org.borageproxy.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.warmup.WarmUpRules;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which servers are cold, and the permits for requests to them. The latest of what a server states in heartbeats and
 * answers and of what other VMs know counts. A server that states nothing is cold for the warm-up time of its service
 * from its start, if it started after the service had got one. Not thread safe; confined to one event loop.
 */
final class ColdServers {

    private static final Logger LOGGER = LoggerFactory.getLogger(ColdServers.class);
    /** Time after an answer that says how long a server is cold, for which older heartbeats may still arrive. */
    private static final Duration HEARTBEAT_DELAY = Duration.ofSeconds(2);
    /** Change of the end of the cold time that is worth a log line and a report. */
    private static final Duration MIN_CHANGE = Duration.ofMillis(500);

    private final Environment environment;
    private final Map<BackendServerName, State> states = new HashMap<>();
    /** Wall-clock time from which each service has a warm-up time, as far as this VM has seen. */
    private final Map<String, Long> ruledSinceMillis = new HashMap<>();

    /**
     * The collaborators.
     *
     * @param rules returns how the servers of a service warm up
     * @param factor the rate that all holders of such permits share, relative to the stated one
     * @param share supplies the fraction of that rate which this VM may use; one if it holds the whole rate
     * @param clock the clock
     * @param wallMillis the wall clock, in Unix milliseconds
     * @param random draws permits that are less than whole
     */
    record Environment(
            Function<String, WarmUpRules> rules,
            double factor,
            DoubleSupplier share,
            MonotonicClock clock,
            LongSupplier wallMillis,
            RandomGenerator random) {}

    private static final class State {
        private final long incarnation;
        private final RequestPermits permits;
        private long sequence = Long.MIN_VALUE;
        private Deadline until;
        private Deadline answerOutranksUntil;

        private State(long incarnation, RequestPermits permits, long nowNanos) {
            this.incarnation = incarnation;
            this.permits = permits;
            this.until = new Deadline(nowNanos);
            this.answerOutranksUntil = new Deadline(nowNanos);
        }
    }

    ColdServers(Environment environment) {
        this.environment = environment;
    }

    private State observe(BackendServer server) {
        long nowNanos = environment.clock().nanoTime();
        State state = states.get(server.name());
        if (state == null || state.incarnation < server.incarnation()) {
            state = create(server.name(), server.incarnation());
            state.until = Deadline.after(nowNanos, remainingFromStart(server));
        }
        if (state.incarnation == server.incarnation() && state.sequence < server.sequence()) {
            state.sequence = server.sequence();
            if (server.load().coldMillis().isPresent() && state.answerOutranksUntil.hasPassed(nowNanos)) {
                Duration stated = Duration.ofMillis(server.load().coldMillis().getAsLong());
                set(server.name(), state, stated, "heartbeat");
            }
        }
        return state;
    }

    private State create(BackendServerName name, long incarnation) {
        long nowNanos = environment.clock().nanoTime();
        RequestPermits permits = new RequestPermits(0, environment.random(), nowNanos);
        State state = new State(incarnation, permits, nowNanos);
        states.put(name, state);
        return state;
    }

    private Duration remainingFromStart(BackendServer server) {
        long nowMillis = environment.wallMillis().getAsLong();
        return server.services().stream()
                .map(service -> remainingFromStart(server, service, nowMillis))
                .max(Duration::compareTo)
                .orElse(Duration.ZERO);
    }

    private Duration remainingFromStart(BackendServer server, String service, long nowMillis) {
        WarmUpRules rules = environment.rules().apply(service);
        if (rules.requestsPerSecond().isEmpty()) {
            return Duration.ZERO;
        }
        long sinceMillis = ruledSinceMillis.computeIfAbsent(service, key -> nowMillis);
        Duration age = Duration.ofMillis(Math.max(0, nowMillis - server.incarnation()));
        boolean isStartedSince = server.incarnation() > sinceMillis && age.compareTo(rules.duration()) < 0;
        return isStartedSince ? rules.duration().minus(age) : Duration.ZERO;
    }

    /** Sets how long a server is cold and returns whether that is a notable change. */
    private boolean set(BackendServerName name, State state, Duration remaining, String source) {
        long nowNanos = environment.clock().nanoTime();
        long changeNanos = remaining.toNanos() - state.until.remainingNanos(nowNanos);
        boolean isChange = Math.abs(changeNanos) >= MIN_CHANGE.toNanos();
        if (isChange) {
            LOGGER.info(
                    "event=server-cold server={} incarnation={} cold_ms={} source={}",
                    name,
                    state.incarnation,
                    remaining.toMillis(),
                    source);
        }
        state.until = Deadline.after(nowNanos, remaining);
        return isChange;
    }

    /**
     * Records what a server states in an answer to this VM.
     *
     * @param server the server
     * @param remaining the time until it is warm
     * @return whether other VMs should be told
     */
    boolean recordAnswer(BackendServer server, Duration remaining) {
        State state = observe(server);
        if (state.incarnation != server.incarnation()) {
            return false;
        }
        state.answerOutranksUntil = Deadline.after(environment.clock().nanoTime(), HEARTBEAT_DELAY);
        return set(server.name(), state, remaining, "answer");
    }

    /**
     * Records that another VM knows a server to be cold.
     *
     * @param name the server
     * @param incarnation the incarnation
     * @param remaining the time until it is warm
     * @return whether that was not known
     */
    boolean recordReport(BackendServerName name, long incarnation, Duration remaining) {
        State state = states.get(name);
        if (state == null || state.incarnation < incarnation) {
            state = create(name, incarnation);
        }
        long nowNanos = environment.clock().nanoTime();
        boolean isLonger = Deadline.after(nowNanos, remaining).atNanos() - state.until.atNanos() > 0;
        boolean isNews = state.incarnation == incarnation && isLonger && state.answerOutranksUntil.hasPassed(nowNanos);
        if (isNews && set(name, state, remaining, "vm")) {
            state.answerOutranksUntil = Deadline.after(nowNanos, HEARTBEAT_DELAY);
            return true;
        }
        return false;
    }

    /** Returns whether a server is cold, and therefore slow, whether or not its requests are limited. */
    boolean isCold(BackendServer server) {
        State state = observe(server);
        return state.incarnation == server.incarnation()
                && !state.until.hasPassed(environment.clock().nanoTime());
    }

    /** Returns how long an incarnation of a server is known to be cold; zero if it is not. */
    Duration remaining(BackendServerName name, long incarnation) {
        State state = states.get(name);
        long nowNanos = environment.clock().nanoTime();
        return state == null || state.incarnation != incarnation
                ? Duration.ZERO
                : Duration.ofNanos(Math.max(0, state.until.remainingNanos(nowNanos)));
    }

    /** Returns the requests per second that a server takes from all VMs while it is cold; empty for no limit now. */
    OptionalDouble limit(BackendServer server) {
        // Most servers are warm; the rules are looked up only for the others, since this is asked for each candidate.
        return isCold(server)
                ? server.services().stream()
                        .map(service -> environment.rules().apply(service).requestsPerSecond())
                        .flatMapToDouble(OptionalDouble::stream)
                        .min()
                : OptionalDouble.empty();
    }

    private RequestPermits permits(BackendServer server, double limit) {
        RequestPermits permits = observe(server).permits;
        permits.changeLimit(limit * environment.factor());
        return permits;
    }

    /** Returns whether a request may be sent now. May use up the saved fraction of a permit. */
    boolean isPermitted(BackendServer server) {
        OptionalDouble limit = limit(server);
        return limit.isEmpty()
                || permits(server, limit.getAsDouble())
                        .isAvailable(
                                environment.share().getAsDouble(),
                                environment.clock().nanoTime());
    }

    /** Uses the permit for a request; without effect for a server without a limit now. */
    void acquirePermit(BackendServer server) {
        limit(server).ifPresent(limit -> permits(server, limit)
                .acquire(environment.share().getAsDouble(), environment.clock().nanoTime()));
    }

    /** Returns when a holder of the whole rate may send its next request; a time that has passed without a limit. */
    Deadline permittedAt(BackendServer server) {
        long nowNanos = environment.clock().nanoTime();
        OptionalDouble limit = limit(server);
        return limit.isEmpty()
                ? new Deadline(nowNanos)
                : permits(server, limit.getAsDouble()).availableAt(nowNanos);
    }

    /** Removes the states of servers that are no longer announced. */
    void retain(Set<BackendServerName> announced) {
        states.keySet().retainAll(announced);
    }
}
