package org.borageproxy.rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A caller that sends requests of all kinds, over new and kept connections, and takes up resumable streams that broke
 * off. Used by one thread.
 */
final class RigCaller {

    /** Names the event after which the caller itself takes up a stream; a VM that does so leaves it as it is. */
    static final String TAKEN_UP = "X-Taken-Up";

    private static final int TIMEOUT_MILLIS = 5_000;

    private final Random random;
    private final List<InetSocketAddress> entries;
    private final List<CallerRecord> records;
    private Socket connection;
    private InputStream input;
    private InetSocketAddress connectedTo;

    /**
     * Creates a caller without a connection.
     *
     * @param random the source of all choices
     * @param entries the addresses of the entries
     * @param records the list to which the caller adds its records
     */
    RigCaller(Random random, List<InetSocketAddress> entries, CopyOnWriteArrayList<CallerRecord> records) {
        this.random = random;
        this.entries = entries;
        this.records = records;
    }

    /** Sends one request after the other until a time. */
    void run(long endNanos) {
        while (System.nanoTime() - endNanos < 0) {
            try {
                callOnce();
            } catch (IOException exception) {
                // The connection was refused or ended while the request was written, which no rule covers.
                disconnect();
            }
        }
        disconnect();
    }

    private String newId() {
        return "%016x".formatted(random.nextLong());
    }

    private void callOnce() throws IOException {
        String id = newId();
        int kind = random.nextInt(10);
        String prefix = kind < 4
                ? RigFleet.SAFE
                : kind < 7 ? RigFleet.ONCE : kind < 9 ? RigFleet.RESUMABLE_STREAM : RigFleet.ONCE_STREAM;
        String path = prefix + id;
        CallerRecord answer = send(id, path, 0, "");
        if (answer == null || !prefix.equals(RigFleet.RESUMABLE_STREAM) || !answer.isSuccess()) {
            return;
        }
        int last = RigChecker.lastWholeEvent(answer.text());
        if (answer.outcome() == CallerRecord.Outcome.CUT && last > 0) {
            send(newId(), path, last, "Resumes: " + id + "\r\n" + TAKEN_UP + ": " + last + "\r\n");
        }
    }

    private CallerRecord send(String id, String path, int after, String moreHeaders) throws IOException {
        boolean isKept = connection != null && random.nextInt(4) > 0;
        if (isKept && input.available() > 0) {
            CallerRecord.Attempt none = new CallerRecord.Attempt(
                    "none", "none", 0, connectedTo.toString(), true, System.currentTimeMillis());
            byte[] bytes = input.readNBytes(input.available());
            records.add(new CallerRecord(
                    none, CallerRecord.Outcome.UNASKED_BYTES, 0, Map.of(), bytes, System.currentTimeMillis()));
            isKept = false;
        }
        if (!isKept) {
            connect();
        }
        CallerRecord.Attempt attempt = new CallerRecord.Attempt(
                id, path, after, connectedTo.getHostString(), isKept, System.currentTimeMillis());
        String body = "x".repeat(random.nextInt(100));
        String head = "POST " + path + " HTTP/1.1\r\nHost: r.example\r\nX-Request-Id: " + id
                + "\r\nX-Credential: k\r\nX-Deadline-Ms: 4000\r\nContent-Length: " + body.length() + "\r\n"
                + (after > 0 ? "Last-Event-Id: " + after + "\r\n" : "") + moreHeaders + "\r\n";
        try {
            connection.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException exception) {
            // The entry has closed the connection; what it sent before that is read and recorded.
        }
        CallerRecord answer = CallerRecord.read(attempt, input);
        records.add(answer);
        if (!answer.keepsConnection()) {
            disconnect();
        }
        return answer;
    }

    private void connect() throws IOException {
        disconnect();
        connectedTo = entries.get(random.nextInt(entries.size()));
        Socket socket = new Socket();
        socket.connect(connectedTo, 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        connection = socket;
        input = new BufferedInputStream(socket.getInputStream());
    }

    private void disconnect() {
        if (connection != null) {
            try {
                connection.close();
            } catch (IOException exception) {
                // The connection is unusable in either case.
            }
            connection = null;
        }
    }
}
