package org.borageproxy.entry;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.borageproxy.admission.DispatchQueue;
import org.borageproxy.event.EventRecorder;
import org.borageproxy.execution.ClaimDecision;
import org.borageproxy.execution.ClaimKey;
import org.borageproxy.execution.ClaimStore;
import org.borageproxy.execution.CrashRegistry;
import org.borageproxy.execution.ExecutionSettings;
import org.borageproxy.execution.Fingerprint;
import org.borageproxy.execution.StoredResponse;
import org.borageproxy.execution.Suspicion;
import org.borageproxy.key.KeyDigest;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.membership.BackendServerKind;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.membership.LoadReport;
import org.borageproxy.membership.LoadedModel;
import org.borageproxy.quota.TokenQuota;
import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.ConfigurationSource;
import org.borageproxy.tree.KeyRecord;
import org.borageproxy.tree.Model;
import org.borageproxy.tree.ModelVersion;
import org.borageproxy.tree.Route;
import org.borageproxy.tree.Workspace;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmName;

/** An {@link EntryServer} on a free loopback port, with fakes of its dependencies. */
final class EntryFixture implements AutoCloseable {

    static final String KEY = "key-of-quilters-0123456789";
    static final String WITHDRAWN_KEY = "key-withdrawn-0123456789";
    static final Duration TIMEOUT = Duration.ofSeconds(20);

    final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(3));
    final MonotonicClock clock = MonotonicClock.ofSystem();
    final List<BackendServer> servers = new CopyOnWriteArrayList<>();
    final FakeQuota quota = new FakeQuota();
    final FakeClaims claims = new FakeClaims();
    final FakeCrashes crashes = new FakeCrashes();
    final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();
    final EntryServer server;
    volatile Configuration configuration = configuration(false);
    volatile boolean configurationFresh = true;
    volatile DispatchQueue queue = request ->
            CompletableFuture.completedFuture(new DispatchQueue.Decision.Dispatchable(() -> countReleasedSlot()));
    final AtomicInteger releasedSlots = new AtomicInteger();

    EntryFixture() {
        this(Duration.ofMillis(500));
    }

    EntryFixture(Duration replicaTimeout) {
        this(settings -> settings.withExecution(
                new ExecutionSettings(replicaTimeout, Duration.ofSeconds(2), 4, 0.1, 50.0, 65_536)));
    }

    EntryFixture(java.util.function.UnaryOperator<EntrySettings> adjust) {
        EntrySettings settings = EntrySettings.of(new VmName("vm-1"), new AvailabilityZone("a"), "127.0.0.1", 0)
                .withDrainNoticePeriod(Duration.ofMillis(200));
        EntryDependencies dependencies = new EntryDependencies(
                vertx,
                clock,
                new FakeConfiguration(),
                () -> List.copyOf(servers),
                quota,
                request -> queue.enqueue(request),
                claims,
                crashes,
                (model, adapter, tokens) -> {},
                EventRecorder.NoOp.INSTANCE,
                new SimpleMeterRegistry(),
                () -> "metrics 1\n");
        server = new EntryServer(dependencies, adjust.apply(settings));
        await(server.start().toCompletionStage().toCompletableFuture());
    }

    private void countReleasedSlot() {
        releasedSlots.incrementAndGet();
    }

    static Configuration configuration(boolean withdrawn) {
        KeyRecord key = new KeyRecord("k1", KeyDigest.of(KEY).value(), "quilters", withdrawn);
        KeyRecord withdrawnKey = new KeyRecord("k2", KeyDigest.of(WITHDRAWN_KEY).value(), "quilters", true);
        Workspace workspace = new Workspace("quilters", 1000, 1000, 0, Set.of("llama"));
        Model llama = new Model("llama", 1, 64, 8000, List.of(new ModelVersion("1", 1)));
        Model other = new Model("other", 1, 64, 8000, List.of(new ModelVersion("1", 1)));
        return new Configuration(
                1,
                Map.of("quilters", workspace),
                Map.of("llama", llama, "other", other),
                Map.of(),
                List.of(
                        new Route("stock", "/stock", "stock", false, true, 8000, 1),
                        new Route("orders", "/orders", "stock", false, false, 8000, 5),
                        new Route("open", "/open", "stock", true, false, 8000, 0)),
                Map.of(key.digest(), key, withdrawnKey.digest(), withdrawnKey));
    }

    static Configuration withRouteTimeout(long millis) {
        Configuration base = configuration(false);
        List<Route> routes = base.routes().stream()
                .map(route -> new Route(
                        route.name(),
                        route.pathPrefix(),
                        route.service(),
                        route.isPublic(),
                        route.repeatable(),
                        millis,
                        route.tokenCost()))
                .toList();
        return new Configuration(2, base.workspaces(), base.models(), Map.of(), routes, base.keysByDigest());
    }

    static BackendServer withoutModels(BackendServer server) {
        return server(server.name().value(), server.port(), server.kind(), Set.of(), List.of());
    }

    void addEngine(String name, int port) {
        servers.add(server(
                name, port, BackendServerKind.ENGINE, Set.of(), List.of(new LoadedModel("llama", "1", "0", Set.of()))));
    }

    void addEngine(String name, int port, String softwareVersion) {
        addEngine(name, port);
        servers.add(BackendServerFixture.withSoftware(servers.remove(servers.size() - 1), softwareVersion));
    }

    void addService(String name, int port) {
        servers.add(server(name, port, BackendServerKind.SERVICE, Set.of("stock"), List.of()));
    }

    private static BackendServer server(
            String name, int port, BackendServerKind kind, Set<String> services, List<LoadedModel> models) {
        return new BackendServer(
                new BackendServerName(name),
                1,
                1,
                kind,
                BackendServerState.ALIVE,
                new AvailabilityZone("a"),
                "127.0.0.1",
                port,
                true,
                services,
                List.of(),
                models,
                new LoadReport(0, 0, 8, 100.0, 1000.0));
    }

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + KEY);
    }

    HttpResponse<String> send(HttpRequest request) {
        return await(client.sendAsync(request, HttpResponse.BodyHandlers.ofString()));
    }

    HttpResponse<String> post(String path, String body, String... headers) {
        HttpRequest.Builder builder = request(path).POST(HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            builder.headers(headers);
        }
        return send(builder.build());
    }

    HttpResponse<String> get(String path) {
        return send(request(path).GET().build());
    }

    static String chat(boolean stream) {
        return "{\"model\":\"llama\",\"stream\":" + stream
                + ",\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"list scraps\"}]}";
    }

    /** Sends raw bytes and returns everything received until the connection is closed. */
    String sendRaw(String bytes) {
        return sendRaw(bytes, socket -> {});
    }

    String sendRaw(String bytes, Consumer<java.net.Socket> beforeRead) {
        try (java.net.Socket socket = new java.net.Socket("127.0.0.1", server.port())) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            socket.getOutputStream().write(bytes.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            beforeRead.accept(socket);
            return new String(socket.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.ISO_8859_1);
        } catch (IOException exception) {
            return "failed: " + exception.getMessage();
        }
    }

    static <T> T await(CompletableFuture<T> future) {
        try {
            return future.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        } catch (Exception exception) {
            throw new IllegalStateException(exception);
        }
    }

    @Override
    public void close() {
        await(server.close().toCompletionStage().toCompletableFuture());
        await(vertx.close().toCompletionStage().toCompletableFuture());
    }

    /** Returns the configuration of the fixture. */
    private final class FakeConfiguration implements ConfigurationSource {

        @Override
        public Configuration current() {
            return configuration;
        }

        @Override
        public boolean isFresh(long nowNanos) {
            return configurationFresh;
        }

        @Override
        public void subscribe(Consumer<Configuration> listener) {}
    }

    /** Grants every reservation unless a refusal is set, and counts settlements and refunds. */
    static final class FakeQuota implements TokenQuota {

        final AtomicInteger reserved = new AtomicInteger();
        final AtomicInteger refunded = new AtomicInteger();
        final AtomicLong settledTokens = new AtomicLong();
        volatile ResultCode refusal;

        @Override
        public CompletableFuture<Decision> reserve(String workspace, long tokens, Deadline deadline) {
            if (refusal != null) {
                Deadline retryAt = Deadline.after(System.nanoTime(), Duration.ofMillis(2500));
                return CompletableFuture.completedFuture(new Decision.Refused(refusal, retryAt));
            }
            reserved.incrementAndGet();
            return CompletableFuture.completedFuture(new Decision.Reserved(new Reservation() {

                @Override
                public void settle(long usedTokens) {
                    settledTokens.addAndGet(usedTokens);
                }

                @Override
                public void refund() {
                    refunded.incrementAndGet();
                }
            }));
        }
    }

    /** Stores claims in memory. */
    static final class FakeClaims implements ClaimStore {

        final Map<ClaimKey, StoredResponse> answers = new ConcurrentHashMap<>();
        final Map<ClaimKey, String> states = new ConcurrentHashMap<>();
        volatile Duration dispatchPeriod = Duration.ofSeconds(5);

        @Override
        public CompletableFuture<ClaimDecision> claim(
                ClaimKey key, String digest, long createdAtMillis, Deadline deadline) {
            StoredResponse answer = answers.get(key);
            if (answer != null) {
                return CompletableFuture.completedFuture(new ClaimDecision.Answered(answer));
            }
            if ("abandoned".equals(states.get(key))) {
                return CompletableFuture.completedFuture(new ClaimDecision.MayHaveRun());
            }
            states.put(key, "claimed");
            return CompletableFuture.completedFuture(
                    new ClaimDecision.Granted(1, Deadline.after(System.nanoTime(), dispatchPeriod)));
        }

        @Override
        public CompletableFuture<Void> complete(ClaimKey key, long epoch, StoredResponse answer) {
            states.put(key, "answered");
            answers.put(key, answer);
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<Void> release(ClaimKey key, long epoch) {
            states.put(key, "released");
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<Void> abandon(ClaimKey key, long epoch) {
            states.put(key, "abandoned");
            return CompletableFuture.completedFuture(null);
        }
    }

    /** Stores suspicions in memory. */
    static final class FakeCrashes implements CrashRegistry {

        final Map<Fingerprint, Suspicion> suspicions = new ConcurrentHashMap<>();
        final List<Boolean> reportedAlone = new ArrayList<>();
        volatile boolean unreachable;

        @Override
        public Suspicion suspicion(Fingerprint fingerprint) {
            return suspicions.getOrDefault(fingerprint, Suspicion.NONE);
        }

        @Override
        public synchronized CompletableFuture<Suspicion> reportCrash(
                Fingerprint fingerprint, BackendServerName server, long incarnation, boolean alone) {
            reportedAlone.add(alone);
            if (unreachable) {
                return CompletableFuture.failedFuture(new IllegalStateException("unreachable"));
            }
            Suspicion next = suspicions.containsKey(fingerprint) ? Suspicion.QUARANTINED : Suspicion.SUSPECT;
            suspicions.put(fingerprint, next);
            return CompletableFuture.completedFuture(next);
        }

        @Override
        public void reportAnswered(Fingerprint fingerprint) {
            suspicions.remove(fingerprint);
        }
    }
}
