package org.borageproxy.entry;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Searches everything that backend servers receive during generated requests for the bytes of a key. */
class KeyLeakTest {

    private static final String KEY = EntryFixture.KEY;
    private static final String BASE64 =
            Base64.getEncoder().withoutPadding().encodeToString(KEY.getBytes(StandardCharsets.UTF_8));
    private static EntryFixture fixture;
    private static ScriptedBackend service;
    private static ScriptedBackend engine;
    private static int receivedRequests;

    @BeforeContainer
    static void start() {
        fixture = new EntryFixture();
        service = ScriptedBackend.answering((exchange, number) -> exchange.respond(200, "ok"));
        engine = ScriptedBackend.engine(1);
        fixture.addService("service-1", service.port());
        fixture.addEngine("engine-1", engine.port());
    }

    @AfterContainer
    static void stop() {
        fixture.close();
        service.close();
        engine.close();
        assertTrue(receivedRequests > 20, "requests that reached a backend server: " + receivedRequests);
    }

    @Provide
    Arbitrary<String> carriers() {
        Arbitrary<String> names = Arbitraries.of(
                        "X-Api-Key",
                        "Proxy-Authorization",
                        "Cookie",
                        "Api-Key",
                        "X-Forwarded-Authorization",
                        "borageproxy-request-id",
                        "User-Agent",
                        "Accept",
                        "Idempotency-Key",
                        "Traceparent",
                        "Connection",
                        "TE")
                .flatMap(name -> Arbitraries.of(name, name.toLowerCase(), name.toUpperCase(), alternatingCase(name)));
        Arbitrary<String> values = Arbitraries.of(
                KEY, "Bearer " + KEY, "session=" + KEY + "; a=b", BASE64, "Basic " + BASE64, percentEncode(KEY));
        return Combinators.combine(names, values).as((name, value) -> name + ": " + value + "\r\n");
    }

    private static String alternatingCase(String name) {
        StringBuilder result = new StringBuilder();
        for (int index = 0; index < name.length(); index++) {
            char character = name.charAt(index);
            result.append(index % 2 == 0 ? Character.toLowerCase(character) : Character.toUpperCase(character));
        }
        return result.toString();
    }

    private static String percentEncode(String text) {
        StringBuilder result = new StringBuilder();
        for (byte each : text.getBytes(StandardCharsets.UTF_8)) {
            result.append(String.format("%%%02x", each));
        }
        return result.toString();
    }

    @Provide
    Arbitrary<String> targets() {
        return Arbitraries.of(
                "/orders/1",
                "/stock/1",
                "/open/1",
                "/orders/" + KEY,
                "/orders/" + percentEncode(KEY),
                "/orders/" + percentEncode(percentEncode(KEY)),
                "/orders/" + BASE64,
                "/stock?a=" + KEY,
                "/stock?a=" + percentEncode(KEY),
                "/stock?" + KEY,
                "/stock?KEY=" + percentEncode(percentEncode(KEY)),
                "/v1/completions");
    }

    @Provide
    Arbitrary<String> bodies() {
        return Arbitraries.of(
                "{\"model\":\"llama\",\"prompt\":\"x\"}",
                "{\"model\":\"llama\",\"prompt\":\"" + KEY + "\"}",
                "{\"model\":\"llama\",\"prompt\":\"\\u006b" + KEY.substring(1) + "\"}",
                "{\"model\":\"llama\",\"prompt\":\"" + BASE64 + "\"}");
    }

    @Property(seed = "42", tries = 250)
    void keyIsNeverForwardedToBackendServerOrEchoedToCaller(
            @ForAll("targets") String target,
            @ForAll("carriers") String first,
            @ForAll("carriers") String second,
            @ForAll("bodies") String body,
            @ForAll boolean trailers) {
        String scheme = target.length() % 2 == 0 ? "Authorization" : "aUTHORIZATION";
        String head = "POST " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + scheme + ": Bearer " + KEY
                + "\r\n" + first + second;
        String content = trailers
                ? "Transfer-Encoding: chunked\r\nTrailer: X-Api-Key\r\n\r\n" + Integer.toHexString(body.length())
                        + "\r\n" + body + "\r\n0\r\nX-Api-Key: " + KEY + "\r\n\r\n"
                : "Content-Length: " + body.length() + "\r\n\r\n" + body;
        String response = fixture.sendRaw(head + content);
        assertTrue(response.startsWith("HTTP/1.1 "), response);
        assertFalse(response.contains(KEY), response);
        assertNoKeyReceived(service);
        assertNoKeyReceived(engine);
    }

    private static void assertNoKeyReceived(ScriptedBackend backend) {
        for (ScriptedBackend.Received request : List.copyOf(backend.received)) {
            String all = request.head() + request.body();
            String decoded = java.net.URLDecoder.decode(
                    java.net.URLDecoder.decode(all.replaceAll("%(?![0-9a-f]{2})", ""), StandardCharsets.UTF_8),
                    StandardCharsets.UTF_8);
            assertFalse(all.contains(KEY) || all.contains(BASE64) || decoded.contains(KEY), all);
        }
        receivedRequests += backend.received.size();
        backend.received.clear();
    }
}
