package org.borageproxy.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vertx.core.json.JsonObject;

/** A backend server on a raw socket that records every received byte and responds according to a script. */
final class ScriptedBackend implements AutoCloseable {

    private static final Pattern LENGTH = Pattern.compile("(?i)\r\ncontent-length: *([0-9]+)");

    final List<Received> received = new CopyOnWriteArrayList<>();
    final AtomicInteger connections = new AtomicInteger();
    private final ServerSocket listener;
    private final Script script;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    private ScriptedBackend(Script script) {
        this.script = script;
        try {
            listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
        start(this::accept);
    }

    static ScriptedBackend answering(Script script) {
        return new ScriptedBackend(script);
    }

    /** Returns a model engine that responds to every run with the given number of tokens. */
    static ScriptedBackend engine(int tokens) {
        return answering((exchange, number) -> exchange.tokens(0, tokens).done());
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Returns all received requests except cancellations. */
    List<Received> runs() {
        return received.stream()
                .filter(request -> !request.head.startsWith("DELETE"))
                .toList();
    }

    /** The behavior of a backend server. Called for requests on several connections at the same time. */
    @FunctionalInterface
    interface Script {

        /**
         * Responds to a request.
         *
         * @param exchange the request, with methods to respond to it
         * @param number the number of requests received so far including this one, except cancellations
         */
        void answer(Exchange exchange, int number) throws IOException;
    }

    /**
     * A received request.
     *
     * @param head the request line and the headers
     * @param body the body
     */
    record Received(String head, String body) {

        JsonObject json() {
            return new JsonObject(body);
        }
    }

    private void accept() {
        try {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                connections.incrementAndGet();
                sockets.add(socket);
                start(() -> serve(socket));
            }
        } catch (IOException exception) {
            // The backend server was closed.
        }
    }

    private static void start(Runnable action) {
        Thread thread = new Thread(action, "scripted-backend");
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket socket) {
        try {
            while (true) {
                Received request = read(socket.getInputStream());
                if (request == null) {
                    return;
                }
                received.add(request);
                script.answer(new Exchange(this, socket, request), runs().size());
            }
        } catch (IOException exception) {
            // The connection ended.
        }
    }

    private static Received read(InputStream input) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = input.read();
            if (next < 0) {
                return null;
            }
            head.write(next);
        }
        String text = head.toString(StandardCharsets.ISO_8859_1);
        Matcher length = LENGTH.matcher(text);
        byte[] body = length.find() ? input.readNBytes(Integer.parseInt(length.group(1))) : new byte[0];
        return new Received(text, new String(body, StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() {
        try {
            listener.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** One request, with methods to respond to it. */
    static final class Exchange {

        final Received request;
        private final ScriptedBackend backend;
        private final Socket socket;
        private final OutputStream output;
        private String identity;
        private int next;
        private boolean headWritten;

        private Exchange(ScriptedBackend backend, Socket socket, Received request) throws IOException {
            this.backend = backend;
            this.socket = socket;
            this.request = request;
            this.output = socket.getOutputStream();
            this.identity = request.body.startsWith("{") && request.json().containsKey("request_id")
                    ? request.json().getString("request_id")
                    : "";
        }

        Exchange identity(String other) {
            identity = other;
            return this;
        }

        Exchange head() throws IOException {
            if (!headWritten) {
                headWritten = true;
                write("HTTP/1.1 200 OK\r\ncontent-type: application/x-ndjson\r\ntransfer-encoding: chunked\r\n"
                        + "borageproxy-request-id: " + identity + "\r\n\r\n");
            }
            return this;
        }

        Exchange tokens(int from, int until) throws IOException {
            head();
            for (next = from; next < until; next++) {
                line(new JsonObject()
                        .put("request_id", identity)
                        .put("index", next)
                        .put("text", "t" + next + " ")
                        .encode());
            }
            return this;
        }

        Exchange line(String line) throws IOException {
            head();
            write(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
            return this;
        }

        void done() throws IOException {
            line(new JsonObject()
                    .put("request_id", identity)
                    .put("done", true)
                    .put("finish_reason", "stop")
                    .put("prompt_tokens", 5)
                    .put("output_tokens", next)
                    .encode());
            write("0\r\n\r\n");
        }

        void respond(int status, String body, String... headerLines) throws IOException {
            write("HTTP/1.1 " + status + " X\r\ncontent-length: " + body.length() + "\r\n"
                    + String.join("", headerLines) + "\r\n" + body);
        }

        void write(String text) throws IOException {
            output.write(text.getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }

        void closeConnection() throws IOException {
            socket.close();
        }

        /** Closes the whole backend server to simulate a crash. */
        void crash() {
            backend.close();
        }
    }
}
