package org.borageproxy.rig;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a caller got for one request.
 *
 * @param attempt the request
 * @param outcome how the answer ended
 * @param status the status; 0 without one
 * @param headers the fields of the head, by name without regard to case
 * @param body the body, or what arrived of it
 * @param endMillis when the answer ended, as a wall-clock time
 */
record CallerRecord(
        Attempt attempt, Outcome outcome, int status, Map<String, String> headers, byte[] body, long endMillis) {

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] ([1-9]\\d\\d)( .*)?");
    private static final int MAX_SHOWN = 300;

    /**
     * A request of a caller.
     *
     * @param id the request's id
     * @param path the path
     * @param after the last event that the caller has of the stream; 0 for none
     * @param entry the entry
     * @param isKept whether the connection has brought an answer before
     * @param sentMillis when it was sent, as a wall-clock time
     */
    record Attempt(String id, String path, int after, String entry, boolean isKept, long sentMillis) {}

    /** How an answer ended. */
    enum Outcome {
        /** The answer looks complete. */
        COMPLETE,
        /** The connection ended within the answer. */
        CUT,
        /** The connection ended before the first byte of an answer. */
        NO_ANSWER,
        /** The caller gave up. */
        TIMED_OUT,
        /** The bytes are no answer. */
        NOT_HTTP,
        /** Bytes arrived while no request was waiting. */
        UNASKED_BYTES
    }

    /** Reads an answer. */
    static CallerRecord read(Attempt attempt, InputStream input) {
        Reader reader = new Reader(input);
        Outcome outcome;
        try {
            outcome = reader.read();
        } catch (SocketTimeoutException exception) {
            outcome = Outcome.TIMED_OUT;
        } catch (IOException exception) {
            outcome = reader.count == 0 ? Outcome.NO_ANSWER : Outcome.CUT;
        } catch (NumberFormatException exception) {
            outcome = Outcome.NOT_HTTP;
        }
        return new CallerRecord(
                attempt, outcome, reader.status, reader.headers, reader.body.toByteArray(), System.currentTimeMillis());
    }

    String header(String name) {
        return headers.getOrDefault(name, "");
    }

    boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** Returns whether the connection can be used for another request. */
    boolean keepsConnection() {
        return outcome == Outcome.COMPLETE
                && !header("Connection").equalsIgnoreCase("close")
                && (headers.containsKey("Content-Length") || headers.containsKey("Transfer-Encoding"));
    }

    String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    @Override
    public String toString() {
        String text = text().replace("\n", "\\n").replace("\r", "\\r");
        return attempt + " " + outcome + " " + status + " " + headers + " body " + RigServer.checksum(body) + " \""
                + text.substring(0, Math.min(MAX_SHOWN, text.length())) + "\"";
    }

    /** Reads the bytes of a connection as an answer. */
    private static final class Reader {

        private final InputStream input;
        private final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private long count;

        private Reader(InputStream input) {
            this.input = input;
        }

        private int next() throws IOException {
            int next = input.read();
            count += next < 0 ? 0 : 1;
            return next;
        }

        private String line() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            int next = next();
            while (next != '\n') {
                if (next < 0) {
                    throw new IOException("the connection ended within a line");
                }
                line.write(next);
                next = next();
            }
            return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
        }

        private Outcome read() throws IOException {
            Matcher statusLine = STATUS_LINE.matcher(line());
            if (!statusLine.matches()) {
                return Outcome.NOT_HTTP;
            }
            status = Integer.parseInt(statusLine.group(1));
            for (String line = line(); !line.isEmpty(); line = line()) {
                int colon = line.indexOf(':');
                if (colon < 1) {
                    return Outcome.NOT_HTTP;
                }
                headers.merge(
                        line.substring(0, colon),
                        line.substring(colon + 1).trim(),
                        (first, second) -> first + ", " + second);
            }
            if (headers.getOrDefault("Transfer-Encoding", "")
                    .toLowerCase(Locale.ROOT)
                    .contains("chunked")) {
                return readChunks();
            }
            if (headers.containsKey("Content-Length")) {
                return readBytes(Integer.parseInt(headers.get("Content-Length"))) ? Outcome.COMPLETE : Outcome.CUT;
            }
            for (int next = next(); next >= 0; next = next()) {
                body.write(next);
            }
            return Outcome.COMPLETE;
        }

        private Outcome readChunks() throws IOException {
            while (true) {
                int length = Integer.parseInt(line().split(";")[0], 16);
                if (length == 0) {
                    for (String line = line(); !line.isEmpty(); line = line()) {
                        // Trailers are not checked.
                        continue;
                    }
                    return Outcome.COMPLETE;
                }
                if (!readBytes(length)) {
                    return Outcome.CUT;
                }
                if (!line().isEmpty()) {
                    return Outcome.NOT_HTTP;
                }
            }
        }

        private boolean readBytes(int length) throws IOException {
            for (int read = 0; read < length; read++) {
                int next = next();
                if (next < 0) {
                    return false;
                }
                body.write(next);
            }
            return true;
        }
    }
}
