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
import java.util.List;
import java.util.OptionalInt;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerRequest;
import org.borageproxy.server.GatewayProcess;
import org.borageproxy.settings.Endpoint;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;

/**
 * Runs a VM with all roles and an entry on loopback ports from their start through some requests to their shutdown, so
 * that the virtual machine can record the classes that a VM loads. The second VM is needed because messages of a VM to
 * itself use no connection. Thread safe; each run uses ports and a folder of its own.
 */
public final class PlatformRehearsal {

    private static final String HOST = "127.0.0.1";
    /** The address of the entry, which uses the same ports as the VM with all roles. */
    private static final String ENTRY_HOST = "127.0.0.2";

    private static final int OK = 200;
    private static final Duration TIME_LIMIT = Duration.ofSeconds(30);
    private static final Duration ATTEMPT_INTERVAL = Duration.ofMillis(100);

    private static final String SETTINGS = """
            NodeName = "rehearsal"
            Ip = "%1$s"
            Zone = "a"
            Bootstrap = true
            HeartbeatMs = 1000
            %2$s
            InternalPortRange = [%3$d, %3$d]
            SeedNodes = ["127.0.0.1:%3$d"]
            [Listen]
            FrontAddr = "%1$s:%4$d"
            ReadyAddr = "%1$s:%5$d"
            %6$s
            [Bounds]
            GraceS = 3
            """;
    private static final String ROUTES = """
            {"Name":"e-%1$s","Host":"%1$s","PathPrefix":"/e/","Type":"streaming",
            "TimeoutMs":9000,"TargetLatencyMs":5000,"Priority":1,"Service":"engines","MaxAttempts":2,"Sticky":true,
            "Resumable":true,"TargetGapMs":400},{"Name":"p-%1$s","Host":"%1$s","PathPrefix":"/p/","Type":"safe",
            "TimeoutMs":9000,"TargetLatencyMs":5000,"Priority":1,"Service":"plain","MaxAttempts":2}""";
    private static final String PUBLICATION = """
            {"Version":1,"Routes":[%s,%s],
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
     * Runs the VMs. Blocks until they have shut down.
     *
     * @param folder an empty folder for the settings and the state
     * @throws Exception if a VM cannot start or does not serve the requests within the time limit
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
        GatewayProcess control = start(folder, HOST, ports);
        GatewayProcess entry = start(folder, ENTRY_HOST, ports);
        awaitOk(request(HOST, ports.control(), "/Config.Replace")
                .POST(HttpRequest.BodyPublishers.ofString(publication())));
        announce(ports, "engines", ENGINE_STATE);
        announce(ports, "plain", "");
        for (String host : List.of(HOST, ENTRY_HOST)) {
            awaitOk(request(host, ports.readiness(), "/readyz"));
            awaitOk(modelRequest(host, ports.callers()));
            awaitOk(callerRequest(host, ports.callers(), "/p/1"));
            awaitOk(request(host, ports.metrics(), "/metrics"));
        }
        awaitOk(request(HOST, ports.control(), "/Config.Read"));
        entry.shutDown().toCompletableFuture().join();
        control.shutDown().toCompletableFuture().join();
        vertx.close().toCompletionStage().toCompletableFuture().get();
    }

    private static String publication() {
        return PUBLICATION.formatted(ROUTES.formatted(HOST), ROUTES.formatted(ENTRY_HOST));
    }

    private static GatewayProcess start(Path folder, String host, Ports ports) throws Exception {
        Path settings = Files.writeString(folder.resolve(host + ".toml"), settings(folder, host, ports));
        return new PlatformVm(settings, OptionalInt.of(ports.metrics())).start();
    }

    /** The ports of the VMs and of the backend server. */
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

    private static String settings(Path folder, String host, Ports ports) {
        boolean isControl = host.equals(HOST);
        return SETTINGS.formatted(
                host,
                isControl ? "DataDir = \"" + folder.resolve("data") + "\"" : "",
                ports.internal(),
                ports.callers(),
                ports.readiness(),
                isControl ? "ControlPlane = \"" + new Endpoint(host, ports.control()) + "\"" : "");
    }

    private void announce(Ports ports, String service, String state) throws Exception {
        String heartbeat = HEARTBEAT.formatted(service, ports.server(), state);
        awaitOk(request(HOST, ports.control(), "/Replicas.Heartbeat/i-" + service)
                .POST(HttpRequest.BodyPublishers.ofString(heartbeat)));
    }

    private static HttpRequest.Builder request(String host, int port, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + new Endpoint(host, port) + path));
    }

    private static HttpRequest.Builder callerRequest(String host, int port, String path) {
        return request(host, port, path)
                .header("X-Request-Id", "1")
                .header("X-Deadline-Ms", "9000")
                .header("X-Credential", "k");
    }

    private static HttpRequest.Builder modelRequest(String host, int port) {
        return callerRequest(host, port, "/e/1")
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
