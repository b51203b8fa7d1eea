package org.borageproxy.entry;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import org.borageproxy.time.Deadline;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Shuts the server for callers down while calls are in flight. */
class DrainTest {

    private EntryFixture fixture;

    @BeforeEach
    void start() {
        fixture = new EntryFixture(settings -> settings.withDrainNoticePeriod(Duration.ofMillis(800)));
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    private Future<Void> drain(Duration time) {
        return fixture.server.drain(Deadline.after(fixture.clock.nanoTime(), time));
    }

    @Test
    void drainServesDuringNoticePeriodAndCompletesStreamsWhenCalledTwice() throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch resume = new CountDownLatch(1);
        try (ScriptedBackend engine = ScriptedBackend.answering((exchange, number) -> {
                    exchange.tokens(0, 1);
                    started.countDown();
                    awaitLatch(resume);
                    exchange.tokens(1, 4).done();
                });
                ScriptedBackend service =
                        ScriptedBackend.answering((exchange, number) -> exchange.respond(200, "ok"))) {
            fixture.addEngine("engine-1", engine.port());
            fixture.addService("service-1", service.port());
            CompletableFuture<HttpResponse<String>> stream = fixture.client.sendAsync(
                    fixture.request("/v1/chat/completions")
                            .POST(HttpRequest.BodyPublishers.ofString(EntryFixture.chat(true)))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            assertTrue(started.await(20, TimeUnit.SECONDS));
            Future<Void> drained = drain(Duration.ofSeconds(60));
            assertEquals(503, fixture.get("/readyz").statusCode());
            assertEquals(200, fixture.get("/stock/1").statusCode());
            drain(Duration.ofMillis(50));
            awaitConnectionClose();
            assertFalse(drained.isComplete());
            resume.countDown();
            assertEquals(
                    "t0 t1 t2 t3 ", StreamText.of(EntryFixture.await(stream).body()));
            EntryFixture.await(drained.toCompletionStage().toCompletableFuture());
            assertEquals(0, fixture.server.inFlight());
        }
    }

    private void awaitConnectionClose() {
        long end = System.nanoTime() + EntryFixture.TIMEOUT.toNanos();
        while (System.nanoTime() < end) {
            HttpResponse<String> response = fixture.get("/stock/1");
            assertEquals(200, response.statusCode());
            if (response.headers().firstValue("connection").orElse("").equals("close")) {
                return;
            }
        }
        throw new AssertionError("Connections were not closed");
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            assertTrue(latch.await(20, TimeUnit.SECONDS));
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    @Test
    void drainEndsDespiteHangingRequest() {
        try (ScriptedBackend silent = ScriptedBackend.answering((exchange, number) -> {})) {
            fixture.addService("service-1", silent.port());
            fixture.client.sendAsync(fixture.request("/stock/1").GET().build(), HttpResponse.BodyHandlers.discarding());
            while (fixture.server.inFlight() == 0) {
                Thread.onSpinWait();
            }
            Future<Void> drained = drain(Duration.ofMillis(300));
            EntryFixture.await(drained.toCompletionStage().toCompletableFuture());
        }
    }
}
