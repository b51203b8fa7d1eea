package org.borageproxy.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;

import org.borageproxy.publication.EnginePool;
import org.borageproxy.publication.PublishedService;
import org.borageproxy.warmup.WarmUpRules;

/**
 * A backend server that answers each request with the bytes that a script returns, and then closes, resets or keeps the
 * connection. Thread safe.
 */
final class ScriptedServer implements AutoCloseable {

    /** The path of a request that the server answers with its name. */
    static final String IDENTITY_PATH = "/healthz";

    private static final String END_OF_HEAD = "\r\n\r\n";

    private final ServerSocket socket = new ServerSocket(0);
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final Function<String, Answer> script;

    /**
     * What the server writes for a request.
     *
     * @param bytes the bytes
     * @param closes whether it then closes the connection
     * @param resets whether it then resets the connection
     * @param late bytes that it writes when the next answer on the connection is due
     */
    record Answer(String bytes, boolean closes, boolean resets, String late) {
        Answer(String bytes, boolean closes, boolean resets) {
            this(bytes, closes, resets, "");
        }
    }

    ScriptedServer(Function<String, Answer> script) throws IOException {
        this.script = script;
        Thread thread = new Thread(this::accept);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                Thread thread = new Thread(() -> serve(connection));
                thread.setDaemon(true);
                thread.start();
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            String request = read(connection.getInputStream());
            String late = "";
            while (!request.isEmpty()) {
                if (asksForName(request)) {
                    connection.getOutputStream().write(name(request).getBytes(StandardCharsets.UTF_8));
                    request = read(connection.getInputStream());
                    continue;
                }
                requests.add(request);
                connection.getOutputStream().write(late.getBytes(StandardCharsets.UTF_8));
                Answer answer = script.apply(request);
                late = answer.late();
                connection.getOutputStream().write(answer.bytes().getBytes(StandardCharsets.UTF_8));
                connection.getOutputStream().flush();
                if (answer.resets()) {
                    Thread.sleep(50);
                    connection.setSoLinger(true, 0);
                }
                if (answer.closes() || answer.resets()) {
                    return;
                }
                request = read(connection.getInputStream());
            }
        } catch (IOException | InterruptedException exception) {
            // The proxy closed the connection; tests assert on the recorded requests.
        }
    }

    /** Returns the service {@code s}, whose servers can be asked for their names. */
    static PublishedService service(Optional<EnginePool> engines) {
        return new PublishedService("s", 100, engines, Optional.of(IDENTITY_PATH), WarmUpRules.NONE);
    }

    /** Returns whether a request only asks the server for its name. */
    static boolean asksForName(String request) {
        return request.startsWith("GET " + IDENTITY_PATH + " ");
    }

    /** Returns the answer of the expected server to a request for its name. */
    static String name(String request) {
        String expected = request.split("(?i)x-expect-replica: ")[1].split("\r\n")[0];
        return "HTTP/1.1 200 OK\r\nX-Replica-Id: " + expected + "\r\nContent-Length: 2\r\n\r\nok";
    }

    static String read(InputStream input) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = input.read();
        while (next >= 0) {
            bytes.write(next);
            String text = bytes.toString(StandardCharsets.UTF_8);
            if (text.endsWith(END_OF_HEAD)) {
                int length = text.contains("content-length: ")
                        ? Integer.parseInt(text.split("content-length: ")[1].split("\r\n")[0])
                        : 0;
                return text + new String(input.readNBytes(length), StandardCharsets.UTF_8);
            }
            next = input.read();
        }
        return "";
    }

    int port() {
        return socket.getLocalPort();
    }

    /** Returns the received requests in order of arrival, each with head and body. */
    List<String> requests() {
        return requests;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
