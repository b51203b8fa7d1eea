package org.borageproxy.standin;

import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the simulated plain service and the simulated weight store. */
class PlainServiceTest {

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = vertx.createHttpClient();
    private final PlainService service = new PlainService(vertx, ServiceOptions.named("stock-1", "a", "stock"));
    private final WeightStore store = new WeightStore(vertx, WeightStoreOptions.LOCAL);
    private int port;

    @BeforeEach
    void start() throws Exception {
        port = await(service.start());
    }

    @AfterEach
    void stop() throws Exception {
        await(service.close());
        await(store.close());
        await(vertx.close());
    }

    @Test
    void runsAreCountedPerRequestIdAndHeadersAreRecorded() throws Exception {
        assertEquals("one order", post("id-1", "one order"));
        post("id-1", "one order");
        JsonObject counters = counters(port);
        assertEquals(2, counters.getJsonObject("runs").getInteger("id-1"));
        assertTrue(counters.getJsonArray("received").encode().contains("borageproxy-request-id: id-1"));
    }

    @Test
    void injectsMismatchedAndTruncatedResponsesAndCrashes() throws Exception {
        setFaults(new JsonObject().put("crossed", true));
        assertEquals(
                "crossed-id-1", await(send("id-1", "x").map(response -> response.getHeader("borageproxy-request-id"))));
        setFaults(new JsonObject().put("cut_after_tokens", 0));
        assertThrows(Exception.class, () -> post("id-2", "cut"));
        setFaults(new JsonObject().put("crash_marker", "fatal"));
        assertThrows(Exception.class, () -> post("id-3", "fatal"));
        assertThrows(Exception.class, () -> post("id-4", "nobody listens"));
    }

    @Test
    void weightStoreLimitsTransferRateAndCountsDownloads() throws Exception {
        int storePort = await(store.start());
        long startNanos = System.nanoTime();
        Future<?> first = weights(storePort, "/v1/weights/llama/1");
        Future<?> second = weights(storePort, "/v1/weights/gemma/1");
        await(weights(storePort, "/v1/weights/llama/1/quilt"));
        await(first);
        await(second);
        // The second transfer starts 500 ms after the first and takes 200 ms; 10 ms are tolerance.
        assertTrue(System.nanoTime() - startNanos >= TimeUnit.MILLISECONDS.toNanos(690));
        assertEquals(2, counters(storePort).getInteger("models"));
        assertEquals(1, counters(storePort).getInteger("adapters"));
    }

    private Future<?> weights(int storePort, String path) {
        return client.request(HttpMethod.GET, storePort, "127.0.0.1", path)
                .compose(request -> request.send().compose(response -> response.body()));
    }

    private void setFaults(JsonObject json) throws Exception {
        await(client.request(HttpMethod.POST, port, "127.0.0.1", "/faults")
                .compose(request -> request.send(json.toBuffer()).compose(response -> response.body())));
    }

    private Future<HttpClientResponse> send(String identity, String body) {
        return client.request(HttpMethod.POST, port, "127.0.0.1", "/stock")
                .compose(request ->
                        request.putHeader("borageproxy-request-id", identity).send(body));
    }

    private String post(String identity, String body) throws Exception {
        return await(client.request(HttpMethod.POST, port, "127.0.0.1", "/stock")
                .compose(request -> request.putHeader("borageproxy-request-id", identity)
                        .send(body)
                        .compose(response -> response.body()))
                .map(Object::toString));
    }

    private JsonObject counters(int counted) throws Exception {
        return await(client.request(HttpMethod.GET, counted, "127.0.0.1", "/counters")
                .compose(request -> request.send().compose(response -> response.body()))
                .map(body -> body.toJsonObject()));
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
}
