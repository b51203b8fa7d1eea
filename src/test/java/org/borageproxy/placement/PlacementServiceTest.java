package org.borageproxy.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.google.protobuf.ByteString;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.borageproxy.engine.HttpOrderClient;
import org.borageproxy.engine.OrderResult;
import org.borageproxy.event.EventRecorder;
import org.borageproxy.lease.Duty;
import org.borageproxy.lease.Lease;
import org.borageproxy.lease.LeaseStore;
import org.borageproxy.membership.AnnounceSettings;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerMembership;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.standin.AnnouncementSettings;
import org.borageproxy.standin.EngineOptions;
import org.borageproxy.standin.Faults;
import org.borageproxy.standin.ModelEngine;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.tree.Adapter;
import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.Model;
import org.borageproxy.tree.ModelVersion;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests placement over HTTP against stand-in engines. */
class PlacementServiceTest {

    private static final long GIGABYTE = 1_000_000_000L;
    private static final VmName SELF = new VmName("vm-1");

    private final Vertx vertx = Vertx.vertx();
    private final MonotonicClock clock = MonotonicClock.ofSystem();
    private final HttpOrderClient orderClient = new HttpOrderClient(vertx);
    private final BackendServerMembership membership = new BackendServerMembership(
            vertx,
            new AnnounceSettings("127.0.0.1", 0, "secret"),
            new NoNetwork(),
            List::of,
            clock,
            EventRecorder.NoOp.INSTANCE);
    private final List<ModelEngine> engines = new ArrayList<>();
    private final Store store = new Store();
    private PlacementService service;

    @BeforeEach
    void start() throws Exception {
        int port = membership.start().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        for (int index = 0; index < 3; index++) {
            EngineOptions options = EngineOptions.named("engine-" + index, "zone-" + index)
                    .withChecksFencing(index != 1)
                    .withAnnouncements(new AnnouncementSettings(List.of("127.0.0.1:" + port), "secret", 200));
            ModelEngine engine = new ModelEngine(vertx, options);
            engine.start().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
            engines.add(engine);
        }
        waitFor(() -> membership.registry().current().size() == 3);
    }

    @AfterEach
    void stop() throws Exception {
        if (service != null) {
            service.close();
        }
        for (ModelEngine engine : engines) {
            engine.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        }
        membership.close();
        orderClient.close();
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    @Test
    void modelsAndAdaptersAreLoadedAndRestoredAfterEngineFailure() throws Exception {
        startPlacement();
        waitFor(() -> reachable("llama", "quilt") && reachable("gemma", ""));
        engines.get(0).close();
        long diedNanos = System.nanoTime();
        waitFor(() -> membership.registry().current().stream()
                .anyMatch(server -> server.state() == BackendServerState.SUSPECT));
        waitFor(() -> reachable("llama", "quilt") && reachable("gemma", ""));
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - diedNanos);
        assertTrue(millis < 8_000, "reachable after " + millis + " ms");
    }

    @Test
    void orderResultDistinguishesNotSentAcceptedFencedAndUnknown() throws Exception {
        BackendServer engine = membership.registry().current().get(0);
        assertInstanceOf(OrderResult.NotSent.class, sendOrder(engine, 1, () -> false));
        assertInstanceOf(OrderResult.Accepted.class, sendOrder(engine, 5, () -> true));
        assertEquals(new OrderResult.Fenced(5), sendOrder(engine, 4, () -> true));
        engines.get(0).setFaults(Faults.ofJson(new JsonObject().put("lost_order_answers", 1)));
        assertInstanceOf(OrderResult.Unknown.class, sendOrder(engine, 6, () -> true));
        assertEquals(
                6,
                orderClient
                        .fetchState(engine)
                        .toCompletableFuture()
                        .get(10, TimeUnit.SECONDS)
                        .orElseThrow()
                        .highestFencing());
        engines.get(0).close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        assertInstanceOf(OrderResult.NotSent.class, sendOrder(engine, 7, () -> true));
    }

    private OrderResult sendOrder(BackendServer engine, long number, BooleanSupplier maySend) throws Exception {
        Intent intent = new Intent(number, 1, engine.name(), 1, "0", Intent.Action.LOAD, "llama", "1", "", GIGABYTE);
        return orderClient
                .sendOrder(engine, intent, maySend)
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
    }

    private void startPlacement() {
        Map<String, Model> models = new TreeMap<>();
        for (String name : List.of("llama", "gemma")) {
            models.put(name, new Model(name, 16 * GIGABYTE, 100, 1_000, List.of(new ModelVersion("1", 1))));
        }
        Map<String, Adapter> adapters = Map.of("quilt", new Adapter("quilt", "llama", GIGABYTE / 10));
        Configuration configuration = new Configuration(1, Map.of(), models, adapters, List.of(), Map.of());
        DemandAggregator aggregator = new DemandAggregator(clock);
        DemandReporter reporter = new DemandReporter(SELF, new NoNetwork(), store, aggregator, clock, 1);
        PlacementDependencies dependencies = new PlacementDependencies(
                store,
                store,
                orderClient,
                membership.registry(),
                () -> configuration,
                aggregator::current,
                PlacementSettings.DEFAULT,
                clock,
                EventRecorder.NoOp.INSTANCE);
        service = PlacementService.ofCandidate(dependencies, reporter);
        service.start();
    }

    private boolean reachable(String model, String adapter) {
        return membership.registry().current().stream()
                .filter(server -> server.state() == BackendServerState.ALIVE)
                .flatMap(server -> server.models().stream())
                .anyMatch(loaded -> loaded.model().equals(model)
                        && (adapter.isEmpty() || loaded.adapters().contains(adapter)));
    }

    private static void waitFor(BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < endNanos, "condition not met within 20 s");
            Thread.sleep(5);
        }
    }

    /** Grants every lease and keeps the intents in memory. */
    private static final class Store implements LeaseStore, LedgerStore {

        private final Map<Long, Intent> intents = new TreeMap<>();
        private long number;

        @Override
        public CompletionStage<Optional<Lease>> acquire(Duty duty) {
            Deadline expiresAt = Deadline.after(System.nanoTime(), Duration.ofSeconds(10));
            return CompletableFuture.completedFuture(Optional.of(new Lease(duty, SELF, 1, expiresAt)));
        }

        @Override
        public CompletionStage<Void> release(Lease lease) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public Optional<Lease> lastKnownLease(Duty duty) {
            return Optional.empty();
        }

        @Override
        public synchronized CompletionStage<Optional<Intent>> record(Intent intent) {
            number++;
            Intent recorded = new Intent(
                    number,
                    intent.epoch(),
                    intent.server(),
                    intent.incarnation(),
                    intent.accelerator(),
                    intent.action(),
                    intent.model(),
                    intent.version(),
                    intent.adapter(),
                    intent.memoryBytes());
            intents.put(number, recorded);
            return CompletableFuture.completedFuture(Optional.of(recorded));
        }

        @Override
        public synchronized CompletionStage<Void> resolve(long epoch, List<Long> numbers) {
            numbers.forEach(intents::remove);
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public synchronized CompletionStage<List<Intent>> readOpen() {
            return CompletableFuture.completedFuture(List.copyOf(intents.values()));
        }
    }

    /** A network without other VMs. */
    private static final class NoNetwork implements VmNetwork {

        @Override
        public void send(VmName recipient, MessageKind kind, ByteString body) {
            // There are no recipients.
        }

        @Override
        public CompletionStage<ByteString> request(
                VmName recipient, MessageKind kind, ByteString body, Deadline deadline) {
            return new CompletableFuture<>();
        }

        @Override
        public void registerHandler(MessageKind kind, Handler handler) {
            // No messages arrive.
        }
    }
}
