package org.borageproxy.entry;

import java.net.Socket;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.vertx.core.json.JsonObject;
import org.borageproxy.admission.DispatchQueue;
import org.borageproxy.execution.ClaimKey;
import org.borageproxy.execution.RequestDigest;
import org.borageproxy.execution.Suspicion;
import org.borageproxy.result.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests requests during faults of backend servers, as observed by callers and by backend servers. */
class BackendFaultTest {

    private static final String PATH = "/v1/chat/completions";
    private EntryFixture fixture;

    @BeforeEach
    void start() {
        fixture = new EntryFixture();
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    private static void assertFailure(HttpResponse<String> response, ResultCode code, String outcome) {
        assertEquals(code.httpStatus(), response.statusCode(), response.body());
        assertEquals(
                code.name(),
                new JsonObject(response.body()).getJsonObject("error").getString("name"));
        assertEquals(
                outcome, response.headers().firstValue("borageproxy-outcome").orElse(""));
    }

    @Test
    void nonRepeatableRequestIsSentOnceWhenConnectionCloses() {
        ScriptedBackend.Script closeSecond = (exchange, number) -> {
            if (number == 1) {
                exchange.respond(200, "warm");
            } else {
                exchange.closeConnection();
            }
        };
        try (ScriptedBackend first = ScriptedBackend.answering(closeSecond);
                ScriptedBackend second = ScriptedBackend.answering(closeSecond)) {
            fixture.addService("service-1", first.port());
            assertEquals(200, fixture.get("/stock/1").statusCode());
            fixture.addService("service-2", second.port());
            int before = first.runs().size() + second.runs().size();
            HttpResponse<String> response = fixture.post("/orders", "bundle");
            long orders = java.util.stream.Stream.of(first, second)
                    .flatMap(backend -> backend.runs().stream())
                    .filter(run -> run.head().startsWith("POST"))
                    .count();
            assertEquals(1, orders, "arrivals of the order");
            if (response.statusCode() != 200) {
                assertFailure(response, ResultCode.BACKEND_FAILED, "may-have-run");
            }
            assertEquals(before + 1, first.runs().size() + second.runs().size());
        }
    }

    @Test
    void requestIsNotResentWhenServerClosesPooledConnectionAfterReading() {
        ScriptedBackend.Script script = (exchange, number) -> {
            if (exchange.request.head().startsWith("GET")) {
                exchange.respond(200, "warm");
            } else {
                exchange.closeConnection();
            }
        };
        try (ScriptedBackend service = ScriptedBackend.answering(script)) {
            fixture.addService("service-1", service.port());
            assertEquals(200, fixture.get("/stock/1").statusCode());
            HttpResponse<String> response = fixture.post("/orders", "bundle");
            assertFailure(response, ResultCode.BACKEND_FAILED, "may-have-run");
            assertEquals(2, service.runs().size());
        }
    }

    @Test
    void retriesRequestThatServerReportsAsNotRun() {
        try (ScriptedBackend refusing = ScriptedBackend.answering(
                        (exchange, number) -> exchange.respond(429, "", "borageproxy-not-run: true\r\n"));
                ScriptedBackend accepting =
                        ScriptedBackend.answering((exchange, number) -> exchange.respond(200, "sold"))) {
            fixture.addService("service-1", refusing.port());
            assertFailure(fixture.post("/orders", "a"), ResultCode.OVERLOADED, "not-run");
            assertEquals(1, fixture.quota.refunded.get());
            fixture.addService("service-2", accepting.port());
            assertEquals("sold", fixture.post("/orders", "b").body());
        }
    }

    @Test
    void resumesStreamWithoutLostOrRepeatedTokensAfterEngineCrash() {
        try (ScriptedBackend crashing = ScriptedBackend.answering((exchange, number) -> {
                    exchange.tokens(0, 3);
                    exchange.crash();
                });
                ScriptedBackend other = ScriptedBackend.answering((exchange, number) -> {
                    int from = exchange.request.json().getInteger("resume_from");
                    exchange.tokens(from, 6).done();
                })) {
            fixture.addEngine("engine-1", crashing.port());
            CompletableFuture<HttpResponse<String>> answer = fixture.client.sendAsync(
                    fixture.request(PATH)
                            .POST(java.net.http.HttpRequest.BodyPublishers.ofString(EntryFixture.chat(true)))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            while (crashing.runs().isEmpty()) {
                Thread.onSpinWait();
            }
            fixture.addEngine("engine-2", other.port());
            HttpResponse<String> response = EntryFixture.await(answer);
            assertEquals("t0 t1 t2 t3 t4 t5 ", StreamText.of(response.body()));
            assertTrue(response.body().endsWith("data: [DONE]\n\n"));
            assertEquals("t0 t1 t2 ", other.runs().get(0).json().getString("resume_text"));
            assertEquals(1, fixture.crashes.reportedAlone.size());
            assertTrue(fixture.crashes.suspicions.isEmpty(), "an answered request is cleared");
        }
    }

    private static void pause(Duration duration) {
        try {
            Thread.sleep(duration.toMillis());
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Guards against tokens of two software versions in one answer: the only other engine runs another one. */
    @Test
    void resumesStreamOnlyAtEngineOfSameSoftwareVersion() {
        try (ScriptedBackend crashing = ScriptedBackend.answering((exchange, number) -> {
                    exchange.tokens(0, 3);
                    exchange.crash();
                });
                ScriptedBackend newer = ScriptedBackend.answering(
                        (exchange, number) -> exchange.tokens(0, 6).done());
                ScriptedBackend same = ScriptedBackend.answering((exchange, number) -> exchange.tokens(
                                exchange.request.json().getInteger("resume_from"), 6)
                        .done())) {
            fixture.addEngine("engine-1", crashing.port(), "v1");
            CompletableFuture<HttpResponse<String>> answer = fixture.client.sendAsync(
                    fixture.request(PATH)
                            .POST(java.net.http.HttpRequest.BodyPublishers.ofString(EntryFixture.chat(true)))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            while (crashing.runs().isEmpty()) {
                Thread.onSpinWait();
            }
            fixture.servers.clear();
            fixture.addEngine("engine-2", newer.port(), "v2");
            pause(Duration.ofMillis(200));
            fixture.addEngine("engine-3", same.port(), "v1");
            assertEquals(
                    "t0 t1 t2 t3 t4 t5 ",
                    StreamText.of(EntryFixture.await(answer).body()));
            assertEquals(0, newer.runs().size());
            assertEquals(1, same.runs().size());
        }
    }

    @Test
    void endsStreamWithErrorEventWhenNoReplicaCanContinue() {
        try (ScriptedBackend crashing = ScriptedBackend.answering((exchange, number) -> {
            exchange.tokens(0, 2);
            exchange.closeConnection();
        })) {
            fixture.addEngine("engine-1", crashing.port());
            String body = EntryFixture.chat(true);
            String response = fixture.sendRaw("POST " + PATH + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                    + EntryFixture.KEY + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            assertTrue(response.contains("t0 "), response);
            assertTrue(response.contains("event: error"), response);
            assertFalse(response.contains("[DONE]"), response);
            assertFalse(response.endsWith("0\r\n\r\n"), response);
        }
    }

    @Test
    void rejectsTruncatedMisroutedOrOutOfOrderEngineResponses() {
        ScriptedBackend.Script[] faults = {
            (exchange, number) -> exchange.tokens(0, 2).line("{\"request_id\":\"x\",\"done\":true}"),
            (exchange, number) -> exchange.identity("someone-else").tokens(0, 2).done(),
            (exchange, number) -> exchange.tokens(0, 1).tokens(2, 3).done(),
            (exchange, number) -> exchange.tokens(0, 2).tokens(1, 2).done(),
            (exchange, number) ->
                    exchange.tokens(0, 1).tokens(0, 1).tokens(2, 3).done(),
            (exchange, number) -> {
                exchange.tokens(0, 2);
                exchange.write("0\r\n\r\n");
            },
        };
        for (ScriptedBackend.Script fault : faults) {
            fixture.servers.clear();
            try (ScriptedBackend engine = ScriptedBackend.answering(fault)) {
                fixture.addEngine("engine-" + engine.port(), engine.port());
                HttpResponse<String> response = fixture.post(PATH, EntryFixture.chat(false));
                assertEquals(502, response.statusCode(), response.body());
                assertEquals(
                        "may-have-run",
                        response.headers().firstValue("borageproxy-outcome").orElse(""));
            }
        }
    }

    @Test
    void rejectsTruncatedOrMisroutedServiceResponses() {
        ScriptedBackend.Script truncated = (exchange, number) -> {
            exchange.write("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nshort");
            exchange.closeConnection();
        };
        ScriptedBackend.Script foreign =
                (exchange, number) -> exchange.respond(200, "x", "borageproxy-request-id: other\r\n");
        try (ScriptedBackend first = ScriptedBackend.answering(truncated);
                ScriptedBackend second = ScriptedBackend.answering(foreign)) {
            fixture.addService("service-1", first.port());
            assertFailure(fixture.post("/orders", "a"), ResultCode.BACKEND_FAILED, "may-have-run");
            fixture.servers.clear();
            fixture.addService("service-2", second.port());
            assertFailure(fixture.post("/orders", "b"), ResultCode.ANSWER_INVALID, "may-have-run");
        }
    }

    @Test
    void dispatchesRequestWithIdempotencyKeyOnceAndReplaysResponse() {
        try (ScriptedBackend service =
                ScriptedBackend.answering((exchange, number) -> exchange.respond(200, "order-" + number))) {
            fixture.addService("service-1", service.port());
            assertEquals(
                    "order-1",
                    fixture.post("/orders", "a", "Idempotency-Key", "i1").body());
            assertEquals(
                    "order-1",
                    fixture.post("/orders", "a", "Idempotency-Key", "i1").body());
            assertEquals(1, service.runs().size());
        }
    }

    @Test
    void releasesClaimWithoutDispatchingWhenDispatchPeriodHasElapsed() {
        try (ScriptedBackend service = ScriptedBackend.answering((exchange, number) -> exchange.respond(200, "x"))) {
            fixture.addService("service-1", service.port());
            fixture.claims.dispatchPeriod = java.time.Duration.ZERO;
            HttpResponse<String> response = fixture.post("/orders", "a", "Idempotency-Key", "i1");
            assertFailure(response, ResultCode.CLAIM_UNAVAILABLE, "not-run");
            assertEquals("released", fixture.claims.states.get(new ClaimKey("quilters", "i1")));
            assertTrue(service.runs().isEmpty());
        }
    }

    @Test
    void doesNotRedispatchClaimedRequestThatMayHaveRun() {
        try (ScriptedBackend service = ScriptedBackend.answering((exchange, number) -> exchange.closeConnection())) {
            fixture.addService("service-1", service.port());
            assertFailure(
                    fixture.post("/orders", "a", "Idempotency-Key", "i1"), ResultCode.BACKEND_FAILED, "may-have-run");
            assertFailure(
                    fixture.post("/orders", "a", "Idempotency-Key", "i1"), ResultCode.MAY_HAVE_RUN, "may-have-run");
            assertEquals(1, service.runs().size());
        }
    }

    @Test
    void rejectsQueuedRequestWhenKeyIsWithdrawnOrConfigurationTurnsStale() {
        try (ScriptedBackend engine = ScriptedBackend.engine(1)) {
            fixture.addEngine("engine-1", engine.port());
            fixture.queue = queued -> {
                fixture.configuration = EntryFixture.configuration(true);
                return CompletableFuture.completedFuture(new DispatchQueue.Decision.Dispatchable(() -> {}));
            };
            assertFailure(fixture.post(PATH, EntryFixture.chat(false)), ResultCode.KEY_REFUSED, "not-run");
            fixture.configuration = EntryFixture.configuration(false);
            fixture.queue = queued -> {
                fixture.configurationFresh = false;
                return CompletableFuture.completedFuture(new DispatchQueue.Decision.Dispatchable(() -> {}));
            };
            assertFailure(fixture.post(PATH, EntryFixture.chat(false)), ResultCode.CONFIGURATION_STALE, "not-run");
            assertTrue(engine.runs().isEmpty());
            assertEquals(2, fixture.quota.refunded.get());
        }
    }

    @Test
    void quarantinesRequestAfterItCrashesTwoServers() {
        ScriptedBackend.Script crash = (exchange, number) -> exchange.crash();
        try (ScriptedBackend first = ScriptedBackend.answering(crash);
                ScriptedBackend second = ScriptedBackend.answering(crash);
                ScriptedBackend third = ScriptedBackend.answering(crash)) {
            fixture.addEngine("engine-1", first.port());
            fixture.addEngine("engine-2", second.port());
            fixture.addEngine("engine-3", third.port());
            for (int send = 0; send < 3; send++) {
                assertFailure(
                        fixture.post(PATH, EntryFixture.chat(false)), ResultCode.REQUEST_QUARANTINED, "may-have-run");
            }
            int reached =
                    first.runs().size() + second.runs().size() + third.runs().size();
            assertEquals(2, reached);
            assertEquals(java.util.List.of(false, true), fixture.crashes.reportedAlone);
        }
    }

    @Test
    void requestReachesOnlyTwoServersWhenCrashRegistryIsUnreachable() {
        ScriptedBackend.Script crash = (exchange, number) -> exchange.crash();
        fixture.crashes.unreachable = true;
        try (ScriptedBackend first = ScriptedBackend.answering(crash);
                ScriptedBackend second = ScriptedBackend.answering(crash);
                ScriptedBackend third = ScriptedBackend.answering(crash)) {
            fixture.addEngine("engine-1", first.port());
            fixture.addEngine("engine-2", second.port());
            fixture.addEngine("engine-3", third.port());
            assertFailure(fixture.post(PATH, EntryFixture.chat(false)), ResultCode.BACKEND_FAILED, "may-have-run");
            assertEquals(
                    2, first.runs().size() + second.runs().size() + third.runs().size());
        }
    }

    @Test
    void cancelsRunWhenCallerDisconnects() throws Exception {
        CountDownLatch running = new CountDownLatch(1);
        CountDownLatch cancelled = new CountDownLatch(1);
        try (ScriptedBackend engine = ScriptedBackend.answering((exchange, number) -> {
            if (exchange.request.head().startsWith("DELETE /v1/run/")) {
                cancelled.countDown();
                exchange.respond(200, "");
            } else {
                exchange.tokens(0, 1);
                running.countDown();
            }
        })) {
            fixture.addEngine("engine-1", engine.port());
            String body = EntryFixture.chat(true);
            try (Socket socket = new Socket("127.0.0.1", fixture.server.port())) {
                socket.getOutputStream()
                        .write(("POST " + PATH + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + EntryFixture.KEY
                                        + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                                .getBytes());
                assertTrue(running.await(20, TimeUnit.SECONDS));
            }
            assertTrue(cancelled.await(20, TimeUnit.SECONDS));
        }
    }

    @Test
    void timeoutResponseStatesWhetherRequestMayHaveRun() {
        fixture.configuration = EntryFixture.withRouteTimeout(300);
        try (ScriptedBackend silent = ScriptedBackend.answering((exchange, number) -> {})) {
            fixture.addService("service-1", silent.port());
            assertFailure(fixture.post("/orders", "a"), ResultCode.BACKEND_TIMEOUT, "may-have-run");
            fixture.queue = queued -> new CompletableFuture<>();
            assertFailure(fixture.post("/orders", "b"), ResultCode.DEADLINE_PASSED, "not-run");
            assertEquals(1, silent.runs().size());
        }
    }

    @Test
    void returnsModelLoadingWhenNoServerHasTheModelLoaded() {
        fixture.addEngine("engine-1", 1);
        fixture.servers.set(0, EntryFixture.withoutModels(fixture.servers.get(0)));
        HttpResponse<String> response = fixture.post(PATH, EntryFixture.chat(true));
        assertFailure(response, ResultCode.MODEL_LOADING, "not-run");
        assertEquals("1", response.headers().firstValue("retry-after").orElse(""));
    }

    @Test
    void retriesOnFullServerDoNotExhaustRetryBudget() {
        fixture.close();
        fixture = new EntryFixture(Duration.ofSeconds(10));
        try (ScriptedBackend full = ScriptedBackend.answering((exchange, number) -> {
            if (number % 4 == 0) {
                exchange.respond(200, "sold");
            } else {
                exchange.respond(429, "", "borageproxy-not-run: true\r\n");
            }
        })) {
            fixture.addService("service-1", full.port());
            for (int call = 0; call < 30; call++) {
                assertEquals("sold", fixture.post("/orders", "a").body());
            }
            assertEquals(120, full.runs().size());
        }
    }

    @Test
    void renewsClaimWhenDispatchPeriodElapsesInQueue() {
        try (ScriptedBackend service = ScriptedBackend.answering((exchange, number) -> exchange.respond(200, "sold"))) {
            fixture.addService("service-1", service.port());
            fixture.claims.dispatchPeriod = java.time.Duration.ZERO;
            fixture.queue = queued -> {
                fixture.claims.dispatchPeriod = java.time.Duration.ofSeconds(5);
                return CompletableFuture.completedFuture(new DispatchQueue.Decision.Dispatchable(() -> {}));
            };
            assertEquals(
                    "sold",
                    fixture.post("/orders", "a", "Idempotency-Key", "i1").body());
            assertEquals("answered", fixture.claims.states.get(new ClaimKey("quilters", "i1")));
            assertEquals(1, service.runs().size());
        }
    }

    @Test
    void suspectRequestWaitsUntilRunningRequestFinishes() throws Exception {
        CountDownLatch resume = new CountDownLatch(1);
        CountDownLatch busy = new CountDownLatch(1);
        java.util.concurrent.atomic.AtomicBoolean alone = new java.util.concurrent.atomic.AtomicBoolean();
        try (ScriptedBackend service = ScriptedBackend.answering((exchange, number) -> {
            if (exchange.request.head().startsWith("GET")) {
                busy.countDown();
                awaitLatch(resume);
            } else {
                alone.set(resume.getCount() == 0);
            }
            exchange.respond(200, "ok");
        })) {
            fixture.addService("service-1", service.port());
            fixture.crashes.suspicions.put(
                    RequestDigest.fingerprint("quilters", "/orders", "a".getBytes()), Suspicion.SUSPECT);
            CompletableFuture<HttpResponse<String>> other = fixture.client.sendAsync(
                    fixture.request("/stock/1").GET().build(), HttpResponse.BodyHandlers.ofString());
            assertTrue(busy.await(20, TimeUnit.SECONDS));
            CompletableFuture<HttpResponse<String>> suspect = fixture.client.sendAsync(
                    fixture.request("/orders")
                            .POST(java.net.http.HttpRequest.BodyPublishers.ofString("a"))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            Thread.sleep(400);
            resume.countDown();
            assertEquals(200, EntryFixture.await(other).statusCode());
            assertEquals(200, EntryFixture.await(suspect).statusCode());
            assertTrue(alone.get());
            assertTrue(fixture.crashes.suspicions.isEmpty());
            assertEquals(200, fixture.get("/stock/2").statusCode());
        }
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            assertTrue(latch.await(20, TimeUnit.SECONDS));
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
