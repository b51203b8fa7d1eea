package org.borageproxy.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.DoubleStream;

import org.borageproxy.buffer.ServerMemory;
import org.borageproxy.coordination.Coordinator;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.routing.ServerLoad;
import org.borageproxy.routing.ServerStatement;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.warmup.WarmUpRules;
import org.borageproxy.wire.proto.CoordinationProtocol.StatedLimits;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The latest statement of each backend server about its capacity, from its answers to this VM and from other VMs, and
 * the permits that follow from stated request limits. A statement belongs to one incarnation of its server. Of two
 * statements the later one holds; a statement without limits counts from the time at which the request that it answers
 * was sent, so that answers which were on their way do not end a limit. Not thread safe; confined to one event loop.
 */
public final class ServerStatements implements Coordinator.Limits {

    private static final Logger LOGGER = LoggerFactory.getLogger(ServerStatements.class);
    /** Time for which the end of a limit is remembered, so that it outlasts older statements of other VMs. */
    private static final Duration END_RETENTION = Duration.ofSeconds(10);
    /** Age of messages that state only memory: VMs of an older version ignore statements older than the known one. */
    private static final Duration NO_STATEMENT_AGE = Duration.ofDays(1);
    /** Fraction of its slots that a server which must not reject requests is given. */
    private static final double BRITTLE_SLOT_FRACTION = 0.8;

    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final DoubleSupplier share;
    private final Map<BackendServerName, Known> known = new HashMap<>();
    private ColdServers cold;
    private Runnable changeListener = () -> {};
    private long version;
    private long confirmedTerm;
    private final ServerMemory memory = new ServerMemory();
    /** Whether the next report names the memory limits, which a coordinator of a new term may not know. */
    private boolean isMemoryUnreported;

    private static final class Known {
        private final long incarnation;
        private final RequestPermits permits;
        private ServerStatement statement = ServerStatement.NONE;
        private long statedAtNanos;
        /** Whether the coordinator has answered a report with the statement. */
        private boolean isReported;
        /** Whether the report that is in flight includes the statement. */
        private boolean isInReport;

        private Known(long incarnation, RequestPermits permits, long statedAtNanos) {
            this.incarnation = incarnation;
            this.permits = permits;
            this.statedAtNanos = statedAtNanos;
        }
    }

    /**
     * Creates an instance without statements.
     *
     * @param clock the clock
     * @param random the source for draws of permits
     * @param share supplies the fraction of each request limit that this VM may use; one if it holds the whole rate
     */
    public ServerStatements(MonotonicClock clock, RandomGenerator random, DoubleSupplier share) {
        this.clock = clock;
        this.random = random;
        this.share = share;
        limitColdServers(service -> WarmUpRules.NONE, 1, share, System::currentTimeMillis);
    }

    /**
     * Sets how servers warm up. What was known of cold servers is forgotten.
     *
     * @param rules returns how the servers of a service warm up
     * @param factor the rate that all holders of permits like those of this VM share, relative to the stated one
     * @param coldShare supplies the fraction of that rate which this VM may use; one if it holds the whole rate
     * @param wallMillis the wall clock, in Unix milliseconds, to which servers state their starts
     */
    public void limitColdServers(
            Function<String, WarmUpRules> rules, double factor, DoubleSupplier coldShare, LongSupplier wallMillis) {
        cold = new ColdServers(new ColdServers.Environment(rules, factor, coldShare, clock, wallMillis, random));
    }

    /**
     * Sets the action to run when an answer to this VM has changed a statement.
     *
     * @param listener reports the change to the coordinator
     */
    public void onChange(Runnable listener) {
        changeListener = listener;
    }

    /**
     * Returns the memory of the servers, as learned from their crashes.
     *
     * @return the limits, which the caller updates
     */
    public ServerMemory memory() {
        return memory;
    }

    /**
     * Records the statement in an answer to this VM.
     *
     * @param server the server that answered
     * @param statement the statement
     * @param sentAtNanos the clock reading at which the answered request was sent
     */
    public void recordAnswer(BackendServer server, ServerStatement statement, long sentAtNanos) {
        long statedAtNanos = statement.isLimiting() ? clock.nanoTime() : sentAtNanos;
        boolean isChange = update(server.name(), server.incarnation(), statement.limits(), statedAtNanos, "answer");
        boolean isNewlyCold = statement.coldMillis().isPresent()
                && cold.recordAnswer(
                        server, Duration.ofMillis(statement.coldMillis().getAsLong()));
        if (isNewlyCold) {
            markUnreported(server.name(), server.incarnation());
        }
        if (isChange || isNewlyCold) {
            changeListener.run();
        }
    }

    /** Lets the next report, or answer to a report, tell how long a server is cold. */
    private void markUnreported(BackendServerName name, long incarnation) {
        Known current = known.get(name);
        if (current == null || current.incarnation < incarnation) {
            current = create(name, incarnation, clock.nanoTime());
        }
        current.isReported = false;
        current.isInReport = false;
        version++;
    }

    private boolean update(
            BackendServerName name, long incarnation, ServerStatement statement, long statedAtNanos, String source) {
        Known previous = known.get(name);
        boolean isKnown = previous != null && previous.incarnation >= incarnation;
        if (isKnown ? previous.incarnation > incarnation : !statement.isLimiting()) {
            return false;
        }
        Known current = isKnown ? previous : create(name, incarnation, statedAtNanos);
        boolean isChange = statedAtNanos - current.statedAtNanos >= 0 && !statement.equals(current.statement);
        if (source.equals("answer") || isChange) {
            current.statedAtNanos += Math.max(0, statedAtNanos - current.statedAtNanos);
        }
        if (!isChange) {
            return false;
        }
        current.statement = statement;
        current.isReported = false;
        current.isInReport = false;
        statement.requestLimit().ifPresent(current.permits::changeLimit);
        version++;
        LOGGER.info("event=server-stated server={} incarnation={} {} source={}", name, incarnation, statement, source);
        return true;
    }

    private Known create(BackendServerName name, long incarnation, long statedAtNanos) {
        Known created = new Known(incarnation, new RequestPermits(0, random, clock.nanoTime()), statedAtNanos);
        known.put(name, created);
        return created;
    }

    /**
     * Returns whether a server states any limit, or one of its memory is known.
     *
     * @param server the server
     * @return {@code false} for a server without a statement and a learned limit
     */
    public boolean isLimiting(BackendServer server) {
        return statement(server).isLimiting()
                || cold.limit(server).isPresent()
                || memory.limit(server.name().value(), clock.nanoTime()).isPresent();
    }

    /**
     * Returns whether a server has started or become cold a short time ago and is slow.
     *
     * @param server the server
     * @return {@code true} until it is warm
     */
    boolean isCold(BackendServer server) {
        return cold.isCold(server);
    }

    private ServerStatement statement(BackendServer server) {
        Known current = known.get(server.name());
        boolean isKnown = current != null && current.incarnation == server.incarnation();
        return isKnown ? current.statement : ServerStatement.NONE;
    }

    /**
     * Returns whether a server takes a request now, as far as its statement is concerned. May use up the saved fraction
     * of a permit.
     *
     * @param server the server
     * @param engines the engine pool of the service; empty for a plain service
     * @param load the load of the server
     * @param bodyBytes the size of the request's body
     * @return {@code true} for a server without a statement and a limit of its memory
     */
    boolean admits(BackendServer server, Optional<EnginePool> engines, ServerLoad load, long bodyBytes) {
        int slots = engines.map(EnginePool::batchSlots).orElse(server.load().batchLimit());
        return hasRoom(server, slots, load) && hasMemory(server, load, bodyBytes) && isPermitted(server);
    }

    /** Returns whether a server has memory for a body. An entry without coordinator keeps to a share. */
    private boolean hasMemory(BackendServer server, ServerLoad load, long bodyBytes) {
        String name = server.name().value();
        long nowNanos = clock.nanoTime();
        return memory.admits(name, load.totalHeldBytes(), bodyBytes, 1, nowNanos)
                && memory.admits(name, load.ownHeldBytes(), bodyBytes, Math.min(1, share.getAsDouble()), nowNanos);
    }

    /**
     * Returns whether a server that must not reject requests has a slot to spare. New connections and checks may take
     * some of the slots. An entry without coordinator knows the load of the others only as it was, and keeps to a
     * share.
     */
    private boolean hasRoom(BackendServer server, int slots, ServerLoad load) {
        if (statement(server).rejectionLimit().isEmpty()) {
            return true;
        }
        int usableSlots = Math.max(1, (int) (slots * BRITTLE_SLOT_FRACTION));
        boolean isWithinShare =
                share.getAsDouble() >= 1 || load.ownRequests() < Math.max(1, usableSlots * share.getAsDouble());
        return load.totalRequests() < usableSlots && isWithinShare;
    }

    /**
     * Returns whether a server must not reject many requests.
     *
     * @param server the server
     * @return whether it states how many rejections it survives
     */
    boolean isBrittle(BackendServer server) {
        return statement(server).rejectionLimit().isPresent();
    }

    /**
     * Returns whether this VM may send a request to a server now, as far as the server's request limit is concerned.
     *
     * @param server the server
     * @return {@code true} for a server without a request limit
     */
    public boolean isPermitted(BackendServer server) {
        boolean isPermittedByStatement = statement(server).requestLimit().isEmpty()
                || known.get(server.name()).permits.isAvailable(share.getAsDouble(), clock.nanoTime());
        return isPermittedByStatement && cold.isPermitted(server);
    }

    /**
     * Uses the permit for a request to a server; without effect for a server without a request limit.
     *
     * @param server the server
     */
    public void acquirePermit(BackendServer server) {
        if (statement(server).requestLimit().isPresent()) {
            known.get(server.name()).permits.acquire(share.getAsDouble(), clock.nanoTime());
        }
        cold.acquirePermit(server);
    }

    /**
     * Returns when a holder of the whole rate may send its next request to a server.
     *
     * @param server the server
     * @return a time that has passed for a server without a request limit
     */
    Deadline permittedAt(BackendServer server) {
        long nowNanos = clock.nanoTime();
        Deadline whileCold = cold.permittedAt(server);
        Deadline byStatement = statement(server).requestLimit().isEmpty()
                ? new Deadline(nowNanos)
                : known.get(server.name()).permits.availableAt(nowNanos);
        return whileCold.atNanos() - byStatement.atNanos() > 0 ? whileCold : byStatement;
    }

    /**
     * Returns the requests per second that a server takes from all VMs.
     *
     * @param server the server
     * @return empty if the server states no request limit
     */
    OptionalDouble requestLimit(BackendServer server) {
        return DoubleStream.concat(statement(server).requestLimit().stream(), cold.limit(server).stream())
                .min();
    }

    /**
     * Merges statements that another VM knows.
     *
     * @param statements the statements
     */
    public void merge(List<StatedLimits> statements) {
        long nowNanos = clock.nanoTime();
        for (StatedLimits stated : statements) {
            if (stated.getHeldBytes() > 0) {
                memory.apply(stated.getName(), stated.getHeldBytes(), nowNanos);
                continue;
            }
            ServerStatement statement = new ServerStatement(
                    stated.hasRequestsPerSecond()
                            ? OptionalDouble.of(stated.getRequestsPerSecond())
                            : OptionalDouble.empty(),
                    stated.hasRejections() ? OptionalInt.of(stated.getRejections()) : OptionalInt.empty());
            long statedAtNanos =
                    nowNanos - Duration.ofMillis(stated.getAgeMillis()).toNanos();
            BackendServerName name = new BackendServerName(stated.getName());
            update(name, stated.getIncarnation(), statement, statedAtNanos, "vm");
            Duration coldTime = Duration.ofMillis(stated.getColdMillis());
            if (!coldTime.isZero() && cold.recordReport(name, stated.getIncarnation(), coldTime)) {
                markUnreported(name, stated.getIncarnation());
            }
        }
    }

    /**
     * Returns the statements that the coordinator has not confirmed yet.
     *
     * @return the statements for the next report
     */
    public List<StatedLimits> collectUnreported() {
        List<StatedLimits> unreported = new ArrayList<>();
        known.forEach((name, each) -> {
            if (!each.isReported) {
                each.isInReport = true;
                unreported.add(encode(name, each));
            }
        });
        if (isMemoryUnreported) {
            unreported.addAll(memoryLimits());
        }
        return unreported;
    }

    /**
     * Records that the coordinator has answered the report that was in flight. A coordinator of another term gets all
     * statements again.
     *
     * @param term the term of the coordinator
     */
    public void confirmReport(long term) {
        boolean isNewTerm = term != confirmedTerm;
        confirmedTerm = term;
        isMemoryUnreported = isNewTerm;
        for (Known each : known.values()) {
            each.isReported = each.isInReport || each.isReported && !isNewTerm;
            each.isInReport = false;
        }
    }

    @Override
    public List<StatedLimits> all() {
        List<StatedLimits> statements = new ArrayList<>();
        known.forEach((name, each) -> statements.add(encode(name, each)));
        statements.addAll(memoryLimits());
        return statements;
    }

    private List<StatedLimits> memoryLimits() {
        List<StatedLimits> limits = new ArrayList<>();
        memory.limits(clock.nanoTime())
                .forEach((server, bytes) -> limits.add(StatedLimits.newBuilder()
                        .setName(server)
                        .setAgeMillis(NO_STATEMENT_AGE.toMillis())
                        .setHeldBytes(bytes)
                        .build()));
        return limits;
    }

    private StatedLimits encode(BackendServerName name, Known each) {
        long ageNanos = Math.max(0, clock.nanoTime() - each.statedAtNanos);
        StatedLimits.Builder stated = StatedLimits.newBuilder()
                .setName(name.value())
                .setIncarnation(each.incarnation)
                .setAgeMillis(Duration.ofNanos(ageNanos).toMillis())
                .setColdMillis(cold.remaining(name, each.incarnation).toMillis());
        each.statement.requestLimit().ifPresent(stated::setRequestsPerSecond);
        each.statement.rejectionLimit().ifPresent(stated::setRejections);
        return stated.build();
    }

    @Override
    public long version() {
        return version + memory.version();
    }

    /**
     * Removes the statements of servers that are no longer announced, and ends of limits that are old.
     *
     * @param announced the announced servers
     */
    public void retain(Set<BackendServerName> announced) {
        long nowNanos = clock.nanoTime();
        cold.retain(announced);
        memory.removeExpired(nowNanos);
        known.entrySet()
                .removeIf(entry -> !announced.contains(entry.getKey())
                        || !entry.getValue().statement.isLimiting()
                                && cold.remaining(entry.getKey(), entry.getValue().incarnation)
                                        .isZero()
                                && Deadline.after(entry.getValue().statedAtNanos, END_RETENTION)
                                        .hasPassed(nowNanos));
    }
}
