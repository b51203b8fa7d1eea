package org.borageproxy.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Calls a {@link ForwardingFixture} over a connection of its own and returns the bytes it gets. Stateless. */
final class RawCaller {

    private RawCaller() {}

    /** Sends a request with a short body. */
    static void send(Socket socket, String path, String identity) throws IOException {
        socket.getOutputStream()
                .write(("POST " + path + " HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: " + identity
                                + "\r\nX-Credential: key-w\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\n"
                                + "Content-Length: 2\r\n\r\nhi")
                        .getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a request, runs a task and returns what comes until the end of the connection. */
    static String call(int port, String path, String identity, Runnable afterSending) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            send(socket, path, identity);
            afterSending.run();
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    static String call(int port, String path, String identity) throws IOException {
        return call(port, path, identity, () -> {});
    }

    /** Returns whether an answer is a success that ends with a body and looks complete. */
    static boolean isCompleteSuccess(String answer, String body) {
        boolean isComplete = answer.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked")
                ? answer.endsWith("\r\n0\r\n\r\n")
                : answer.endsWith(body);
        return answer.startsWith("HTTP/1.1 200") && isComplete;
    }

    /** Returns the identity of a request that a stand-in of a server has read. */
    static String identityOf(String request) {
        return request.split("(?i)x-request-id: ")[1].split("\r\n")[0];
    }

    /** Runs a task on a thread that does not keep the process alive. */
    static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
