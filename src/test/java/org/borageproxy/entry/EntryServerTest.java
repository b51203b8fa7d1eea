package org.borageproxy.entry;

import java.net.http.HttpResponse;

import io.vertx.core.json.JsonObject;
import org.borageproxy.result.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests requests that succeed and refusals before dispatch. */
class EntryServerTest {

    private EntryFixture fixture;

    @BeforeEach
    void start() {
        fixture = new EntryFixture();
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    private static void assertError(HttpResponse<String> response, ResultCode code, String outcome) {
        assertEquals(code.httpStatus(), response.statusCode(), response.body());
        JsonObject error = new JsonObject(response.body()).getJsonObject("error");
        assertEquals(code.number(), error.getInteger("code"));
        assertEquals(code.name(), error.getString("name"));
        assertEquals(
                outcome, response.headers().firstValue("borageproxy-outcome").orElse(""));
        assertFalse(response.body().contains(EntryFixture.KEY));
    }

    @Test
    void returnsNonStreamingChatCompletion() {
        try (ScriptedBackend engine = ScriptedBackend.engine(3)) {
            fixture.addEngine("engine-1", engine.port());
            HttpResponse<String> response = fixture.post("/v1/chat/completions", EntryFixture.chat(false));
            assertEquals(200, response.statusCode(), response.body());
            JsonObject body = new JsonObject(response.body());
            JsonObject choice = body.getJsonArray("choices").getJsonObject(0);
            assertEquals("t0 t1 t2 ", choice.getJsonObject("message").getString("content"));
            assertEquals(8, body.getJsonObject("usage").getInteger("total_tokens"));
            assertEquals(
                    "answered",
                    response.headers().firstValue("borageproxy-outcome").orElse(""));
            assertEquals(8, fixture.quota.settledTokens.get());
            assertEquals(1, fixture.releasedSlots.get());
        }
    }

    @Test
    void streamsAChatCompletion() {
        try (ScriptedBackend engine = ScriptedBackend.engine(3)) {
            fixture.addEngine("engine-1", engine.port());
            HttpResponse<String> response = fixture.post("/v1/chat/completions", EntryFixture.chat(true));
            assertEquals(
                    "text/event-stream",
                    response.headers().firstValue("content-type").orElse(""));
            assertEquals("t0 t1 t2 ", StreamText.of(response.body()));
            assertTrue(response.body().endsWith("data: [DONE]\n\n"));
        }
    }

    @Test
    void returnsTextCompletion() {
        try (ScriptedBackend engine = ScriptedBackend.engine(2)) {
            fixture.addEngine("engine-1", engine.port());
            HttpResponse<String> response =
                    fixture.post("/v1/completions", "{\"model\":\"llama\",\"prompt\":\"list scraps\"}");
            JsonObject choice =
                    new JsonObject(response.body()).getJsonArray("choices").getJsonObject(0);
            assertEquals("t0 t1 ", choice.getString("text"));
        }
    }

    @Test
    void forwardsRequestToPlainService() {
        try (ScriptedBackend service =
                ScriptedBackend.answering((exchange, number) -> exchange.respond(201, "made", "x-shelf: 7\r\n"))) {
            fixture.addService("service-1", service.port());
            HttpResponse<String> response = fixture.post("/orders/1?metres=2", "cotton");
            assertEquals(201, response.statusCode());
            assertEquals("made", response.body());
            assertEquals("7", response.headers().firstValue("x-shelf").orElse(""));
            assertEquals("cotton", service.received.get(0).body());
            assertTrue(service.received.get(0).head().startsWith("POST /orders/1?metres=2 HTTP/1.1\r\n"));
        }
    }

    @Test
    void listsOnlyTheModelsOfTheWorkspace() {
        HttpResponse<String> response = fixture.get("/v1/models");
        assertEquals(1, new JsonObject(response.body()).getJsonArray("data").size());
        assertTrue(response.body().contains("llama"));
    }

    @Test
    void refusesUnknownAndWithdrawnKeysWithIdenticalResponse() {
        String body = EntryFixture.chat(false);
        String unknown = fixture.sendRaw(request("/v1/chat/completions", "wrong", body));
        String withdrawn = fixture.sendRaw(request("/v1/chat/completions", EntryFixture.WITHDRAWN_KEY, body));
        assertTrue(unknown.startsWith("HTTP/1.1 401"), unknown);
        assertEquals(withoutIdentity(unknown), withoutIdentity(withdrawn));
    }

    private static String request(String path, String key, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer " + key
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String withoutIdentity(String response) {
        return response.replaceAll("borageproxy-request-id: [^\r]*", "");
    }

    @Test
    void refusalsCarryTheResultCodeOfTheFault() {
        assertError(fixture.post("/v1/chat/completions", "{\"model\""), ResultCode.MALFORMED_REQUEST, "not-run");
        assertError(
                fixture.post("/v1/completions", "{\"model\":\"other\",\"prompt\":\"x\"}"),
                ResultCode.UNKNOWN_MODEL,
                "not-run");
        assertError(fixture.get("/nowhere"), ResultCode.UNKNOWN_PATH, "not-run");
        assertError(fixture.get("/v1/chat/completions"), ResultCode.METHOD_NOT_ALLOWED, "not-run");
        assertError(fixture.get("/stock?x=" + EntryFixture.KEY), ResultCode.KEY_IN_QUERY, "not-run");
        assertError(fixture.get("/stock?api_key=1"), ResultCode.KEY_IN_QUERY, "not-run");
        assertError(fixture.get("/stock/%2e%2e/orders"), ResultCode.MALFORMED_REQUEST, "not-run");
        fixture.configurationFresh = false;
        assertError(fixture.get("/v1/models"), ResultCode.CONFIGURATION_STALE, "not-run");
        assertEquals(503, fixture.get("/readyz").statusCode());
        fixture.configurationFresh = true;
        fixture.quota.refusal = ResultCode.RATE_EXCEEDED;
        HttpResponse<String> refused = fixture.post("/v1/chat/completions", EntryFixture.chat(true));
        assertError(refused, ResultCode.RATE_EXCEEDED, "not-run");
        assertEquals("3", refused.headers().firstValue("retry-after").orElse(""));
    }
}
