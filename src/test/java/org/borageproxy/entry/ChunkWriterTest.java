package org.borageproxy.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests over a real connection that chunks written past Vert.x are framed, and are seen by what Vert.x does besides.
 */
class ChunkWriterTest {

    private static final int IDLE_TIMEOUT_SECONDS = 1;
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final String END = "0\r\n\r\n";

    private final Vertx vertx = Vertx.vertx();
    private volatile Optional<ChunkWriter> writer = Optional.empty();

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get();
    }

    private Socket connect(Handler<HttpServerRequest> handler) throws Exception {
        HttpServer server = vertx.createHttpServer(new HttpServerOptions().setIdleTimeout(IDLE_TIMEOUT_SECONDS))
                .requestHandler(handler)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get();
        Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), server.actualPort());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    private static void send(Socket socket, String head) throws IOException {
        socket.getOutputStream().write((head + "\r\nHost: a\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    private static String readUntil(Socket socket, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        int next = socket.getInputStream().read();
        while (next >= 0) {
            text.append((char) next);
            if (text.toString().endsWith(end)) {
                return text.toString();
            }
            next = socket.getInputStream().read();
        }
        return text + "<closed>";
    }

    private void begin(HttpServerRequest request) {
        request.response().setChunked(true).write("head");
        writer = ChunkWriter.of(request);
    }

    private void write(String text) {
        writer.orElseThrow().write(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    /** Guards against wrong framing, and against a state of Vert.x that does not fit what was written past it. */
    @Test
    void chunksAreFramedAndTheConnectionServesAnotherRequest() throws Exception {
        String large = "b".repeat(70_000);
        Socket socket = connect(request -> {
            begin(request);
            write("a");
            write(large);
            request.response().end();
        });
        try (socket) {
            for (int request = 0; request < 2; request++) {
                send(socket, "GET / HTTP/1.1");
                String answer = readUntil(socket, END);
                String body = answer.substring(answer.indexOf("\r\n\r\n") + 4);
                assertEquals("4\r\nhead\r\n1\r\na\r\n11170\r\n" + large + "\r\n" + END, body);
            }
        }
    }

    /** Guards against streams that are cut off as idle, since the handler of the idle timeout sees no chunk pass. */
    @Test
    void streamIsNotCutOffAsIdle() throws Exception {
        int events = 8;
        Socket socket = connect(request -> {
            begin(request);
            int[] sent = {0};
            vertx.setPeriodic(TimeUnit.SECONDS.toMillis(IDLE_TIMEOUT_SECONDS) / 3, timer -> {
                write("event");
                sent[0]++;
                if (sent[0] == events) {
                    vertx.cancelTimer(timer);
                    request.response().end();
                }
            });
        });
        try (socket) {
            send(socket, "GET / HTTP/1.1");
            String answer = readUntil(socket, END);
            assertTrue(answer.endsWith("event\r\n" + END), answer);
            assertEquals(events, answer.split("event", -1).length - 1);
        }
    }

    /** Guards against chunks in an answer whose body has none. */
    @Test
    void answersWithoutChunksHaveNoWriter() throws Exception {
        for (String head : new String[] {"GET / HTTP/1.0", "HEAD / HTTP/1.1"}) {
            writer = Optional.empty();
            Socket socket = connect(request -> {
                begin(request);
                request.response().end();
                request.connection().close();
            });
            try (socket) {
                send(socket, head);
                readUntil(socket, "<never>");
                assertTrue(writer.isEmpty(), head);
            }
        }
        Socket socket = connect(request -> {
            request.response().putHeader("Content-Length", "4").write("head");
            writer = ChunkWriter.of(request);
            request.connection().close();
        });
        try (socket) {
            send(socket, "GET / HTTP/1.1");
            readUntil(socket, "<never>");
            assertTrue(writer.isEmpty());
        }
    }
}
