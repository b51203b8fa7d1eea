package org.borageproxy.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.OptionalInt;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerRequest;
import org.borageproxy.server.GatewayProcess;
import org.borageproxy.settings.Endpoint;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;

/**
 * Runs a VM with all roles on loopback ports from its start through some requests to its shutdown, so that the virtual
 * machine can record the classes that a VM loads. Thread safe; each run uses ports and a folder of its own.
 */
public final class PlatformRehearsal {

    private static final String HOST = "127.0.0.1";
    private static final int OK = 200;
    private static final Duration TIME_LIMIT = Duration.ofSeconds(20);
    private static final Duration ATTEMPT_INTERVAL = Duration.ofMillis(100);

    private static final String SETTINGS = """
            NodeName = "rehearsal"
            Ip = "127.0.0.1"
            Zone = "a"
            Bootstrap = true
            HeartbeatMs = 1000
            DataDir = "%s"
            InternalPortRange = [%d, %d]
            SeedNodes = ["127.0.0.1:%d"]
            [Listen]
            FrontAddr = "127.0.0.1:%d"
            ReadyAddr = "127.0.0.1:%d"
            ControlPlane = "127.0.0.1:%d"
            [Bounds]
            GraceS = 3
            """;
    private static final String PUBLICATION = """
            {"Version":1,"Routes":[{"Name":"r1","Host":"127.0.0.1","PathPrefix":"/e/","Type":"streaming",
            "TimeoutMs":9000,"TargetLatencyMs":5000,"Priority":1,"Service":"engines","MaxAttempts":2,"Sticky":true,
            "Resumable":true,"TargetGapMs":400},{"Name":"r2","Host":"127.0.0.1","PathPrefix":"/p/","Type":"safe",
            "TimeoutMs":9000,"TargetLatencyMs":5000,"Priority":1,"Service":"plain","MaxAttempts":2}],
            "Services":[{"Name":"engines","HealthPath":"/healthz","MaxConnections":90,"Engine":{"Slots":8,
            "KvCapacityTokens":90000,"Models":[{"Name":"m","WeightsMb":10.0,"LoadS":1.0,"Adapters":1,
            "AdapterSizeMb":1.0}],"WeightsMb":100.0,"AdapterSlots":2,"LoadsPerS":2.0}},
            {"Name":"plain","HealthPath":"/healthz","MaxConnections":90}],
            "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
            "Tenants":[{"Name":"w","ApiKeys":["k"],"Priority":1,"Unit":"token_stream","PlainTokens":200,
            "RatePerS":50000,"Burst":50000}]}""";
    private static final String HEARTBEAT = """
            {"Service":"%s","Address":"127.0.0.1:%d","Zone":"a","Version":"v1","Slots":8,"State":"ready",
            "ColdRemainingMs":0,"Sequence":1,"born":1%s}""";
    private static final String ENGINE_STATE =
            ",\"Stage\":\"mixed\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}]";
    private static final String REPORT =
            "{\"Busy\":false,\"Sequence\":0,\"Queued\":0,\"Active\":0,\"KvUsed\":0,\"KvTotal\":90000" + ENGINE_STATE
                    + "}";

    private final MonotonicClock clock = MonotonicClock.ofSystem();
    private final Deadline end = Deadline.after(clock.nanoTime(), TIME_LIMIT);
    private final HttpClient client = HttpClient.newHttpClient();

    /**
     * Runs the VM. Blocks until it has shut down.
     *
     * @param folder an empty folder for the settings and the state
     * @throws Exception if the VM cannot start or does not serve the requests within the time limit
     */
    public void run(Path folder) throws Exception {
        Ports ports = Ports.free();
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        vertx.createHttpServer()
                .requestHandler(PlatformRehearsal::serve)
                .listen(ports.server(), HOST)
                .toCompletionStage()
                .toCompletableFuture()
                .get();
        Path settings = Files.writeString(folder.resolve("boot.toml"), settings(folder, ports));
        GatewayProcess process = new PlatformVm(settings, OptionalInt.of(ports.metrics())).start();
        awaitOk(request(ports.control(), "/Config.Replace").POST(HttpRequest.BodyPublishers.ofString(PUBLICATION)));
        announce(ports, "engines", ENGINE_STATE);
        announce(ports, "plain", "");
        awaitOk(request(ports.readiness(), "/readyz"));
        awaitOk(modelRequest(ports.callers()));
        awaitOk(callerRequest(ports.callers(), "/p/1"));
        awaitOk(request(ports.control(), "/Config.Read"));
        awaitOk(request(ports.metrics(), "/metrics"));
        process.shutDown().toCompletableFuture().join();
        vertx.close().toCompletionStage().toCompletableFuture().get();
    }

    /** The ports of the VM and of the backend server. */
    private record Ports(int internal, int callers, int readiness, int control, int metrics, int server) {

        /** Returns ports on which nothing listens; all are bound at the same time, so that they differ. */
        private static Ports free() throws IOException {
            try (ServerSocket internal = bind();
                    ServerSocket callers = bind();
                    ServerSocket readiness = bind();
                    ServerSocket control = bind();
                    ServerSocket metrics = bind();
                    ServerSocket server = bind()) {
                return new Ports(
                        internal.getLocalPort(),
                        callers.getLocalPort(),
                        readiness.getLocalPort(),
                        control.getLocalPort(),
                        metrics.getLocalPort(),
                        server.getLocalPort());
            }
        }

        private static ServerSocket bind() throws IOException {
            return new ServerSocket(0, 1, InetAddress.getByName(HOST));
        }
    }

    private static String settings(Path folder, Ports ports) {
        return SETTINGS.formatted(
                folder.resolve("data"),
                ports.internal(),
                ports.internal(),
                ports.internal(),
                ports.callers(),
                ports.readiness(),
                ports.control());
    }

    private void announce(Ports ports, String service, String state) throws Exception {
        String heartbeat = HEARTBEAT.formatted(service, ports.server(), state);
        awaitOk(request(ports.control(), "/Replicas.Heartbeat/i-" + service)
                .POST(HttpRequest.BodyPublishers.ofString(heartbeat)));
    }

    private static HttpRequest.Builder request(int port, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + new Endpoint(HOST, port) + path));
    }

    private static HttpRequest.Builder callerRequest(int port, String path) {
        return request(port, path)
                .header("X-Request-Id", "1")
                .header("X-Deadline-Ms", "9000")
                .header("X-Credential", "k");
    }

    private static HttpRequest.Builder modelRequest(int port) {
        return callerRequest(port, "/e/1")
                .header("X-Model", "m")
                .header("X-Token-Count", "100,10")
                .header("X-Prompt-Prefix", "5c1e07a2:80,91bd3f06:20")
                .POST(HttpRequest.BodyPublishers.ofString("{}"));
    }

    /** Repeats a request until it succeeds. */
    private void awaitOk(HttpRequest.Builder builder) throws Exception {
        HttpRequest request = builder.version(HttpClient.Version.HTTP_1_1).build();
        int status = 0;
        while (status != OK) {
            if (end.hasPassed(clock.nanoTime())) {
                throw new IllegalStateException(request.uri() + " answered " + status);
            }
            try {
                status = client.send(request, HttpResponse.BodyHandlers.ofString())
                        .statusCode();
            } catch (IOException exception) {
                status = 0;
            }
            if (status != OK) {
                Thread.sleep(ATTEMPT_INTERVAL.toMillis());
            }
        }
    }

    /** Answers as a backend server does. */
    private static void serve(HttpServerRequest request) {
        String id = request.getHeader("X-Request-Id");
        if (id != null) {
            request.response().putHeader("X-Request-Id", id).putHeader("X-Server-Signature", "1");
        }
        if (request.path().equals("/report")) {
            request.response().end(REPORT);
        } else if (request.path().startsWith("/e/")) {
            request.response()
                    .putHeader("Content-Type", "text/event-stream")
                    .setChunked(true)
                    .write("id: 1\ndata: a\n\n");
            request.response().end("id: 2\ndata: b\n\n");
        } else {
            request.response().end("ok");
        }
    }
}
