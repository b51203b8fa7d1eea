package org.borageproxy.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.borageproxy.engine.EngineState;
import org.borageproxy.engine.OrderClient;
import org.borageproxy.engine.OrderResult;
import org.borageproxy.event.EventRecorder;
import org.borageproxy.lease.Duty;
import org.borageproxy.lease.Lease;
import org.borageproxy.lease.LeaseStore;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.VirtualTime;
import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.Model;
import org.borageproxy.tree.ModelVersion;
import org.borageproxy.vm.VmName;

/**
 * Engines, a control group and placement owners in virtual time, with random faults while {@code faulty} is set.
 * Confined to one thread.
 */
final class FakeFleet {

    static final Duration LEASE = Duration.ofSeconds(3);
    static final Duration LONGEST_ORDER_DELAY = Duration.ofSeconds(10);
    private static final int MAX_DELAY_MILLIS = 4_500;
    private static final int ANSWER_TIMEOUT_MILLIS = 2_000;

    final VirtualTime time = new VirtualTime(Duration.ofDays(1).toNanos());
    final Random random;
    final Map<BackendServerName, FakeEngine> engines = new TreeMap<>();
    final List<Owner> owners = new ArrayList<>();
    final Map<Long, Intent> intents = new TreeMap<>();
    Configuration configuration = Configuration.EMPTY;
    DemandRates demand = DemandRates.NONE;
    boolean faulty;
    int lastCopyUnloads;
    int sentOrders;
    private long lastIntentNumber;
    private long epoch;
    private Owner leaseHolder;
    private long leaseEndsAt;

    FakeFleet(long seed) {
        random = new Random(seed);
    }

    void addEngine(String name, String zone, boolean checksFencing, long memoryBytes) {
        FakeEngine engine = new FakeEngine(time, name, zone, checksFencing, memoryBytes);
        engines.put(engine.name, engine);
    }

    void addOwner(String name) {
        Owner owner = new Owner(name);
        owners.add(owner);
        time.scheduleEveryMillis(100, owner.placement::tick);
    }

    void setModels(Map<String, Long> sizes) {
        Map<String, Model> models = new HashMap<>();
        sizes.forEach((name, bytes) ->
                models.put(name, new Model(name, bytes, 100, 1_000, List.of(new ModelVersion("1", 1)))));
        configuration = new Configuration(1, Map.of(), models, Map.of(), List.of(), Map.of());
    }

    long servingCopies(String model) {
        return engines.values().stream().filter(engine -> engine.serves(model)).count();
    }

    boolean allReachable() {
        return configuration.models().keySet().stream().allMatch(model -> servingCopies(model) > 0);
    }

    long overcommits() {
        return engines.values().stream().mapToLong(engine -> engine.overcommits).sum();
    }

    boolean isFaultInjected(int percent) {
        return faulty && random.nextInt(100) < percent;
    }

    /** A VM that may hold the placement duty. While it is frozen, its tasks are deferred. */
    final class Owner implements LeaseStore, LedgerStore, OrderClient, Executor {

        final VmName name;
        final PlacementOwner placement;
        boolean frozen;
        boolean isolated;
        private final List<Runnable> deferredTasks = new ArrayList<>();

        Owner(String name) {
            this.name = new VmName(name);
            PlacementSettings settings =
                    new PlacementSettings(2.0, 16, 128, LEASE, LONGEST_ORDER_DELAY, Duration.ofSeconds(3));
            placement = new PlacementOwner(
                    new PlacementDependencies(
                            this,
                            this,
                            this,
                            () -> engines.values().stream()
                                    .map(FakeEngine::server)
                                    .toList(),
                            () -> configuration,
                            () -> demand,
                            settings,
                            time::nowNanos,
                            EventRecorder.NoOp.INSTANCE),
                    this);
        }

        @Override
        public void execute(Runnable task) {
            if (frozen) {
                deferredTasks.add(task);
            } else {
                time.scheduleAfterMillis(0, task);
            }
        }

        void unfreeze() {
            frozen = false;
            deferredTasks.forEach(task -> time.scheduleAfterMillis(0, task));
            deferredTasks.clear();
        }

        private <T> CompletionStage<T> callControlGroup(Supplier<T> action) {
            CompletableFuture<T> answer = new CompletableFuture<>();
            if (isolated || isFaultInjected(2)) {
                time.scheduleAfterMillis(
                        500, () -> answer.completeExceptionally(new IllegalStateException("isolated")));
                return answer;
            }
            boolean isAnswerLost = isFaultInjected(2);
            time.scheduleAfterMillis(1 + random.nextInt(5), () -> {
                T result = action.get();
                if (isAnswerLost) {
                    time.scheduleAfterMillis(
                            500, () -> answer.completeExceptionally(new IllegalStateException("lost")));
                } else {
                    answer.complete(result);
                }
            });
            return answer;
        }

        @Override
        public CompletionStage<Optional<Lease>> acquire(Duty duty) {
            long askedAt = time.nowNanos();
            return callControlGroup(() -> {
                if (leaseHolder != this && time.nowNanos() < leaseEndsAt) {
                    return Optional.empty();
                }
                if (leaseHolder != this) {
                    epoch++;
                    leaseHolder = this;
                }
                leaseEndsAt = time.nowNanos() + LEASE.toNanos() * 5 / 4;
                return Optional.of(new Lease(duty, name, epoch, Deadline.after(askedAt, LEASE)));
            });
        }

        @Override
        public CompletionStage<Void> release(Lease lease) {
            return callControlGroup(() -> {
                leaseEndsAt = leaseHolder == this ? time.nowNanos() : leaseEndsAt;
                return null;
            });
        }

        @Override
        public Optional<Lease> lastKnownLease(Duty duty) {
            return Optional.empty();
        }

        @Override
        public CompletionStage<Optional<Intent>> record(Intent intent) {
            return callControlGroup(() -> {
                if (intent.epoch() != epoch) {
                    return Optional.empty();
                }
                lastIntentNumber++;
                Intent recorded = new Intent(
                        lastIntentNumber,
                        intent.epoch(),
                        intent.server(),
                        intent.incarnation(),
                        intent.accelerator(),
                        intent.action(),
                        intent.model(),
                        intent.version(),
                        intent.adapter(),
                        intent.memoryBytes());
                intents.put(lastIntentNumber, recorded);
                return Optional.of(recorded);
            });
        }

        @Override
        public CompletionStage<Void> resolve(long resolvingEpoch, List<Long> numbers) {
            return callControlGroup(() -> {
                if (resolvingEpoch == epoch) {
                    numbers.forEach(intents::remove);
                }
                return null;
            });
        }

        @Override
        public CompletionStage<List<Intent>> readOpen() {
            return callControlGroup(() -> List.copyOf(intents.values()));
        }

        @Override
        public CompletionStage<OrderResult> sendOrder(BackendServer server, Intent intent, BooleanSupplier maySend) {
            CompletableFuture<OrderResult> answer = new CompletableFuture<>();
            time.scheduleAfterMillis(1, () -> {
                if (!maySend.getAsBoolean()) {
                    answer.complete(new OrderResult.NotSent());
                    return;
                }
                sentOrders++;
                time.scheduleAfterMillis(ANSWER_TIMEOUT_MILLIS, () -> answer.complete(new OrderResult.Unknown()));
                boolean isOrderLost = isFaultInjected(10);
                boolean isAnswerLost = isFaultInjected(10);
                if (!isOrderLost) {
                    deliver(server.name(), intent, isAnswerLost ? new CompletableFuture<>() : answer);
                }
                if (isFaultInjected(10)) {
                    deliver(server.name(), intent, new CompletableFuture<>());
                }
            });
            return answer;
        }

        private void deliver(BackendServerName server, Intent intent, CompletableFuture<OrderResult> answer) {
            long delay = isFaultInjected(20) ? random.nextInt(MAX_DELAY_MILLIS) : 1;
            time.scheduleAfterMillis(delay, () -> {
                FakeEngine engine = engines.get(server);
                if (engine.alive) {
                    countLastCopyUnload(engine, intent);
                    boolean isDropped = isFaultInjected(10);
                    answer.complete(engine.receive(
                            intent, isFaultInjected(20) ? random.nextInt(MAX_DELAY_MILLIS) : 0, isDropped));
                }
            });
        }

        private void countLastCopyUnload(FakeEngine engine, Intent intent) {
            boolean isLastCopy = engine.serves(intent.model()) && servingCopies(intent.model()) == 1;
            boolean isFenced = engine.checksFencing && engine.state().highestFencing() > intent.number();
            if (intent.action() == Intent.Action.UNLOAD && isLastCopy && !isFenced) {
                lastCopyUnloads++;
            }
        }

        @Override
        public CompletionStage<Optional<EngineState>> fetchState(BackendServer server) {
            CompletableFuture<Optional<EngineState>> answer = new CompletableFuture<>();
            FakeEngine engine = engines.get(server.name());
            boolean isFailing = !engine.alive || isFaultInjected(5);
            time.scheduleAfterMillis(isFailing ? 10 : 1, () -> {
                Optional<EngineState> state =
                        isFailing || !engine.alive ? Optional.empty() : Optional.of(engine.state());
                time.scheduleAfterMillis(isFaultInjected(10) ? random.nextInt(1_500) : 1, () -> answer.complete(state));
            });
            return answer;
        }
    }
}
