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
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.control.Timer;
import org.borageproxy.coordination.ModelInventory;
import org.borageproxy.coordination.ServerUsages;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.routing.ServerSelector;
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
 * Gives requests of all entries their places at model engines, on the coordinator, so that entries do not overload one
 * engine unaware of one another. A request that finds no place waits here in the order of ranks and objectives: for
 * capacity as long as it can still be on time, for a model on its way as long as it arrives before the deadline.
 * Without an answer an entry chooses by itself. Confined to one event loop.
 */
public final class SlotBroker implements VmNetwork.Handler {

    /** The part of the time to its objective that a request waits. */
    private static final double PATIENCE = 0.6;
    /** How long a request waits for a model or an adapter to be ordered. */
    private static final Duration ORDER_WAIT = Duration.ofMillis(700);
    /** The time that a request needs at least at a server once its model is there. */
    private static final Duration LEAST_RUN = Duration.ofMillis(300);
    /** When callers come back for a model that no server could load yet. */
    private static final Duration UNORDERED_RETURN = Duration.ofMillis(1500);
    /** How long a given slot counts before its entry has reported it. */
    private static final Duration UNREPORTED = Duration.ofMillis(800);
    /** The longest time after which callers are asked to come back. */
    private static final Duration LATEST_RETURN = Duration.ofSeconds(10);

    /** The shortest time after which callers are asked to come back. */
    private static final Duration SOON = Duration.ofMillis(300);
    /** The longest time to an answer; a request that waits longer asks again. */
    static final Duration MAXIMUM_ANSWER_DELAY = Duration.ofMillis(200);

    private final Environment environment;
    private final ServerPool pool;
    private final Map<VmName, Entry> entries = new HashMap<>();

    /**
     * What the broker works with.
     *
     * @param isCoordinator tells whether this VM coordinates now
     * @param pool the servers as seen from here, with the work of all entries
     * @param engines the engines of a service
     * @param clock the clock
     * @param timer runs tasks later
     * @param demand takes requests that wait for a model, to be ordered at once
     */
    public record Environment(
            Supplier<Boolean> isCoordinator,
            ServerPool pool,
            Function<String, Optional<EnginePool>> engines,
            MonotonicClock clock,
            Timer timer,
            Demand demand) {}

    /** Takes requests that wait for a model or an adapter. */
    public interface Demand {

        /**
         * Takes a change of the requests that wait.
         *
         * @param service the service
         * @param work the work
         * @param change one for a request that begins to wait, minus one for one that ends
         */
        void addWaiting(String service, EngineWork work, int change);

        /**
         * Notes that a server refused a request because it lacks the model or the adapter.
         *
         * @param server the server
         * @param work the work that it refused
         */
        void recordMissingModel(BackendServerName server, EngineWork work);

        /**
         * Returns when the model and the adapter of some work can be used.
         *
         * @param service the service
         * @param work the work
         * @return empty if they are not on their way
         */
        Optional<Deadline> availableAt(String service, EngineWork work);
    }

    private static final class Entry {
        private final List<Given> given = new ArrayList<>();
        private List<ServerUsage> reported = List.of();
        private String session = "";
        private Deadline countsUntil;
        private long lastSlot;
    }

    private record Given(long slot, ServerUsage usage, Deadline countsUntil) {}

    /**
     * Creates a broker.
     *
     * @param environment what it works with
     */
    public SlotBroker(Environment environment) {
        this.environment = environment;
        this.pool = environment.pool();
    }

    /**
     * Takes an entry's report.
     *
     * @param sender the entry
     * @param report the report
     */
    public void recordReport(VmName sender, UsageReport report) {
        long nowNanos = environment.clock().nanoTime();
        Entry entry = entries.computeIfAbsent(sender, name -> new Entry());
        if (!entry.session.equals(report.getSession())) {
            entry.session = report.getSession();
            entry.given.clear();
        }
        entry.reported = report.getServersList();
        entry.countsUntil = Deadline.after(nowNanos, Duration.ofMillis(1500));
        entry.given.removeIf(each -> each.slot() <= report.getLastSlot());
        report.getServersList().forEach(pool::applyOutcomes);
        report.getPacesList().forEach(pace -> pool.mergeLatencyRatio(pace.getModel(), pace.getPace()));
        refresh();
    }

    /**
     * Takes what engines hold.
     *
     * @param name the server
     * @param held its models
     */
    public void updateInventory(String name, ModelInventory held) {
        pool.updateInventories(Map.of(new BackendServerName(name), held));
    }

    private void refresh() {
        long nowNanos = environment.clock().nanoTime();
        entries.values().removeIf(entry -> entry.countsUntil.hasPassed(nowNanos));
        Map<String, ServerUsage> sums = new HashMap<>();
        entries.values().forEach(entry -> {
            entry.given.removeIf(each -> each.countsUntil().hasPassed(nowNanos));
            entry.reported.forEach(usage -> sums.merge(usage.getName(), usage, ServerUsages::sum));
            entry.given.forEach(each -> sums.merge(each.usage().getName(), each.usage(), ServerUsages::sum));
        });
        pool.updateOtherVmUsage(List.copyOf(sums.values()));
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
        learn(request);
        new Search(sender, request, answer).begin();
        return answer;
    }

    private void learn(SlotRequest request) {
        request.getGoneList().forEach(name -> pool.find(name).ifPresent(pool::markGone));
        for (String name : request.getAbsentAtList()) {
            pool.find(name).ifPresent(server -> {
                EngineWork work = new EngineWork(request.getModel(), request.getAdapter(), 0, 0, List.of());
                pool.recordMissingModel(server, work);
                environment.demand().recordMissingModel(server.name(), work);
            });
        }
    }

    /** One request that looks for a place. */
    private final class Search {
        private final VmName sender;
        private final SlotRequest request;
        private final EngineWork work;
        private final CompletableFuture<ByteString> answer;
        private final RequestQueue.QueuedRequest waiting;
        private final Set<BackendServerName> tried = new HashSet<>();
        private boolean isWaiting;
        private boolean isAbsent;

        Search(VmName sender, SlotRequest request, CompletableFuture<ByteString> answer) {
            this.sender = sender;
            this.request = request;
            this.answer = answer;
            List<EngineWork.PromptPart> parts = request.getPartsList().stream()
                    .map(part -> new EngineWork.PromptPart(part.getIdentity(), part.getTokens()))
                    .toList();
            work = new EngineWork(
                    request.getModel(),
                    request.getAdapter(),
                    request.getPromptTokens(),
                    request.getOutputTokens(),
                    parts);
            Deadline objective =
                    Deadline.after(environment.clock().nanoTime(), Duration.ofMillis(request.getObjectiveMillis()));
            waiting = new RequestQueue.QueuedRequest(request.getRank(), objective, work, this::look);
            request.getTriedList().forEach(name -> tried.add(new BackendServerName(name)));
        }

        void begin() {
            if (!found()) {
                settle();
            }
        }

        private void look() {
            if (isWaiting && found()) {
                stop();
            }
        }

        private boolean found() {
            AvailabilityZone zone = new AvailabilityZone(request.getZone());
            Optional<EnginePool> engines = environment.engines().apply(request.getService());
            Optional<ServerSelector.Choice> chosen =
                    pool.choose(request.getService(), engines, Optional.of(work), tried, zone);
            chosen.ifPresent(this::give);
            return chosen.isPresent();
        }

        private void give(ServerSelector.Choice chosen) {
            Entry entry = entries.computeIfAbsent(sender, name -> new Entry());
            entry.lastSlot++;
            ServerUsage usage = ServerUsage.newBuilder()
                    .setName(chosen.server().name().value())
                    .setIncarnation(chosen.server().incarnation())
                    .setRequests(1)
                    .setPromptTokens(chosen.prefillTokens())
                    .setHeldTokens(work.totalTokens())
                    .build();
            Deadline countsUntil = Deadline.after(environment.clock().nanoTime(), UNREPORTED);
            entry.given.add(new Given(entry.lastSlot, usage, countsUntil));
            if (entry.countsUntil == null) {
                entry.countsUntil = countsUntil;
            }
            pool.recordAssignment(chosen, work);
            answer(SlotAnswer.newBuilder()
                    .setOutcome(SlotAnswer.Outcome.CHOSEN)
                    .setServer(chosen.server().name().value())
                    .setIncarnation(chosen.server().incarnation())
                    .setExpectedMillis(chosen.expectedMillis())
                    .setUnreadTokens(chosen.prefillTokens())
                    .setSlot(entry.lastSlot));
        }

        private void settle() {
            ServerPool.Unavailability absence = pool.unavailability(request.getService(), Optional.of(work), tried);
            switch (absence) {
                case NO_SERVER -> refuse(SlotAnswer.Outcome.NO_SERVER, SOON);
                case ALL_TRIED -> refuse(SlotAnswer.Outcome.ALL_TRIED, SOON);
                case CROWDED -> waitForCapacity();
                default -> waitForModel();
            }
        }

        private void waitForModel() {
            Optional<Deadline> arrival = environment.demand().availableAt(request.getService(), work);
            if (arrival.isEmpty()) {
                waitFor(waitLeft(ORDER_WAIT), SlotAnswer.Outcome.NO_MODEL, UNORDERED_RETURN, true);
                return;
            }
            long nowNanos = environment.clock().nanoTime();
            Duration left = Duration.ofNanos(arrival.get().remainingNanos(nowNanos));
            boolean isInTime = left.plus(LEAST_RUN).toMillis() < request.getDeadlineMillis();
            if (isInTime) {
                waitFor(left, SlotAnswer.Outcome.NO_MODEL, UNORDERED_RETURN, true);
            } else {
                refuse(SlotAnswer.Outcome.NO_MODEL, left);
            }
        }

        private Duration waitLeft(Duration longest) {
            Duration left = longest.minusMillis(request.getWaitedMillis());
            return left.isNegative() ? Duration.ZERO : left;
        }

        private void waitForCapacity() {
            double rate = Math.max(0.1, pool.prefillTokensPerMillisecond(request.getService(), work.model()));
            double aheadMillis = pool.queuedTokensAhead(waiting) / rate;
            double whole = (double) request.getObjectiveMillis() + request.getWaitedMillis();
            double patience = whole * PATIENCE - request.getWaitedMillis();
            // A queue that is longer than the request's patience is worth another look after as long.
            double comeBackMillis = Math.max(aheadMillis, whole * PATIENCE);
            Duration comeBack = Duration.ofMillis((long) comeBackMillis);
            if (aheadMillis > patience) {
                refuse(SlotAnswer.Outcome.CROWDED, comeBack);
            } else {
                waitFor(Duration.ofMillis((long) patience), SlotAnswer.Outcome.CROWDED, comeBack, false);
            }
        }

        private void waitFor(Duration time, SlotAnswer.Outcome otherwise, Duration comeBack, boolean absent) {
            isWaiting = true;
            isAbsent = absent;
            pool.enqueue(request.getService(), waiting, false);
            if (absent) {
                environment.demand().addWaiting(request.getService(), work, 1);
            }
            boolean isLong = time.compareTo(MAXIMUM_ANSWER_DELAY) > 0;
            environment.timer().schedule(isLong ? MAXIMUM_ANSWER_DELAY : time, () -> {
                if (isWaiting) {
                    stop();
                    refuse(isLong ? SlotAnswer.Outcome.AGAIN : otherwise, comeBack);
                }
            });
        }

        private void stop() {
            isWaiting = false;
            pool.dequeue(request.getService(), waiting, false);
            if (isAbsent) {
                environment.demand().addWaiting(request.getService(), work, -1);
            }
        }

        private void refuse(SlotAnswer.Outcome outcome, Duration comeBack) {
            Duration least = comeBack.compareTo(SOON) < 0 ? SOON : comeBack;
            Duration bounded = least.compareTo(LATEST_RETURN) > 0 ? LATEST_RETURN : least;
            answer(SlotAnswer.newBuilder().setOutcome(outcome).setComeBackMillis((int) bounded.toMillis()));
        }

        private void answer(SlotAnswer.Builder built) {
            answer.complete(built.build().toByteString());
        }
    }
}
