import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * An entry is partitioned from all replicas, and gets its answers through another entry. That one is killed while an
 * answer without a length passes through it.
 */
final class RelayKilled {

    private static final int PARTS = 30;
    private static final int PART_BYTES = 2_000;
    private static final int PART_PAUSE_MILLIS = 100;
    private static final int CLIENTS = 3;

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, RelayKilled::holds);
    }

    /** Returns whether the other end of a connection belongs to a process. */
    private static boolean isFrom(Process process, Socket connection) {
        String end = String.format(":%04X", connection.getPort());
        String own = String.format(":%04X", connection.getLocalPort());
        try (Stream<String> sockets =
                        Stream.concat(Files.lines(Path.of("/proc/net/tcp")), Files.lines(Path.of("/proc/net/tcp6")));
                Stream<Path> files = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            Set<String> inodes = sockets.map(line -> line.strip().split("\\s+"))
                    .filter(fields -> fields.length > 9 && fields[1].endsWith(end) && fields[2].endsWith(own))
                    .map(fields -> "socket:[" + fields[9] + "]")
                    .collect(Collectors.toSet());
            return files.anyMatch(file -> {
                try {
                    return inodes.contains(Files.readSymbolicLink(file).toString());
                } catch (IOException exception) {
                    return false;
                }
            });
        } catch (IOException exception) {
            return false;
        }
    }

    /** A replica that the cut-off entry can't reach, and whose answers have no length. */
    private static final class Unframed extends Replica {
        private final Fleet fleet;
        private final AtomicBoolean isCut;
        private final CountDownLatch begun;
        private final AtomicReference<String> relay = new AtomicReference<>("");

        Unframed(String id, Fleet fleet, int number, Record record, AtomicBoolean isCut, CountDownLatch begun)
                throws IOException {
            super(id, "api", fleet.replicaAddress(number), record);
            this.fleet = fleet;
            this.isCut = isCut;
            this.begun = begun;
        }

        private boolean isFromCutOff(Socket connection) {
            return isCut.get() && isFrom(fleet.process(fleet.entries.get(0)), connection);
        }

        @Override
        boolean mayServe(Socket connection) {
            return !isFromCutOff(connection);
        }

        void cut() throws IOException {
            for (Socket connection : connections) {
                if (isFromCutOff(connection)) {
                    reset(connection);
                }
            }
        }

        @Override
        boolean answer(Socket connection, Http.Head head, byte[] body, OutputStream output) throws IOException {
            String request = head.field("X-Request-Id").orElse("?");
            if (!request.startsWith("long")) {
                return super.answer(connection, head, body, output);
            }
            String through = fleet.entries.stream()
                    .filter(entry -> isFrom(fleet.process(entry), connection))
                    .findFirst()
                    .orElse("?");
            record.line(id + " runs " + request + ", which came from " + through);
            relay.set(through);
            write(output, head(200, head) + "Content-Type: text/plain\r\nConnection: close\r\n\r\n");
            byte[] part = new byte[PART_BYTES];
            Arrays.fill(part, (byte) 'x');
            for (int number = 1; number <= PARTS; number++) {
                output.write(part);
                output.flush();
                if (number == 5) {
                    begun.countDown();
                }
                pause(PART_PAUSE_MILLIS);
            }
            record.line(id + " ends its answer to " + request + ", " + PARTS * PART_BYTES + " bytes");
            return false;
        }
    }

    static void reset(Socket connection) throws IOException {
        try {
            connection.setSoLinger(true, 0);
        } catch (SocketException exception) {
            // Closed meanwhile.
        }
        connection.close();
    }

    private static boolean holds(Path folder, Record record, boolean isTroubled) throws Exception {
        AtomicBoolean isCut = new AtomicBoolean();
        CountDownLatch begun = new CountDownLatch(CLIENTS);
        try (Fleet fleet = new Fleet(folder, record, 3, 3)) {
            if (!fleet.publish(Documents.configuration(1), Duration.ofSeconds(30))) {
                throw new IllegalStateException("no configuration");
            }
            fleet.awaitReady(Duration.ofSeconds(30));
            List<Unframed> replicas = new ArrayList<>();
            for (int number = 1; number <= 4; number++) {
                Unframed replica = new Unframed("i-api" + number, fleet, number, record, isCut, begun);
                replica.begin();
                fleet.add(replica);
                replicas.add(replica);
            }
            Thread.sleep(4_000);
            for (int number = 1; number <= 9; number++) {
                call(fleet, fleet.entries.get(number % 3), "short-" + number, record);
            }
            String entry = fleet.entries.get(0);
            isCut.set(true);
            for (Unframed replica : replicas) {
                replica.cut();
            }
            record.line("cut " + entry + " off from all replicas");
            for (int number = 1; number <= 20; number++) {
                call(fleet, entry, "short-cut-" + number, record);
                Thread.sleep(250);
            }
            AtomicInteger wrong = new AtomicInteger();
            List<Thread> clients = new ArrayList<>();
            for (int number = 1; number <= CLIENTS; number++) {
                String id = "long-" + number;
                Thread client = new Thread(() -> {
                    try {
                        Http.Answer answer = call(fleet, entry, id, record);
                        boolean isWrong = answer.isComplete()
                                && answer.head().status() == 200
                                && answer.body().length != PARTS * PART_BYTES;
                        wrong.addAndGet(isWrong ? 1 : 0);
                    } catch (IOException exception) {
                        record.line("failed " + id + ": " + exception);
                    }
                });
                client.start();
                clients.add(client);
            }
            if (!begun.await(20, java.util.concurrent.TimeUnit.SECONDS)) {
                throw new IllegalStateException("answers do not pass through another entry");
            }
            if (isTroubled) {
                for (String relay : replicas.stream().map(each -> each.relay.get()).distinct().toList()) {
                    if (fleet.entries.contains(relay) && !relay.equals(entry)) {
                        fleet.signal(relay, "KILL");
                    }
                }
            }
            for (Thread client : clients) {
                client.join();
            }
            record.line("complete successes whose body is not the whole body of the replica: " + wrong.get());
            return wrong.get() == 0;
        }
    }

    private static Http.Answer call(Fleet fleet, String entry, String id, Record record) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(fleet.front(entry), 1_000);
            socket.setSoTimeout(15_000);
            socket.getOutputStream()
                    .write(Documents.request("/commit/1", id, 12_000, "").getBytes(StandardCharsets.ISO_8859_1));
            record.line("sent " + id + " to " + entry);
            Http.Answer answer = Http.readAnswer(socket.getInputStream(), () -> {});
            record.line("answered " + id + ": " + answer.head().firstLine() + ", signature "
                    + answer.head().field("X-Server-Signature").orElse("none") + ", " + answer.body().length
                    + " bytes, " + answer.end());
            return answer;
        }
    }
}
