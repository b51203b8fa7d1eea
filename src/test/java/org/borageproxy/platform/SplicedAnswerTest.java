package org.borageproxy.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

import org.borageproxy.buffer.BufferLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against part of a second copy of an answer that stays in the decoder of a connection, so that the head of the
 * next answer is joined to it and a caller gets the status of one answer with the identity of another.
 */
class SplicedAnswerTest {

    private static final long HEAP_BYTES = 160L << 20;
    private static final int IDLE_MILLIS = 100;
    /** Part of a copy, which ends within the value of a field, so that the next head is read as the rest of it. */
    private static final String PARTIAL_COPY = "HTTP/1.1 200 OK\r\nContent-Type: text/plain; charset=";

    private ForwardingFixture forwarding;
    private ServerSocket server;
    private final AtomicInteger answered = new AtomicInteger();

    @BeforeEach
    void start() throws Exception {
        forwarding = new ForwardingFixture(BufferLimits.of(HEAP_BYTES, HEAP_BYTES), Duration.ofSeconds(3));
        server = new ServerSocket(0);
        forwarding.addServer(server.getLocalPort());
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
        forwarding.close();
    }

    @Test
    void partialCopyWithTheEndOfAnAnswerDoesNotReachTheNextCaller() throws Exception {
        serve(Copy.WITH_ANSWER);
        assertSecondAnswerIsOwn();
    }

    @Test
    void partialCopyOnAnIdleConnectionDoesNotReachTheNextCaller() throws Exception {
        serve(Copy.WHILE_IDLE);
        assertSecondAnswerIsOwn();
    }

    /** Nothing shows the partial copy before the request is sent; the joined head must not count as an answer. */
    @Test
    void partialCopyBeforeTheNextAnswerIsNoSuccess() throws Exception {
        serve(Copy.BEFORE_NEXT_ANSWER);
        assertTrue(call(0).startsWith("HTTP/1.1 200"));
        String answer = call(1);
        assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
    }

    private void assertSecondAnswerIsOwn() throws Exception {
        assertTrue(call(0).startsWith("HTTP/1.1 200"));
        Thread.sleep(2 * IDLE_MILLIS);
        String answer = call(1);
        assertTrue(answer.startsWith("HTTP/1.1 500"), answer);
    }

    private enum Copy {
        WITH_ANSWER,
        WHILE_IDLE,
        BEFORE_NEXT_ANSWER
    }

    /** Answers the first request with 200 and the others with 500. */
    private void serve(Copy copy) {
        start(() -> {
            while (!server.isClosed()) {
                try {
                    Socket connection = server.accept();
                    start(() -> answer(connection, copy));
                } catch (IOException exception) {
                    return;
                }
            }
        });
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void answer(Socket connection, Copy copy) {
        try (connection) {
            OutputStream output = connection.getOutputStream();
            String request = ScriptedServer.read(connection.getInputStream());
            while (!request.isEmpty()) {
                boolean isFirst = answered.getAndIncrement() == 0;
                String identity = request.split("(?i)x-request-id: ")[1].split("\r\n")[0];
                String answer = "HTTP/1.1 " + (isFirst ? "200 OK" : "500 Error") + "\r\nX-Request-Id: " + identity
                        + "\r\nX-Server-Signature: sig-" + identity + "\r\nContent-Length: 2\r\n\r\nok";
                if (isFirst && copy == Copy.WITH_ANSWER) {
                    answer += PARTIAL_COPY;
                } else if (!isFirst && copy == Copy.BEFORE_NEXT_ANSWER) {
                    answer = PARTIAL_COPY + answer;
                }
                write(output, answer);
                if (isFirst && copy == Copy.WHILE_IDLE) {
                    Thread.sleep(IDLE_MILLIS);
                    write(output, PARTIAL_COPY);
                }
                request = ScriptedServer.read(connection.getInputStream());
            }
        } catch (IOException | InterruptedException exception) {
            // The proxy closed the connection; the tests assert on the answers.
        }
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.UTF_8));
        output.flush();
    }

    private String call(int number) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", forwarding.port())) {
            String head = "POST /once/ HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: id-" + number
                    + "\r\nX-Credential: key-w\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 2"
                    + "\r\n\r\nxx";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
