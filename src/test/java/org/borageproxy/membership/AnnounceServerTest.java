package org.borageproxy.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests which messages the announce port accepts and refuses. */
class AnnounceServerTest {

    private static final String SERVICE = """
            {"name":"stock-1","incarnation":1,"sequence":1,"kind":"service","zone":"a","address":"127.0.0.1:9000",
             "interval_millis":500,"services":["stock"]}
            """;

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = vertx.createHttpClient();
    private final List<Announcement> announced = new ArrayList<>();
    private final AnnounceServer server =
            new AnnounceServer(vertx, new AnnounceSettings("127.0.0.1", 0, "secret"), new Received());
    private int port;

    @BeforeEach
    void start() throws Exception {
        port = await(server.start());
    }

    @AfterEach
    void stop() throws Exception {
        await(server.close());
        await(vertx.close());
    }

    @Test
    void announcementWithValidCredentialIsAccepted() throws Exception {
        assertEquals("200 {\"accepted\":true}", post("/v1/announce", "Bearer secret", SERVICE));
        assertEquals("stock-1", announced.get(0).name().value());
    }

    @Test
    void wrongOrMissingCredentialIsRejected() throws Exception {
        assertTrue(post("/v1/announce", "Bearer wrong", SERVICE).startsWith("401 {\"error\":{\"code\":2102"));
        assertTrue(post("/v1/leave", "", SERVICE).startsWith("401"));
        assertEquals(List.of(), announced);
    }

    @Test
    void malformedAnnouncementIsRejectedNamingTheInvalidPart() throws Exception {
        assertTrue(post("/v1/announce", "Bearer secret", "{").contains("body: expected a JSON object"));
        for (String field : List.of("name", "incarnation", "sequence", "kind", "zone", "address", "interval_millis")) {
            JsonObject json = new JsonObject(SERVICE);
            json.put(field, List.of());
            String answer = post("/v1/announce", "Bearer secret", json.encode());
            assertTrue(answer.startsWith("400") && answer.contains(field + ": expected"), answer);
        }
        JsonObject host = new JsonObject(SERVICE).put("address", "example.invalid:9000");
        assertTrue(post("/v1/announce", "Bearer secret", host.encode()).startsWith("400"));
        assertEquals(List.of(), announced);
    }

    @Test
    void oversizedBodyIsRejected() throws Exception {
        String large = new JsonObject().put("name", "x".repeat(300 * 1024)).encode();
        assertTrue(post("/v1/announce", "Bearer secret", large).startsWith("413"));
    }

    private String post(String path, String authorization, String body) throws Exception {
        return await(client.request(HttpMethod.POST, port, "127.0.0.1", path)
                .compose(request -> request.putHeader("authorization", authorization)
                        .send(body)
                        .compose(response -> response.body().map(answer -> response.statusCode() + " " + answer))));
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    /** Records the announcements. */
    private final class Received implements AnnounceServer.Receiver {

        @Override
        public boolean onAnnouncement(Announcement announcement) {
            return announced.add(announcement);
        }

        @Override
        public boolean onLeave(BackendServerName name, long incarnation) {
            return true;
        }

        @Override
        public void onCacheEvents(CacheEvents events) {
            // No operation.
        }
    }
}
