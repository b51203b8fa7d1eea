package org.borageproxy.standin;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.google.protobuf.ByteString;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.borageproxy.event.EventRecorder;
import org.borageproxy.membership.AnnounceSettings;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerMembership;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.membership.LoadedModel;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the simulated engine and its announcements to a VM. */
class ModelEngineTest {

    private static final int TOKENS = 8;
    private static final String PROMPT = "relief stock for the river camp";

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = vertx.createHttpClient();
    private final BackendServerMembership membership = new BackendServerMembership(
            vertx,
            new AnnounceSettings("127.0.0.1", 0, "secret"),
            new NoNetwork(),
            List::<VmName>of,
            MonotonicClock.ofSystem(),
            EventRecorder.NoOp.INSTANCE);
    private ModelEngine engine;
    private int port;

    @BeforeEach
    void start() throws Exception {
        int announcePort = await(membership.start());
        engine = new ModelEngine(
                vertx,
                EngineOptions.named("engine-1", "a")
                        .withAnnouncements(
                                new AnnouncementSettings(List.of("127.0.0.1:" + announcePort), "secret", 100))
                        .withTiming(EngineTiming.FAST.withOutputTokens(TOKENS).withTokenMillis(1))
                        .withMemory(EngineMemory.ofOneAccelerator()
                                .withPreloaded(List.of(new LoadedModel("llama", "1", "0", Set.of("quilt"))))));
        port = await(engine.start());
        waitFor(() -> membership.registry().current().size() == 1);
    }

    @AfterEach
    void stop() throws Exception {
        await(engine.close());
        membership.close();
        await(vertx.close());
    }

    @Test
    void runStreamsTokensAndResumesWithTheSameText() throws Exception {
        String whole = run("one", 0);
        assertEquals(TokenText.firstTokens(PROMPT, TOKENS), text(whole));
        assertTrue(whole.contains("\"done\":true"));
        String rest = run("two", 3);
        assertEquals(text(whole), TokenText.firstTokens(PROMPT, 3) + text(rest));
        JsonObject runs = get("/counters").getJsonObject("runs");
        assertEquals(1, runs.getInteger("one"));
    }

    @Test
    void loadOrdersBeyondMemoryAndOldFencingNumbersAreRejected() throws Exception {
        assertEquals(202, order(7, "load", "gemma"));
        waitFor(() -> membership.registry().current().get(0).serves("gemma", "1"));
        assertEquals(409, order(6, "load", "other"));
        for (int number = 8; number < 10; number++) {
            assertEquals(202, order(number, "load", "filler-" + number));
        }
        assertEquals(507, order(10, "load", "too-much"));
        assertEquals(1, get("/counters").getInteger("overcommits"));
        assertEquals(10, get("/v1/state").getInteger("highest_fencing"));
    }

    @Test
    void requestWithCrashMarkerRestartsEngineAsNewIncarnation() throws Exception {
        long before = membership.registry().current().get(0).incarnation();
        engine.setFaults(
                Faults.ofJson(new JsonObject().put("crash_marker", "river").put("restart_after_millis", 50)));
        assertThrows(Exception.class, () -> run("fatal", 0));
        waitFor(() -> membership.registry().current().get(0).incarnation() == before + 1);
    }

    @Test
    void leavingEngineIsMarkedLeavingInRegistry() throws Exception {
        engine.leave();
        waitFor(() -> membership.registry().current().stream()
                .map(BackendServer::state)
                .allMatch(state -> state == BackendServerState.LEAVING));
    }

    private String run(String identity, int resumeFrom) throws Exception {
        JsonObject body = new JsonObject()
                .put("request_id", identity)
                .put("model", "llama")
                .put("version", "1")
                .put("adapter", "quilt")
                .put("prompt", PROMPT)
                .put("maximum_output_tokens", 64)
                .put("resume_from", resumeFrom);
        return await(client.request(HttpMethod.POST, port, "127.0.0.1", "/v1/run")
                .compose(request -> request.send(body.toBuffer()).compose(response -> response.body()))
                .map(Object::toString));
    }

    private static String text(String lines) {
        StringBuilder text = new StringBuilder();
        lines.lines().map(JsonObject::new).forEach(line -> text.append(line.getString("text", "")));
        return text.toString();
    }

    private int order(long number, String action, String model) throws Exception {
        JsonObject body = new JsonObject()
                .put("order", number)
                .put("fencing", number)
                .put("action", action)
                .put("model", model)
                .put("version", "1")
                .put("accelerator", "0");
        return await(client.request(HttpMethod.POST, port, "127.0.0.1", "/v1/orders")
                .compose(request -> request.send(body.toBuffer()))
                .map(response -> response.statusCode()));
    }

    private JsonObject get(String path) throws Exception {
        return await(client.request(HttpMethod.GET, port, "127.0.0.1", path)
                .compose(request -> request.send().compose(response -> response.body()))
                .map(body -> body.toJsonObject()));
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private static void waitFor(BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < endNanos, "condition not met within 10 s");
            Thread.sleep(5);
        }
    }

    /** A network without other VMs. */
    private static final class NoNetwork implements VmNetwork {

        @Override
        public void send(VmName recipient, MessageKind kind, ByteString body) {
            // There are no other VMs.
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
