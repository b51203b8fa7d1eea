import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A sound replica of a plain service: answers with its signature and the id of the request, checks X-Expect-Replica,
 * and reports itself. Cases override what differs.
 */
class Replica {

    final String id;
    final String service;
    final String version;
    final Record record;
    private final ServerSocket listening;
    private final String address;
    private final long born = System.currentTimeMillis();
    private final AtomicLong beats = new AtomicLong();
    final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean isRunning = true;

    Replica(String id, String service, String host, Record record) throws IOException {
        this(id, service, host, 0, "v1", record);
    }

    /** Creates a replica with a version of its software, at a port; zero for any. */
    Replica(String id, String service, String host, int port, String version, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.version = version;
        this.record = record;
        listening = new ServerSocket();
        listening.setReuseAddress(true);
        listening.bind(new InetSocketAddress(InetAddress.getByName(host), port), 200);
        address = host + ":" + listening.getLocalPort();
    }

    /** Begins to accept connections. */
    final Replica begin() {
        daemon(this::accept);
        return this;
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (isRunning) {
            try {
                Socket connection = listening.accept();
                connection.setTcpNoDelay(true);
                if (!mayServe(connection)) {
                    connection.setSoLinger(true, 0);
                    connection.close();
                    continue;
                }
                connections.add(connection);
                daemon(() -> serve(connection));
            } catch (IOException exception) {
                return;
            }
        }
    }

    /** Returns whether a new connection is served; it is reset otherwise. */
    boolean mayServe(Socket connection) {
        return true;
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream input = new BufferedInputStream(connection.getInputStream());
            OutputStream output = connection.getOutputStream();
            Optional<Http.Head> head = Http.readHead(input);
            while (head.isPresent()) {
                byte[] body = Http.readRequestBody(head.get(), input);
                boolean isOther = head.get()
                        .field("X-Expect-Replica")
                        .filter(expected -> !expected.equals(id))
                        .isPresent();
                if (isOther) {
                    write(output, head(421, head.get()) + "X-Not-Executed: 1\r\nX-Replica-Id: " + id
                            + "\r\nContent-Length: 0\r\n\r\n");
                } else if (!answer(connection, head.get(), body, output)) {
                    return;
                }
                head = Http.readHead(input);
            }
        } catch (IOException exception) {
            // The other side closed the connection.
        } finally {
            connections.remove(connection);
        }
    }

    /** Answers a request and returns whether the connection stays open. */
    boolean answer(Socket connection, Http.Head head, byte[] body, OutputStream output) throws IOException {
        if (head.path().equals("/healthz")) {
            write(output, "HTTP/1.1 200 OK\r\nX-Replica-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        return run(head, body, output);
    }

    /** Runs a request of a client. */
    boolean run(Http.Head head, byte[] body, OutputStream output) throws IOException {
        byte[] answer = "done".getBytes(StandardCharsets.US_ASCII);
        write(output, head(200, head) + "Content-Length: " + answer.length + "\r\n\r\n");
        output.write(answer);
        return true;
    }

    /** Returns the first lines of an answer. */
    final String head(int status, Http.Head request) {
        return "HTTP/1.1 " + status + " Status\r\nX-Request-Id: " + request.field("X-Request-Id").orElse("")
                + "\r\nX-Server-Signature: sig-" + id + "\r\nKeep-Alive: timeout=20\r\n";
    }

    static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns what a heartbeat states beside the fields of all replicas; each field ends with a comma. */
    String ownFields() {
        return "\"Slots\":6,";
    }

    final String heartbeat() {
        return "{\"Service\":\"" + service + "\",\"Address\":\"" + address + "\",\"Zone\":\"zone-a\","
                + "\"Version\":\"" + version + "\",\"State\":\"ready\",\"ColdRemainingMs\":0," + ownFields() + "\"Sequence\":"
                + beats.incrementAndGet() + ",\"born\":" + born + "}";
    }

    final int port() {
        return listening.getLocalPort();
    }

    final long born() {
        return born;
    }

    final boolean isRunning() {
        return isRunning;
    }

    void stop() {
        isRunning = false;
        try {
            listening.close();
            for (Socket connection : connections) {
                connection.close();
            }
        } catch (IOException exception) {
            // Closed already.
        }
    }
}
