package org.borageproxy.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.Stream;

import org.borageproxy.buffer.BufferLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against bytes in a caller's stream that are none of its events, and against streams that end as complete
 * though they are not: a stream has begun and broken off, and the next server sends something else.
 */
class ResumedStreamTest {

    private static final long HEAP_BYTES = 160L << 20;
    private static final int TOO_LARGE = 1 << 20;
    private static final String STREAM_TYPE = "Content-Type: text/event-stream\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String NOT_RUN = "X-Not-Executed: 1\r\n";

    private final List<ScriptedServer> servers = new ArrayList<>();
    private ForwardingFixture forwarding;

    @BeforeEach
    void start() throws Exception {
        forwarding = new ForwardingFixture(BufferLimits.of(HEAP_BYTES, HEAP_BYTES), Duration.ofSeconds(3));
    }

    @AfterEach
    void stop() throws Exception {
        for (ScriptedServer server : servers) {
            server.close();
        }
        forwarding.close();
    }

    /** What a server sends when it is to go on after the second event. */
    record Second(String name, String status, String headers, String body, boolean closes) {
        @Override
        public String toString() {
            return name;
        }

        private ScriptedServer.Answer answer(String request) {
            return answerOf(request, status, headers, body, closes, false);
        }
    }

    private static ScriptedServer.Answer answerOf(
            String request, String status, String headers, String body, boolean closes, boolean resets) {
        String identity = request.split("(?i)x-request-id: ")[1].split("\r\n")[0];
        return new ScriptedServer.Answer(
                "HTTP/1.1 " + status + "\r\nX-Request-Id: " + identity + "\r\nX-Server-Signature: sig\r\n" + headers
                        + "\r\n" + body,
                closes,
                resets);
    }

    /** The first server to be asked breaks off after two events. */
    private static ScriptedServer.Answer begin(String request) {
        return answerOf(request, "200 OK", STREAM_TYPE + CHUNKED, chunk(events(1, 2)), false, true);
    }

    private static String events(int from, int to) {
        StringBuilder events = new StringBuilder();
        for (int number = from; number <= to; number++) {
            events.append("id: ")
                    .append(number)
                    .append("\ndata: d")
                    .append(number)
                    .append("\n\n");
        }
        return events.toString();
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static Second framed(String name, String status, String headers, String body) {
        return new Second(name, status, headers + "Content-Length: " + body.length() + "\r\n", body, false);
    }

    private static Second chunked(String name, String body) {
        String chunks = body.isEmpty() ? "" : chunk(body);
        return new Second(name + " in chunks", "200 OK", STREAM_TYPE + CHUNKED, chunks + LAST_CHUNK, false);
    }

    private static Second unframed(String name, String body) {
        return new Second(name + " without a length", "200 OK", STREAM_TYPE, body, true);
    }

    private static Stream<Second> inAllFramings(String name, String body) {
        return Stream.of(framed(name, "200 OK", STREAM_TYPE, body), chunked(name, body), unframed(name, body));
    }

    static Stream<Second> secondAnswersThatAreCut() {
        Stream<Second> statuses = Stream.of("201", "202", "203", "204", "206", "226", "302", "304", "400", "404", "500")
                .map(status -> framed(
                        "status " + status,
                        status + " Other",
                        STREAM_TYPE,
                        status.equals("204") || status.equals("304") ? "" : events(3, 4)));
        Stream<Second> notRun = Stream.of("421", "429", "503")
                .map(status -> framed("not run, " + status, status + " Not run", STREAM_TYPE + NOT_RUN, "ERROR\n\n"));
        Stream<Second> types = Stream.of("text/plain", "application/json", "text/html")
                .map(type -> framed(type, "200 OK", "Content-Type: " + type + "\r\n", events(3, 4)));
        Stream<Second> single = Stream.of(
                framed("error as text", "200 OK", "Content-Type: text/plain\r\n", "ERROR\n\n"),
                framed("no media type", "200 OK", "", events(3, 4)),
                new Second("length too great", "200 OK", STREAM_TYPE + "Content-Length: 90\r\n", events(3, 4), true),
                new Second("length too small", "200 OK", STREAM_TYPE + "Content-Length: 30\r\n", events(3, 4), false),
                new Second("no last chunk", "200 OK", STREAM_TYPE + CHUNKED, chunk(events(3, 4)), true));
        Stream<Second> bodies = Stream.of(
                        inAllFramings("no event", ""),
                        inAllFramings("comments only", ": ERROR\n\n"),
                        inAllFramings("error", "ERROR\n\n"),
                        inAllFramings("error in an event", "ERROR\nid: 3\ndata: d3\n\n"),
                        inAllFramings("head", "HTTP/1.1 500 Failed\r\nContent-Length: 2\r\n\r\nno"),
                        inAllFramings("no identity", "data: d3\n\n"),
                        inAllFramings("from the beginning", events(1, 3)),
                        inAllFramings("last event again", events(2, 4)),
                        inAllFramings("event doubled", events(3, 3) + events(3, 4)),
                        inAllFramings("identity jumps back", events(3, 3) + events(1, 1) + events(4, 4)),
                        inAllFramings("ends within an event", events(3, 3) + "id: 4\nda"),
                        inAllFramings("event too large", events(3, 3) + "id: 4\ndata: " + "x".repeat(TOO_LARGE)))
                .flatMap(each -> each);
        return Stream.of(statuses, notRun, types, single, bodies).flatMap(each -> each);
    }

    /** The servers other than the first one send the same answer, so that no attempt can complete the stream. */
    @ParameterizedTest
    @MethodSource("secondAnswersThatAreCut")
    void streamWithAnotherKindOfSecondAnswerIsVisiblyCut(Second second) throws Exception {
        serve(3, request -> request.contains("Last-Event-Id: ") ? second.answer(request) : begin(request));
        String answer = call("/resume/", "");
        String body = assertCut(answer);
        assertTrue(body.startsWith(events(1, 2)) && events(1, 4).startsWith(body), answer);
    }

    /** The third server goes on after the last whole event of the first two. */
    @ParameterizedTest
    @MethodSource("secondAnswersThatAreCut")
    void streamGoesOnAtAThirdServer(Second second) throws Exception {
        AtomicInteger resumptions = new AtomicInteger();
        serve(3, request -> {
            if (!request.contains("Last-Event-Id: ")) {
                return begin(request);
            }
            int next = Integer.parseInt(request.split("Last-Event-Id: ")[1].split("\r\n")[0]) + 1;
            return resumptions.getAndIncrement() == 0
                    ? second.answer(request)
                    : chunked("rest", events(next, 6)).answer(request);
        });
        String answer = call("/resume/", "");
        assertEquals(events(1, 6), assertComplete(answer));
    }

    static Stream<Second> secondAnswersThatGoOn() {
        String withExtraLine = "x-weight-versions: 4\n" + events(3, 4);
        String withCarriageReturns = events(3, 4).replace("\n", "\r\n");
        return Stream.of(
                        inAllFramings("events", events(3, 4)),
                        inAllFramings("identities that skip", events(5, 5) + events(9, 9)),
                        inAllFramings("first line with a version", withExtraLine),
                        inAllFramings("lines with carriage returns", withCarriageReturns),
                        inAllFramings("comments", ": c\n\n" + events(3, 4) + "\n: c\n\n"))
                .flatMap(each -> each);
    }

    /** Guards against sound streams that are taken for broken ones. */
    @ParameterizedTest
    @MethodSource("secondAnswersThatGoOn")
    void streamThatGoesOnIsPassedOnUnchanged(Second second) throws Exception {
        serve(2, request -> request.contains("Last-Event-Id: 2") ? second.answer(request) : begin(request));
        String body = assertComplete(call("/resume/", ""));
        String expected = second.headers().contains(CHUNKED) ? dechunk(second.body()) : second.body();
        assertEquals(events(1, 2) + expected, body);
    }

    /** Guards against events that a caller has already, or an error's text, when it takes a stream up itself. */
    @ParameterizedTest
    @ValueSource(strings = {"from the beginning", "last event again", "error as text", "error", "text/plain"})
    void callerThatTakesAStreamUpGetsNothingElse(String name) throws Exception {
        Second second = secondAnswersThatAreCut()
                .filter(each -> each.name().equals(name))
                .findFirst()
                .orElseThrow();
        serve(3, request -> request.contains("Last-Event-Id: ") ? second.answer(request) : begin(request));
        call("/resume/", "");
        String answer = call("/resume/", "Last-Event-Id: 2\r\nResumes: id-1\r\n");
        assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
        assertFalse(answer.contains("ERROR") || answer.contains("data: "), answer);
    }

    /** Guards against the rest of another stream in one that can't be resumed; nothing is asked for twice. */
    @ParameterizedTest
    @ValueSource(strings = {"ERROR\n\n", "data: none\n\n", "id: 1\ndata: d1\n\n", "id: 3\nda"})
    void brokenStreamThatMayNotBeResumedIsVisiblyCut(String rest) throws Exception {
        serve(2, request -> framed("", "200 OK", STREAM_TYPE, events(1, 2) + rest)
                .answer(request));
        String answer = call("/stream/", "");
        assertEquals(events(1, 2), answer.substring(answer.indexOf("\r\n\r\n") + 4));
        assertTrue(answer.contains("ontent-") && !answer.contains("ERROR"), answer);
        assertEquals(
                1, servers.stream().mapToInt(each -> each.requests().size()).sum());
    }

    /** An answer that is no stream is the server's answer, with its own media type and unchanged. */
    @ParameterizedTest
    @ValueSource(strings = {"/stream/", "/resume/"})
    void firstAnswerThatIsNoStreamIsPassedOnUnchanged(String path) throws Exception {
        serve(1, request -> framed("", "200 OK", "Content-Type: text/plain\r\n", "no\n\nevents")
                .answer(request));
        String answer = call(path, "");
        assertTrue(answer.startsWith("HTTP/1.1 200") && answer.contains("text/plain"), answer);
        assertTrue(answer.endsWith("\r\n\r\nno\n\nevents"), answer);
    }

    /** Guards against a large answer that is no stream and goes on in the middle with that of another server. */
    @ParameterizedTest
    @ValueSource(strings = {"200 OK", "500 Failed"})
    void largeAnswerThatIsNoStreamIsNotResumed(String status) throws Exception {
        String half = "x".repeat(TOO_LARGE);
        serve(
                2,
                request ->
                        answerOf(request, status, "Content-Type: text/plain\r\n" + CHUNKED, chunk(half), true, false));
        String answer = call("/resume/", "");
        assertFalse(answer.endsWith(LAST_CHUNK));
        assertEquals(
                half.length(),
                dechunk(answer.substring(answer.indexOf("\r\n\r\n") + 4)).length());
        assertEquals(
                1, servers.stream().mapToInt(each -> each.requests().size()).sum());
    }

    private void serve(int count, Function<String, ScriptedServer.Answer> script) throws IOException {
        for (int number = 0; number < count; number++) {
            ScriptedServer server = new ScriptedServer(script);
            servers.add(server);
            forwarding.addServer(server.port());
        }
    }

    private String call(String path, String headers) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", forwarding.port())) {
            socket.setSoTimeout(8_000);
            String identity = headers.isEmpty() ? "id-1" : "id-2";
            String request = "POST " + path + " HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: " + identity
                    + "\r\nX-Credential: key-w\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\n" + headers
                    + "Content-Length: 2\r\n\r\nhi";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static String assertComplete(String answer) {
        assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("\r\n" + LAST_CHUNK), answer);
        return dechunk(answer.substring(answer.indexOf("\r\n\r\n") + 4));
    }

    private static String assertCut(String answer) {
        assertTrue(answer.startsWith("HTTP/1.1 200") && !answer.endsWith(LAST_CHUNK), answer);
        return dechunk(answer.substring(answer.indexOf("\r\n\r\n") + 4));
    }

    private static String dechunk(String chunks) {
        StringBuilder body = new StringBuilder();
        int position = 0;
        while (position < chunks.length()) {
            int lineEnd = chunks.indexOf("\r\n", position);
            int size = Integer.parseInt(chunks.substring(position, lineEnd), 16);
            body.append(chunks, lineEnd + 2, lineEnd + 2 + size);
            position = lineEnd + 2 + size + 2;
        }
        return body.toString();
    }
}
