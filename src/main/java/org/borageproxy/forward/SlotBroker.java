package org.borageproxy.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.control.Timer;
import org.borageproxy.coordination.ModelInventory;
import org.borageproxy.coordination.ServerUsageTotals;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.routing.ServerSelector;
import org.borageproxy.scheduling.AdmissionDecision;
import org.borageproxy.scheduling.RequestCost;
import org.borageproxy.scheduling.ReturnPlaces;
import org.borageproxy.scheduling.WaitingRequest;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.CoordinationProtocol.ServerUsage;
import org.borageproxy.wire.proto.CoordinationProtocol.SlotAnswer;
import org.borageproxy.wire.proto.CoordinationProtocol.SlotRequest;
import org.borageproxy.wire.proto.CoordinationProtocol.UsageReport;

/**
 * Grants slots at model engines to the requests of all entries, on the coordinator, so that entries do not overload an
 * engine independently of one another; also at plain services whose servers state limits. A request without a slot
 * waits in the order of {@link RequestCost}: for capacity while it can still end before its deadline, for a model that
 * is being loaded if that ends before the request's deadline. An entry that gets no answer selects a server itself. Not
 * thread safe; confined to one event loop.
 */
public final class SlotBroker implements VmNetwork.Handler {

    /** Period for which a granted slot counts as used before its entry reports it; an entry must not use it later. */
    static final Duration UNREPORTED_GRANT_VALIDITY = Duration.ofMillis(800);

    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(10);

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(300);
    /** Delay after a report until the usage is updated and the queued requests are retried. */
    private static final Duration REFRESH_DELAY = Duration.ofMillis(4);

    /** Maximum delay of an answer; a request that has to wait longer is told to ask again. */
    static final Duration MAX_ANSWER_DELAY = Duration.ofMillis(200);

    private final Environment environment;
    private final ServerPool pool;
    private final StreamOrigins origins;
    private final Map<VmName, Entry> entries = new HashMap<>();
    private final ServerUsageTotals usage = new ServerUsageTotals();
    private final ReturnPlaces places = new ReturnPlaces();
    private final SlotLog log;
    private boolean isRefreshScheduled;

    /**
     * Collaborators of the broker.
     *
     * @param isCoordinator supplies whether this VM is the coordinator
     * @param pool the servers with the load of all entries; used by this broker only
     * @param origins the origins of the streams that the entries report
     * @param engines returns the engine pool of a service
     * @param clock the clock
     * @param timer schedules tasks on the event loop
     * @param demand receives requests that wait for a model or adapter
     */
    public record Environment(
            Supplier<Boolean> isCoordinator,
            ServerPool pool,
            StreamOrigins origins,
            Function<String, Optional<EnginePool>> engines,
            MonotonicClock clock,
            Timer timer,
            Demand demand) {}

    /** Demand for models and adapters that are not loaded. */
    public interface Demand {

        /**
         * Changes the number of requests that wait for a model or adapter.
         *
         * @param service the service
         * @param work the inference work
         * @param softwareVersion the version of the software that must run the request; empty for any
         * @param change one for a request that starts to wait, minus one for a request that stops waiting
         */
        void addWaiting(String service, EngineWork work, Optional<String> softwareVersion, int change);

        /**
         * Returns the earliest time at which the model and adapter could be loaded if no load is in progress yet.
         *
         * @param service the service
         * @param work the inference work
         * @param softwareVersion the version of the software that must run the request; empty for any
         * @return empty if it is not known, which is the answer unless overridden
         */
        default Optional<Deadline> earliestAt(String service, EngineWork work, Optional<String> softwareVersion) {
            return Optional.empty();
        }

        /**
         * Records that a request is refused without a wait, since its model or adapter comes too late for it. Ignored
         * unless overridden.
         *
         * @param service the service
         * @param work the inference work
         * @param softwareVersion the version of the software that must run the request; empty for any
         */
        default void recordUnserved(String service, EngineWork work, Optional<String> softwareVersion) {}

        /**
         * Records that a request was granted a slot. Ignored unless overridden.
         *
         * @param service the service
         * @param work the inference work
         * @param softwareVersion the version of the software that must run the request; empty for any
         * @param server the server of the slot
         */
        default void recordGrant(
                String service, EngineWork work, Optional<String> softwareVersion, BackendServerName server) {}

        /**
         * Records that a server refused a request because the model or adapter is not loaded.
         *
         * @param server the server
         * @param work the refused work, without token counts
         */
        void recordMissingModel(BackendServerName server, EngineWork work);

        /**
         * Returns the time at which the model and adapter are expected to be loaded.
         *
         * @param service the service
         * @param work the inference work
         * @param softwareVersion the version of the software that must run the request; empty for any
         * @return empty if no load is in progress
         */
        Optional<Deadline> availableAt(String service, EngineWork work, Optional<String> softwareVersion);
    }

    private static final class Entry {
        private final List<Grant> grants = new ArrayList<>();
        private List<ServerUsage> reportedUsage = List.of();
        private String session = "";
        private Deadline expiresAt;
        private long lastSlot;
    }

    private record Grant(long slot, ServerUsage usage, Deadline expiresAt) {}

    /**
     * Creates a broker.
     *
     * @param environment the collaborators
     */
    public SlotBroker(Environment environment) {
        this.environment = environment;
        this.pool = environment.pool();
        this.origins = environment.origins();
        this.log = new SlotLog(environment.clock());
    }

    /**
     * Returns the number of requests that wait for a slot. May be called by any thread; the number may be outdated.
     *
     * @return the number
     */
    public int waitingCount() {
        return pool.waiting().size();
    }

    /**
     * Returns how many requests had to wait for capacity. May be called by any thread.
     *
     * @return the number since the start of the process
     */
    public long putBackCount() {
        return log.putBackCount();
    }

    /**
     * Returns how many requests were refused for want of capacity. May be called by any thread.
     *
     * @return the number since the start of the process
     */
    public long refusedCount() {
        return log.refusedCount();
    }

    /**
     * Records an entry's usage report, which replaces the previous one and confirms granted slots.
     *
     * @param sender the entry
     * @param report the report
     */
    public void recordReport(VmName sender, UsageReport report) {
        long nowNanos = environment.clock().nanoTime();
        Entry entry = entries.computeIfAbsent(sender, name -> new Entry());
        boolean isSameSession = entry.session.equals(report.getSession());
        entry.session = report.getSession();
        removeGrants(entry, grant -> !isSameSession || grant.slot() <= report.getLastSlot());
        usage.remove(entry.reportedUsage);
        usage.add(report.getServersList());
        entry.reportedUsage = report.getServersList();
        entry.expiresAt = Deadline.after(nowNanos, Duration.ofMillis(1500));
        report.getServersList().forEach(pool::applyOutcomes);
        report.getServersList().stream().filter(each -> each.getLostBytes() > 0).forEach(each -> pool.statements()
                .memory()
                .recordLost(each.getName(), each.getIncarnation(), each.getLostBytes(), nowNanos));
        pool.statements().merge(report.getStatedLimitsList());
        origins.recordReported(report.getBegunStreamsList());
        report.getPacesList().forEach(pace -> pool.mergeLatencyRatio(pace.getModel(), pace.getPace()));
        scheduleRefresh();
    }

    private void removeGrants(Entry entry, Predicate<Grant> isObsolete) {
        entry.grants.removeIf(grant -> {
            boolean isRemoved = isObsolete.test(grant);
            if (isRemoved) {
                usage.remove(List.of(grant.usage()));
            }
            return isRemoved;
        });
    }

    /** Reports arrive in quick succession; one refresh and one pass over the queue serve all of an interval. */
    private void scheduleRefresh() {
        if (!isRefreshScheduled) {
            isRefreshScheduled = true;
            environment.timer().schedule(REFRESH_DELAY, () -> {
                isRefreshScheduled = false;
                refreshUsage();
            });
        }
    }

    /**
     * Updates the inventory of a server; requests that wait for it are retried.
     *
     * @param name the server
     * @param inventory the inventory; ignored if older than the known one
     */
    public void updateInventory(String name, ModelInventory inventory) {
        pool.updateInventories(Map.of(new BackendServerName(name), inventory));
    }

    private void refreshUsage() {
        long nowNanos = environment.clock().nanoTime();
        entries.values().removeIf(entry -> {
            boolean isExpired = entry.expiresAt.hasPassed(nowNanos);
            removeGrants(entry, grant -> isExpired || grant.expiresAt().hasPassed(nowNanos));
            if (isExpired) {
                usage.remove(entry.reportedUsage);
            }
            return isExpired;
        });
        List<ServerUsage> latest = usage.latest();
        pool.updateOtherVmUsage(latest, true);
        latest.forEach(each -> pool.statements().memory().recordHeld(each.getName(), each.getHeldBytes(), nowNanos));
        pool.statements().memory().learn((name, incarnation) -> !isAlive(name, incarnation), nowNanos);
    }

    private boolean isAlive(String name, long incarnation) {
        return pool.find(name, incarnation)
                .filter(server -> server.state() == BackendServerState.ALIVE)
                .isPresent();
    }

    @Override
    public CompletionStage<ByteString> handle(VmName sender, ByteString body) {
        SlotRequest request;
        try {
            request = SlotRequest.parseFrom(body);
        } catch (InvalidProtocolBufferException exception) {
            return CompletableFuture.failedFuture(exception);
        }
        if (!environment.isCoordinator().get() || !entries.containsKey(sender)) {
            return CompletableFuture.completedFuture(
                    SlotAnswer.getDefaultInstance().toByteString());
        }
        CompletableFuture<ByteString> answer = new CompletableFuture<>();
        recordPriorAttempts(request);
        new Search(sender, request, answer).begin();
        return answer;
    }

    private void recordPriorAttempts(SlotRequest request) {
        request.getGoneList().forEach(name -> pool.find(name).ifPresent(pool::markGone));
        for (String name : request.getAbsentAtList()) {
            pool.find(name).ifPresent(server -> {
                EngineWork work = new EngineWork(request.getModel(), request.getAdapter(), 0, 0, List.of());
                pool.recordMissingModel(server, work);
                environment.demand().recordMissingModel(server.name(), work);
            });
        }
    }

    /** Search for a slot for one request, which is answered exactly once. */
    private final class Search {
        private final VmName sender;
        private final SlotRequest request;
        private final Optional<EngineWork> work;
        private final CompletableFuture<ByteString> answer;
        private final WaitingRequest waitingRequest;
        private final ReturnPlaces.Returning returning;
        private Optional<WaitingRequest> before = Optional.empty();
        private final ServerRequirement requirement;
        private boolean isWaiting;
        private boolean isModelMissing;

        Search(VmName sender, SlotRequest request, CompletableFuture<ByteString> answer) {
            this.sender = sender;
            this.request = request;
            this.answer = answer;
            List<EngineWork.PromptPart> parts = request.getPartsList().stream()
                    .map(part -> new EngineWork.PromptPart(part.getIdentity(), part.getTokens()))
                    .toList();
            work = request.getModel().isEmpty()
                    ? Optional.empty()
                    : Optional.of(new EngineWork(
                            request.getModel(),
                            request.getAdapter(),
                            request.getPromptTokens(),
                            request.getOutputTokens(),
                            parts));
            Set<BackendServerName> triedServers = new HashSet<>();
            request.getTriedList().forEach(name -> triedServers.add(new BackendServerName(name)));
            Optional<StreamOrigin> origin = request.hasSoftwareVersion()
                    ? Optional.of(new StreamOrigin(request.getService(), request.getSoftwareVersion()))
                    : Optional.empty();
            requirement = new ServerRequirement(
                    request.getService(),
                    environment.engines().apply(request.getService()),
                    work,
                    triedServers,
                    origin,
                    ServerSelector.toleratedMillis(request.getObjectiveMillis()),
                    Set.of(),
                    request.getBodyBytes());
            SlotAttributes attributes = SlotAttributes.read(request);
            returning = new ReturnPlaces.Returning(
                    attributes.caller(),
                    attributes.identity(),
                    request.getService(),
                    request.getModel(),
                    request.getRank());
            waitingRequest = waitingRequest(attributes);
        }

        private WaitingRequest waitingRequest(SlotAttributes attributes) {
            long nowNanos = environment.clock().nanoTime();
            boolean isReturning = hasPlace() && places.isReturning(returning, nowNanos);
            RequestCost.Times times = new RequestCost.Times(
                    nowNanos,
                    Duration.ofMillis(request.getWaitedMillis()),
                    Duration.ofMillis(request.getObjectiveMillis()),
                    Duration.ofMillis(request.getDeadlineMillis()));
            return new WaitingRequest(
                    requirement.lane(),
                    RequestCost.of(request.getRank(), isReturning, attributes.workspace(), work, times),
                    attributes.identity(),
                    this::searchAgain);
        }

        void begin() {
            before = pool.waiting().firstBefore(waitingRequest);
            if (before.isPresent() || !tryGrant()) {
                waitOrRefuse();
                // The request may fit where the one before it does not.
                scheduleRefresh();
            }
        }

        private boolean isFirstAsked() {
            return request.getWaitedMillis() < MAX_ANSWER_DELAY.toMillis();
        }

        /** Requests of earlier builds do not name their callers. */
        private boolean hasPlace() {
            return returning.caller() != 0 || !returning.identity().isEmpty();
        }

        private void searchAgain() {
            if (isWaiting && tryGrant()) {
                stopWaiting();
            }
        }

        private boolean tryGrant() {
            AvailabilityZone zone = new AvailabilityZone(request.getZone());
            Optional<ServerSelector.Choice> choice = pool.choose(requirement, zone, 1);
            choice.ifPresent(this::grant);
            return choice.isPresent();
        }

        private void grant(ServerSelector.Choice choice) {
            Entry entry = entries.computeIfAbsent(sender, name -> new Entry());
            entry.lastSlot++;
            ServerUsage granted = ServerUsage.newBuilder()
                    .setName(choice.server().name().value())
                    .setIncarnation(choice.server().incarnation())
                    .setRequests(1)
                    .setPromptTokens(choice.prefillTokens())
                    .setHeldTokens(work.map(EngineWork::totalTokens).orElse(0))
                    .setHeldBytes(request.getBodyBytes())
                    .build();
            Deadline expiresAt = Deadline.after(environment.clock().nanoTime(), UNREPORTED_GRANT_VALIDITY);
            entry.grants.add(new Grant(entry.lastSlot, granted, expiresAt));
            usage.add(List.of(granted));
            if (entry.expiresAt == null) {
                entry.expiresAt = expiresAt;
            }
            pool.recordAssignment(choice, work, request.getBodyBytes());
            pool.waiting().recordStart(waitingRequest);
            places.release(returning);
            work.ifPresent(each -> environment
                    .demand()
                    .recordGrant(
                            request.getService(),
                            each,
                            softwareVersion(),
                            choice.server().name()));
            answer(SlotAnswer.newBuilder()
                    .setSpeed((float) choice.speed())
                    .setOutcome(SlotAnswer.Outcome.CHOSEN)
                    .setServer(choice.server().name().value())
                    .setIncarnation(choice.server().incarnation())
                    .setExpectedMillis(choice.expectedMillis())
                    .setUnreadTokens(choice.prefillTokens())
                    .setSlot(entry.lastSlot));
        }

        private void waitOrRefuse() {
            ServerPool.Unavailability unavailability = pool.unavailability(requirement);
            switch (unavailability) {
                case NO_SERVER -> refuse(SlotAnswer.Outcome.NO_SERVER, MIN_RETRY_AFTER);
                case ALL_TRIED -> refuse(SlotAnswer.Outcome.ALL_TRIED, MIN_RETRY_AFTER);
                case CROWDED -> waitForCapacity();
                case LIMITED -> waitForPermit();
                default -> waitForModel(unavailability, work.orElseThrow());
            }
        }

        private Optional<String> softwareVersion() {
            return requirement.origin().map(StreamOrigin::softwareVersion);
        }

        private void waitForModel(ServerPool.Unavailability unavailability, EngineWork missing) {
            Optional<Deadline> availableAt =
                    environment.demand().availableAt(request.getService(), missing, softwareVersion());
            // Models, unlike adapters, are placed without regard to software versions.
            boolean mayBeOrdered = requirement.origin().isEmpty()
                    || unavailability == ServerPool.Unavailability.NO_ADAPTER
                    || pool.isOnlyVersion(requirement.origin().get());
            ModelWait decision = new ModelWait.Times(
                            environment.clock().nanoTime(), request.getWaitedMillis(), request.getDeadlineMillis())
                    .decide(availableAt, mayBeOrdered, earliestAt(missing));
            if (decision.duration().isZero()) {
                environment.demand().recordUnserved(request.getService(), missing, softwareVersion());
                refuse(SlotAnswer.Outcome.NO_MODEL, decision.retryAfter());
            } else {
                waitFor(decision.duration(), () -> refuse(SlotAnswer.Outcome.NO_MODEL, decision.retryAfter()), true);
            }
        }

        private Optional<Deadline> earliestAt(EngineWork missing) {
            return environment.demand().earliestAt(request.getService(), missing, softwareVersion());
        }

        private void waitForCapacity() {
            waitForCapacity(this::expectedStart, false);
        }

        private Deadline expectedStart() {
            double servers = pool.nominalServers(request.getService(), work);
            return pool.waiting().expectedStart(waitingRequest, 1, servers);
        }

        /** A model all of whose servers limit their requests is in demand like one that is not loaded. */
        private void waitForPermit() {
            long nowNanos = environment.clock().nanoTime();
            waitForCapacity(() -> pool.permittedAt(requirement), true);
            if (isWaiting) {
                retryAtNextPermit(nowNanos);
            }
        }

        private void retryAtNextPermit(long nowNanos) {
            Duration delay = Duration.ofNanos(pool.firstPermitAt(requirement).remainingNanos(nowNanos));
            environment.timer().schedule(delay.compareTo(REFRESH_DELAY) < 0 ? REFRESH_DELAY : delay, () -> {
                if (isWaiting) {
                    pool.retryQueued();
                }
                if (isWaiting) {
                    retryAtNextPermit(environment.clock().nanoTime());
                }
            });
        }

        private void waitForCapacity(Supplier<Deadline> expectedStart, boolean isInDemand) {
            Deadline expected = expectedStart.get();
            AdmissionDecision decision = pool.waiting().decide(waitingRequest, expected);
            if (decision.waitUntil().isEmpty()) {
                refuseForCapacity(expected, decision.retryAt());
                return;
            }
            if (isFirstAsked()) {
                log.putBack(waitingRequest, before, expected);
            }
            waitFor(
                    remaining(decision.waitUntil().get()),
                    () -> {
                        Deadline expectedNow = expectedStart.get();
                        refuseForCapacity(expectedNow, pool.waiting().retryAt(waitingRequest, expectedNow));
                    },
                    isInDemand);
        }

        /** A request that is repeated too early is told the same time again. */
        private void refuseForCapacity(Deadline expectedStart, Deadline retryAt) {
            long nowNanos = environment.clock().nanoTime();
            Deadline told = hasPlace() ? places.dueAt(returning, nowNanos).orElse(retryAt) : retryAt;
            if (hasPlace()) {
                places.keep(returning, told, nowNanos);
            }
            log.refused(waitingRequest, expectedStart, told);
            refuse(SlotAnswer.Outcome.CROWDED, remaining(told));
        }

        private Duration remaining(Deadline deadline) {
            return Duration.ofNanos(deadline.remainingNanos(environment.clock().nanoTime()));
        }

        private void waitFor(Duration maximumWait, Runnable refusal, boolean isForModel) {
            isWaiting = true;
            isModelMissing = isForModel;
            pool.enqueue(waitingRequest, work, false);
            changeDemand(1);
            boolean isLong = maximumWait.compareTo(MAX_ANSWER_DELAY) > 0;
            environment.timer().schedule(isLong ? MAX_ANSWER_DELAY : maximumWait, () -> {
                if (isWaiting) {
                    stopWaiting();
                    if (isLong) {
                        refuse(SlotAnswer.Outcome.AGAIN, MIN_RETRY_AFTER);
                    } else {
                        refusal.run();
                    }
                }
            });
        }

        private void stopWaiting() {
            isWaiting = false;
            pool.dequeue(waitingRequest, work, false);
            changeDemand(-1);
        }

        private void changeDemand(int change) {
            if (isModelMissing) {
                work.ifPresent(
                        each -> environment.demand().addWaiting(request.getService(), each, softwareVersion(), change));
            }
        }

        private void refuse(SlotAnswer.Outcome outcome, Duration retryAfter) {
            Duration atLeastMinimum = retryAfter.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : retryAfter;
            Duration bounded = atLeastMinimum.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : atLeastMinimum;
            answer(SlotAnswer.newBuilder().setOutcome(outcome).setComeBackMillis((int) bounded.toMillis()));
        }

        private void answer(SlotAnswer.Builder built) {
            answer.complete(built.build().toByteString());
        }
    }
}
