package org.borageproxy.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.borageproxy.claim.Target;
import org.borageproxy.claim.UnservedRequests;
import org.borageproxy.coordination.ModelInventory;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.publication.Publication;
import org.borageproxy.publication.PublishedService;
import org.borageproxy.publication.RequestLimits;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.VirtualTime;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.CoordinationProtocol.ModelDemand;

/**
 * Engines that execute orders one at a time, the placement that sends them, and callers who wait as long as the broker
 * lets them, are refused and come back once. Runs in virtual time; confined to one thread.
 */
final class SimulatedFleet {

    /** The service of all engines. */
    static final String SERVICE = BackendServerFixture.SERVICE;

    private static final Duration HANDOVER_DELAY = Duration.ofSeconds(3);
    private static final Duration MAX_ORDER_WAIT = Duration.ofMillis(700);
    private static final Duration UNORDERED_RETRY_AFTER = Duration.ofMillis(1500);
    private static final Duration MIN_RUN_TIME = Duration.ofMillis(300);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(10);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(120);
    private static final Duration CALL_TIME = Duration.ofMillis(2);
    private static final Duration UNLOAD_TIME = Duration.ofMillis(150);
    private static final Duration ADAPTER_LOAD_TIME = Duration.ofMillis(20);
    private static final int REQUEST_TOKENS = 2_400;

    private final VirtualTime time = new VirtualTime(1);
    private final EnginePool pool;
    private final Map<String, SimulatedEngine> engines = new LinkedHashMap<>();
    private final Map<String, ModelInventory> published = new HashMap<>();
    private final Map<Target, Long> unreportedTokens = new LinkedHashMap<>();
    private final Map<String, Integer> askedCounts = new TreeMap<>();
    private final Map<String, List<Long>> servedAtNanos = new TreeMap<>();
    private final Map<String, Long> unservedSinceNanos = new TreeMap<>();
    private final UnservedRequests refused = new UnservedRequests();
    private final Publication publication;
    private FleetPlacement placement;
    private long term = 4;
    private int orderCount;
    private int rejectedOrderCount;
    private int adapterUnloadCount;
    private long longestUnservedNanos;

    /**
     * Creates a fleet without engines.
     *
     * @param pool the pool of the engines
     */
    SimulatedFleet(EnginePool pool) {
        this.pool = pool;
        publication = new Publication(
                1,
                List.of(),
                Map.of(SERVICE, new PublishedService(SERVICE, 100, Optional.of(pool))),
                Map.of(),
                RequestLimits.DEFAULT);
        placement = newLeader();
        reportDemand();
    }

    private FleetPlacement newLeader() {
        long ownTerm = term;
        FleetPlacement leader = new FleetPlacement(new FleetPlacement.Environment(
                () -> term == ownTerm,
                () -> ownTerm,
                "vm",
                HANDOVER_DELAY,
                () -> Optional.of(publication),
                () -> engines.values().stream().map(engine -> engine.server).toList(),
                zone -> false,
                new Client(),
                new Unlimited(),
                published::put,
                time::nowNanos,
                (delay, task) -> time.scheduleAfterNanos(delay.toNanos(), task),
                task -> time.scheduleAfterNanos(0, task)));
        leader.start();
        return leader;
    }

    /**
     * Creates a pool whose models all need the same room.
     *
     * @param models the number of models
     * @param residentModels the number of models that fit into an engine
     * @param loadsPerSecond the rate of the weight store
     * @return the pool, with models named m0, m1 and so on that load in nine seconds
     */
    static EnginePool pool(int models, int residentModels, double loadsPerSecond) {
        Map<String, EnginePool.EngineModel> byName = new HashMap<>();
        for (int index = 0; index < models; index++) {
            String name = "m" + index;
            byName.put(name, new EnginePool.EngineModel(name, 65, 9, 2.1, 1.1, 1));
        }
        return new EnginePool(64, 100_000, 2, 65 * residentModels + 9, 8, loadsPerSecond, byName);
    }

    /**
     * Adds an engine.
     *
     * @param name its name
     * @param models the models that it has
     */
    void addEngine(String name, String... models) {
        SimulatedEngine engine = new SimulatedEngine(BackendServerFixture.engine(name, models));
        engines.put(name, engine);
        published.put(name, ModelInventory.announcedBy(engine.server));
    }

    /**
     * Removes an engine with all that it has.
     *
     * @param name its name
     */
    void loseEngine(String name) {
        engines.remove(name);
        published.remove(name);
    }

    /** Lets another VM lead, which knows nothing of what the former leader knew. */
    void changeLeader() {
        placement.stop();
        term++;
        placement = newLeader();
    }

    /**
     * Lets the time pass.
     *
     * @param duration the time
     */
    void advance(Duration duration) {
        time.advance(duration);
    }

    /**
     * Schedules a request for each of some targets again and again.
     *
     * @param model the model
     * @param adapter the adapter, empty for none
     * @param first the time until the first request
     * @param interval the time between two requests
     * @param deadline the time that each caller has
     */
    void askAgainAndAgain(String model, String adapter, Duration first, Duration interval, Duration deadline) {
        time.scheduleAfterNanos(first.toNanos(), () -> {
            ask(model, adapter, deadline);
            askAgainAndAgain(model, adapter, interval, interval, deadline);
        });
    }

    /**
     * Sends a request, which waits, is refused and returns once as the broker tells it.
     *
     * @param model the model
     * @param adapter the adapter, empty for none
     * @param deadline the time that the caller has
     */
    void ask(String model, String adapter, Duration deadline) {
        Target target = new Target(SERVICE, model, adapter);
        askedCounts.merge(target.label(), 1, Integer::sum);
        unservedSinceNanos.putIfAbsent(target.label(), time.nowNanos());
        new Caller(target, Deadline.after(time.nowNanos(), deadline)).begin();
    }

    /**
     * Returns the targets that were asked for at least so often and never served.
     *
     * @param requests the number of requests
     * @return models and adapters
     */
    List<String> unserved(int requests) {
        return askedCounts.entrySet().stream()
                .filter(entry -> entry.getValue() >= requests && !servedAtNanos.containsKey(entry.getKey()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns the longest time for which a target was asked for and not served.
     *
     * @return the time, up to now for targets that are not served yet
     */
    Duration longestUnserved() {
        long longest = unservedSinceNanos.values().stream()
                .mapToLong(since -> time.nowNanos() - since)
                .max()
                .orElse(0);
        return Duration.ofNanos(Math.max(longest, longestUnservedNanos));
    }

    /**
     * Returns whether an engine has a model now.
     *
     * @param model the model
     * @return {@code true} if it can serve requests
     */
    boolean isLoaded(String model) {
        return engines.values().stream().anyMatch(engine -> engine.models.containsKey(model));
    }

    /**
     * Returns the number of orders that engines got.
     *
     * @return the number
     */
    int orderCount() {
        return orderCount;
    }

    /**
     * Returns the number of orders that engines rejected.
     *
     * @return the number
     */
    int rejectedOrderCount() {
        return rejectedOrderCount;
    }

    /**
     * Returns the number of accepted orders to unload an adapter.
     *
     * @return the number
     */
    int adapterUnloadCount() {
        return adapterUnloadCount;
    }

    private boolean isUsable(Target target) {
        return published.entrySet().stream()
                .anyMatch(entry -> engines.containsKey(entry.getKey())
                        && entry.getValue().contains(target.model(), target.adapter())
                        && engines.get(entry.getKey()).serves(target));
    }

    private void recordServed(Target target) {
        Optional.ofNullable(unservedSinceNanos.remove(target.label()))
                .ifPresent(since -> longestUnservedNanos = Math.max(longestUnservedNanos, time.nowNanos() - since));
        servedAtNanos.computeIfAbsent(target.label(), key -> new ArrayList<>()).add(time.nowNanos());
    }

    private void reportDemand() {
        Map<Target, Long> unserved = refused.collect(this::isUsable, time.nowNanos());
        unserved.keySet().forEach(target -> unreportedTokens.putIfAbsent(target, 0L));
        List<ModelDemand> demands = new ArrayList<>();
        unreportedTokens.forEach((target, tokens) -> demands.add(ModelDemand.newBuilder()
                .setService(SERVICE)
                .setModel(target.model())
                .setAdapter(target.adapter())
                .setTokens(tokens)
                .setUnservedMillis(Duration.ofNanos(time.nowNanos() - unserved.getOrDefault(target, time.nowNanos()))
                        .toMillis())
                .build()));
        unreportedTokens.clear();
        placement.recordDemand(new VmName("entry"), demands);
        time.scheduleAfterNanos(REPORT_INTERVAL.toNanos(), this::reportDemand);
    }

    /** A caller, with the decisions of the broker about its request. */
    private final class Caller {
        private final Target target;
        private final Deadline deadline;
        private boolean hasReturned;
        private FleetPlacement leader;

        private Caller(Target target, Deadline deadline) {
            this.target = target;
            this.deadline = deadline;
        }

        private void begin() {
            unreportedTokens.merge(target, (long) REQUEST_TOKENS, Long::sum);
            place();
        }

        private void place() {
            leader = placement;
            Optional<Deadline> availableAt =
                    placement.estimateAvailability(SERVICE, target.model(), target.adapter(), Optional.empty());
            long nowNanos = time.nowNanos();
            if (isUsable(target)) {
                serve();
            } else if (availableAt.isEmpty()) {
                await(Deadline.after(nowNanos, MAX_ORDER_WAIT).earlierOf(deadline), UNORDERED_RETRY_AFTER);
            } else {
                Duration remaining = Duration.ofNanos(availableAt.get().remainingNanos(nowNanos));
                boolean isInTime = remaining.plus(MIN_RUN_TIME).toNanos() < deadline.remainingNanos(nowNanos);
                if (isInTime) {
                    await(availableAt.get(), UNORDERED_RETRY_AFTER);
                } else {
                    placement.recordUnserved(target);
                    refuse(remaining);
                }
            }
        }

        private void await(Deadline until, Duration retryAfter) {
            adjustWaiting(1);
            poll(until, retryAfter);
        }

        private void poll(Deadline until, Duration retryAfter) {
            if (leader != placement) {
                place();
            } else if (isUsable(target)) {
                adjustWaiting(-1);
                serve();
            } else if (until.hasPassed(time.nowNanos())) {
                adjustWaiting(-1);
                refuse(retryAfter);
            } else {
                time.scheduleAfterNanos(POLL_INTERVAL.toNanos(), () -> poll(until, retryAfter));
            }
        }

        private void adjustWaiting(int change) {
            placement.adjustWaiting(SERVICE, target.model(), target.adapter(), Optional.empty(), change);
        }

        private void serve() {
            if (!deadline.hasPassed(time.nowNanos())) {
                placement.recordGrant(
                        target, engines.values().iterator().next().server.name());
                recordServed(target);
            }
        }

        private void refuse(Duration retryAfter) {
            Duration bounded = retryAfter.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : retryAfter;
            refused.recordRefusal(target, time.nowNanos());
            boolean returns = !hasReturned && bounded.toNanos() < deadline.remainingNanos(time.nowNanos());
            hasReturned = true;
            if (returns) {
                time.scheduleAfterNanos(bounded.toNanos(), this::place);
            }
        }
    }

    /** An engine that executes one order for a model at a time and rejects others meanwhile. */
    private final class SimulatedEngine {
        private final BackendServer server;
        private final Map<String, Set<String>> models = new HashMap<>();
        private final Set<String> storedModels = new HashSet<>();
        private final Map<String, Set<String>> loadingAdapters = new HashMap<>();
        private long acceptedOrders;
        private long highestFence;
        private String loadingModel = "";
        private boolean isUnloading;

        private SimulatedEngine(BackendServer server) {
            this.server = server;
            server.models().forEach(model -> models.put(model.model(), new HashSet<>()));
            storedModels.addAll(models.keySet());
        }

        private boolean serves(Target target) {
            Set<String> adapters = models.get(target.model());
            return adapters != null && (target.adapter().isEmpty() || adapters.contains(target.adapter()));
        }

        private boolean isBusy() {
            return isUnloading || !loadingModel.isEmpty();
        }

        private EngineClient.OrderReply execute(EngineClient.EngineOrder order) {
            if (order.fencingToken() < highestFence) {
                return EngineClient.OrderReply.FENCED;
            }
            highestFence = order.fencingToken();
            if (isBusy() || order.expectedOrderCount() != acceptedOrders) {
                return EngineClient.OrderReply.CONFLICT;
            }
            EngineClient.OrderReply reply =
                    order.adapter().isEmpty() ? executeForModel(order) : executeForAdapter(order);
            acceptedOrders += reply == EngineClient.OrderReply.ACCEPTED ? 1 : 0;
            return reply;
        }

        private EngineClient.OrderReply executeForModel(EngineClient.EngineOrder order) {
            String model = order.model();
            if (models.containsKey(model) == order.isLoad()) {
                return EngineClient.OrderReply.HELD;
            }
            if (!order.isLoad()) {
                models.remove(model);
                isUnloading = true;
                time.scheduleAfterNanos(UNLOAD_TIME.toNanos(), () -> isUnloading = false);
                return EngineClient.OrderReply.ACCEPTED;
            }
            double needed = (models.size() + 1) * pool.models().get(model).weightMegabytes();
            if (needed > pool.weightMegabytes()) {
                return EngineClient.OrderReply.REFUSED;
            }
            EnginePool.EngineModel loaded = pool.models().get(model);
            double seconds = storedModels.contains(model) ? loaded.diskLoadSeconds() : loaded.storeLoadSeconds();
            loadingModel = model;
            time.scheduleAfterNanos(Duration.ofMillis((long) (seconds * 1e3)).toNanos(), () -> {
                models.put(model, new HashSet<>());
                storedModels.add(model);
                loadingModel = "";
            });
            return EngineClient.OrderReply.ACCEPTED;
        }

        private EngineClient.OrderReply executeForAdapter(EngineClient.EngineOrder order) {
            Set<String> adapters = models.get(order.model());
            if (adapters == null) {
                return EngineClient.OrderReply.REFUSED;
            }
            if (adapters.contains(order.adapter()) == order.isLoad()) {
                return EngineClient.OrderReply.HELD;
            }
            if (!order.isLoad()) {
                adapters.remove(order.adapter());
                adapterUnloadCount++;
                return EngineClient.OrderReply.ACCEPTED;
            }
            Set<String> loading = loadingAdapters.computeIfAbsent(order.model(), key -> new HashSet<>());
            if (adapterCount() >= pool.adapterSlots()) {
                return EngineClient.OrderReply.REFUSED;
            }
            loading.add(order.adapter());
            time.scheduleAfterNanos(ADAPTER_LOAD_TIME.toNanos(), () -> {
                loading.remove(order.adapter());
                Optional.ofNullable(models.get(order.model())).ifPresent(held -> held.add(order.adapter()));
            });
            return EngineClient.OrderReply.ACCEPTED;
        }

        private int adapterCount() {
            return models.values().stream().mapToInt(Set::size).sum()
                    + loadingAdapters.values().stream().mapToInt(Set::size).sum();
        }

        private EngineClient.EngineReport report() {
            int loading = loadingAdapters.values().stream().mapToInt(Set::size).sum();
            ModelInventory inventory =
                    new ModelInventory(server.incarnation(), acceptedOrders, copyOf(models), Set.of());
            return new EngineClient.EngineReport(inventory, isBusy(), loading);
        }

        private static Map<String, Set<String>> copyOf(Map<String, Set<String>> models) {
            Map<String, Set<String>> copy = new HashMap<>();
            models.forEach((model, adapters) -> copy.put(model, Set.copyOf(adapters)));
            return copy;
        }
    }

    /** Engines without limits. */
    private static final class Unlimited implements CallPermits {
        @Override
        public boolean isLimiting(BackendServer engine) {
            return false;
        }

        @Override
        public boolean isPermitted(BackendServer engine) {
            return true;
        }

        @Override
        public void acquirePermit(BackendServer engine) {
            // Nothing is counted.
        }
    }

    private final class Client implements EngineClient {
        @Override
        public CompletionStage<OrderReply> sendOrder(BackendServer server, EngineOrder order) {
            CompletableFuture<OrderReply> reply = new CompletableFuture<>();
            time.scheduleAfterNanos(CALL_TIME.toNanos(), () -> {
                SimulatedEngine engine = engines.get(server.name().value());
                OrderReply outcome = engine == null ? OrderReply.UNKNOWN : engine.execute(order);
                orderCount++;
                rejectedOrderCount += outcome == OrderReply.ACCEPTED || outcome == OrderReply.HELD ? 0 : 1;
                time.scheduleAfterNanos(CALL_TIME.toNanos(), () -> reply.complete(outcome));
            });
            return reply;
        }

        @Override
        public CompletionStage<Optional<EngineReport>> fetchState(BackendServer server) {
            CompletableFuture<Optional<EngineReport>> reply = new CompletableFuture<>();
            time.scheduleAfterNanos(CALL_TIME.toNanos(), () -> {
                Optional<EngineReport> report =
                        Optional.ofNullable(engines.get(server.name().value())).map(SimulatedEngine::report);
                time.scheduleAfterNanos(CALL_TIME.toNanos(), () -> reply.complete(report));
            });
            return reply;
        }
    }
}
