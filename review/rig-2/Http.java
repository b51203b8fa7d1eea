import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The little HTTP/1.1 that the stand-ins need, on blocking sockets. */
final class Http {

    private Http() {}

    /** The head of a message; the names of the fields are in lower case. */
    record Head(String firstLine, Map<String, String> fields) {

        String field(String name) {
            return fields.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }
    }

    /** An answer as a client sees it; {@code isWhole} is false if it was broken off. */
    record Answer(int status, Map<String, String> fields, String body, boolean isWhole) {}

    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return new Head(first, fields);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("connection ended");
            }
            if (next == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1);
            }
            if (next != '\r') {
                line.write(next);
            }
        }
    }

    static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("body cut");
        }
        return bytes;
    }

    /** Reads whole chunks; those before a cut remain in the body. */
    private static void readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
            if (size > 0) {
                body.write(readExactly(in, size));
            }
            String end = readLine(in);
            if (size == 0) {
                while (!end.isEmpty()) {
                    end = readLine(in);
                }
                return;
            }
        }
    }

    /** Sends one request on a new connection and reads the answer. */
    static Answer call(
            String host, int port, String method, String path, Map<String, String> fields, byte[] body, int timeoutMillis)
            throws IOException {
        try (Connection connection = new Connection(host, port)) {
            return connection.call(method, path, fields, body, timeoutMillis);
        }
    }

    /** A connection of a client, which may carry several requests. */
    static final class Connection implements AutoCloseable {

        private final String host;
        private final Socket socket = new Socket();
        private final InputStream in;

        Connection(String host, int port) throws IOException {
            this.host = host;
            socket.connect(new InetSocketAddress(host, port), 1_000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        Answer call(String method, String path, Map<String, String> fields, byte[] body, int timeoutMillis)
                throws IOException {
            socket.setSoTimeout(timeoutMillis);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            if (!fields.containsKey("Host")) {
                head.append("Host: ").append(host).append("\r\n");
            }
            fields.forEach((name, value) ->
                    head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0 || method.equals("POST")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            OutputStream out = socket.getOutputStream();
            out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            Head answer = readHead(in);
            while (answer.status() < 200) {
                answer = readHead(in);
            }
            ByteArrayOutputStream content = new ByteArrayOutputStream();
            boolean isWhole = true;
            try {
                readBody(answer, content);
            } catch (IOException cut) {
                isWhole = false;
            }
            return new Answer(
                    answer.status(), answer.fields(), content.toString(StandardCharsets.ISO_8859_1), isWhole);
        }

        private void readBody(Head answer, ByteArrayOutputStream content) throws IOException {
            if (answer.field("transfer-encoding").equalsIgnoreCase("chunked")) {
                readChunks(in, content);
            } else if (!answer.field("content-length").isEmpty()) {
                content.write(readExactly(in, Integer.parseInt(answer.field("content-length"))));
            } else {
                content.write(in.readAllBytes());
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
