package org.borageproxy.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerKind;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.membership.LoadReport;
import org.borageproxy.placement.EngineClient;
import org.borageproxy.routing.ServerStatement;
import org.borageproxy.vm.AvailabilityZone;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against answers of engines without end, which filled the heap of one leader after the other: an answer is
 * bounded, and a call without a complete answer closes its connection.
 */
class EngineCallsTest {

    private static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String CHUNK = "4000\r\n" + "x".repeat(0x4000) + "\r\n";
    private static final long TEST_TIMEOUT_SECONDS = 20;

    private final Vertx vertx = Vertx.vertx();
    private final EngineCalls calls = new EngineCalls(vertx, new EngineClient.AnswerListener() {
        @Override
        public void onStatement(BackendServer server, ServerStatement statement) {
            // Not sent by the servers of this test.
        }

        @Override
        public void onRefusal(BackendServer server, Duration retryAfter) {
            // Not sent by the servers of this test.
        }

        @Override
        public void onLeaving(BackendServer server) {
            // Not sent by the servers of this test.
        }
    });

    @AfterEach
    void closeVertx() {
        vertx.close();
    }

    @Test
    void bodyWithoutEndIsCutOff() throws Exception {
        assertReportCutOff(CHUNKED_HEAD, CHUNK);
    }

    @Test
    void headWithoutEndIsCutOff() throws Exception {
        assertReportCutOff("HTTP/1.1 200 OK\r\n", "X-Field: " + "x".repeat(100) + "\r\n");
    }

    @Test
    void interimAnswersWithoutEndAreCutOff() throws Exception {
        assertReportCutOff("", "HTTP/1.1 100 Continue\r\n\r\n");
    }

    @Test
    void bodyThatArrivesSlowlyWithoutEndIsCutOff() throws Exception {
        assertReportCutOff(CHUNKED_HEAD, "1\r\nx\r\n");
    }

    @Test
    void connectionOfReportWithoutAnswerIsClosed() throws Exception {
        assertReportCutOff("", "");
    }

    @Test
    void orderWhoseAnswerHasNoEndIsUnknownAndCutOff() throws Exception {
        try (EndlessServer server = new EndlessServer(CHUNKED_HEAD, CHUNK)) {
            EngineClient.EngineOrder order = new EngineClient.EngineOrder(true, "m", "", 0, "holder", 1);
            assertEquals(EngineClient.OrderReply.UNKNOWN, join(calls.sendOrder(server.announced(), order)));
            server.awaitCutOff();
        }
    }

    @Test
    void connectionOfOrderWithoutAnswerIsClosed() throws Exception {
        try (EndlessServer server = new EndlessServer("", "")) {
            EngineClient.EngineOrder order = new EngineClient.EngineOrder(true, "m", "", 0, "holder", 1);
            assertEquals(EngineClient.OrderReply.UNKNOWN, join(calls.sendOrder(server.announced(), order)));
            server.awaitCutOff();
        }
    }

    /** Guards against reports and orders that bytes answer which a lenient decoder takes for an answer. */
    @Test
    void bytesThatAreNoAnswerAreNone() throws Exception {
        String report = "{\"Models\":[],\"Sequence\":2,\"Busy\":false}";
        String fields = " OK\r\nContent-Length: " + report.length() + "\r\n\r\n" + report;
        for (String status : List.of("0200", "+200", "2000", "200 OK\r\nno colon here\r\nX: ")) {
            try (ScriptedServer server = new ScriptedServer(
                    request -> new ScriptedServer.Answer("HTTP/1.1 " + status + fields, false, false))) {
                assertTrue(join(calls.fetchState(announced(server.port()))).isEmpty(), status);
            }
        }
        try (ScriptedServer server =
                new ScriptedServer(request -> new ScriptedServer.Answer("HTTP/1.1 200" + fields, false, false))) {
            assertTrue(join(calls.fetchState(announced(server.port()))).isPresent());
        }
    }

    /** Guards against the status of a copy of a report that is joined with the answer to an order. */
    @Test
    void partOfSecondAnswerIsNotJoinedWithTheNextOne() throws Exception {
        try (ScriptedServer server = new ScriptedServer(request -> new ScriptedServer.Answer(
                request.startsWith("GET ")
                        ? "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 202 Accepted\r\nX-Field: "
                        : "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n",
                false,
                false))) {
            BackendServer engine = announced(server.port());
            join(calls.fetchState(engine));
            EngineClient.EngineOrder order = new EngineClient.EngineOrder(true, "m", "", 0, "holder", 1);
            assertEquals(EngineClient.OrderReply.REFUSED, join(calls.sendOrder(engine, order)));
        }
    }

    private void assertReportCutOff(String start, String part) throws Exception {
        try (EndlessServer server = new EndlessServer(start, part)) {
            assertTrue(join(calls.fetchState(server.announced())).isEmpty());
            server.awaitCutOff();
        }
    }

    private static BackendServer announced(int port) {
        return new BackendServer(
                new BackendServerName("i-1"),
                1,
                1,
                BackendServerKind.ENGINE,
                BackendServerState.ALIVE,
                new AvailabilityZone("z"),
                "127.0.0.1",
                port,
                true,
                Set.of("s"),
                List.of(),
                List.of(),
                LoadReport.UNKNOWN);
    }

    private static <T> T join(CompletionStage<T> stage) throws Exception {
        return stage.toCompletableFuture().get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Answers each request with a start and then the same part again and again until the connection is closed. */
    private static final class EndlessServer implements AutoCloseable {

        private static final long SMALL_PART_PAUSE_MILLIS = 1;
        private static final int SMALL_PART_BYTES = 64;

        private final ServerSocket socket = new ServerSocket(0);
        private final CompletableFuture<Void> cutOff = new CompletableFuture<>();

        EndlessServer(String start, String part) throws IOException {
            Thread thread = new Thread(() -> serve(start, part));
            thread.setDaemon(true);
            thread.start();
        }

        private void serve(String start, String part) {
            try (Socket connection = socket.accept()) {
                ScriptedServer.read(connection.getInputStream());
                if (part.isEmpty()) {
                    awaitEnd(connection.getInputStream());
                } else {
                    writeWithoutEnd(connection.getOutputStream(), start, part);
                }
            } catch (IOException | InterruptedException exception) {
                cutOff.complete(null);
            }
        }

        private void awaitEnd(InputStream input) throws IOException {
            if (input.read() < 0) {
                cutOff.complete(null);
            }
        }

        private static void writeWithoutEnd(OutputStream output, String start, String part)
                throws IOException, InterruptedException {
            output.write(start.getBytes(StandardCharsets.US_ASCII));
            byte[] bytes = part.getBytes(StandardCharsets.US_ASCII);
            while (true) {
                output.write(bytes);
                output.flush();
                if (bytes.length < SMALL_PART_BYTES) {
                    Thread.sleep(SMALL_PART_PAUSE_MILLIS);
                }
            }
        }

        BackendServer announced() {
            return EngineCallsTest.announced(socket.getLocalPort());
        }

        void awaitCutOff() throws Exception {
            cutOff.get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
