import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A replica starts again under its id with another version of its software. Before its next heartbeat is due, the other
 * replica of the old version crashes.
 */
final class Reborn {

    private static final int STREAMS = 12;
    private static final int EVENTS = 50;
    private static final long INTERVAL_MILLIS = 100;

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, Reborn::holds);
    }

    /** An engine whose events hold the version of its software. */
    private static final class Versioned extends Engine {
        Versioned(String id, String host, int port, String version, Record record) throws IOException {
            super(id, host, port, version, record, 15);
        }

        @Override
        boolean answer(Socket connection, Http.Head head, byte[] body, OutputStream output) throws IOException {
            if (!head.path().startsWith("/draft/")) {
                return super.answer(connection, head, body, output);
            }
            int last = head.field("Last-Event-Id").map(Integer::parseInt).orElse(0);
            record.line(id + " of " + version + " runs " + head.field("X-Request-Id").orElse("?") + " after event " + last);
            write(output, head(200, head) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int number = last + 1; number <= EVENTS; number++) {
                pause(INTERVAL_MILLIS);
                String event = "id: " + number + "\ndata: " + version + "\n\n";
                write(output, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            }
            write(output, "0\r\n\r\n");
            return true;
        }
    }

    private static boolean holds(Path folder, Record record, boolean isTroubled) throws Exception {
        try (Fleet fleet = new Fleet(folder, record, 3, 1)) {
            if (!fleet.publish(Documents.configuration(1), Duration.ofSeconds(30))) {
                throw new IllegalStateException("no configuration");
            }
            fleet.awaitReady(Duration.ofSeconds(30));
            Versioned first = new Versioned("i-llm1", fleet.replicaAddress(1), 0, "v1", record);
            Versioned second = new Versioned("i-llm2", fleet.replicaAddress(2), 0, "v1", record);
            for (Versioned engine : List.of(first, second)) {
                engine.begin();
                fleet.add(engine);
            }
            Thread.sleep(6_000);
            AtomicInteger joined = new AtomicInteger();
            List<Thread> clients = new ArrayList<>();
            for (int number = 1; number <= STREAMS; number++) {
                String id = "s" + number;
                Thread client = new Thread(() -> call(fleet, id, record, joined));
                client.start();
                clients.add(client);
            }
            Thread.sleep(1_500);
            if (isTroubled) {
                fleet.replicas.remove(second);
                second.stop();
                record.line("i-llm2 ends");
                Thread.sleep(300);
                Versioned reborn =
                        new Versioned("i-llm2", fleet.replicaAddress(2), second.port(), "v2", record);
                reborn.begin();
                record.line("i-llm2 starts again with v2");
                Thread.sleep(300);
                first.stop();
                record.line("i-llm1 crashes");
                Thread.sleep(600);
                fleet.add(reborn);
                record.line("i-llm2 sends its first heartbeat");
            }
            for (Thread client : clients) {
                client.join();
            }
            record.line("streams with events of two versions: " + joined.get() + " of " + STREAMS);
            return joined.get() <= 2;
        }
    }

    private static void call(Fleet fleet, String id, Record record, AtomicInteger joined) {
        try (Socket socket = new Socket()) {
            socket.connect(fleet.front(fleet.entries.get(0)), 1_000);
            socket.setSoTimeout(16_000);
            record.line("sent " + id);
            socket.getOutputStream()
                    .write(Documents.request(
                                    "/draft/1",
                                    id,
                                    15_000,
                                    "X-Model: m1\r\nX-Token-Count: 180,100\r\nX-Prompt-Prefix: "
                                            + Integer.toHexString(id.hashCode()) + ":180\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            Http.Answer answer = Http.readAnswer(socket.getInputStream(), () -> {});
            String text = new String(answer.body(), StandardCharsets.ISO_8859_1);
            int old = text.split("data: v1", -1).length - 1;
            int other = text.split("data: v2", -1).length - 1;
            record.line("answered " + id + ": " + answer.head().firstLine() + ", " + old + " events of v1, then "
                    + other + " of v2, " + answer.end());
            if (old > 0 && other > 0) {
                joined.incrementAndGet();
            }
        } catch (IOException exception) {
            record.line("failed " + id + ": " + exception);
        }
    }
}
