import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** An entry gets SIGTERM while clients read complete answers of a replica slowly but steadily. */
final class SlowReaders {

    private static final int CLIENTS = 4;
    private static final int ANSWER_BYTES = 480_000;
    private static final int BYTES_PER_READ = 4_096;
    private static final int READ_PAUSE_MILLIS = 40;
    private static final int DEADLINE_MILLIS = 18_000;

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, SlowReaders::holds);
    }

    private static boolean holds(Path folder, Record record, boolean isTroubled) throws Exception {
        try (Fleet fleet = new Fleet(folder, record, 3, 2)) {
            if (!fleet.publish(Documents.configuration(1), Duration.ofSeconds(30))) {
                throw new IllegalStateException("no configuration");
            }
            fleet.awaitReady(Duration.ofSeconds(30));
            byte[] whole = new byte[ANSWER_BYTES];
            Arrays.fill(whole, (byte) 'x');
            for (int number = 1; number <= 2; number++) {
                fleet.add(new Replica("i-api" + number, "api", fleet.replicaAddress(number), record) {
                    @Override
                    boolean run(Http.Head head, byte[] body, OutputStream output) throws IOException {
                        record.line(id + " ran " + head.field("X-Request-Id").orElse("?"));
                        write(output, head(200, head) + "Content-Length: " + whole.length + "\r\n\r\n");
                        output.write(whole);
                        output.flush();
                        record.line(id + " answered all of " + head.field("X-Request-Id").orElse("?"));
                        return true;
                    }
                }.begin());
            }
            Thread.sleep(3_000);
            String entry = fleet.entries.get(0);
            AtomicInteger incomplete = new AtomicInteger();
            CountDownLatch started = new CountDownLatch(CLIENTS);
            List<Thread> clients = new ArrayList<>();
            for (int number = 1; number <= CLIENTS; number++) {
                String id = "slow-" + number;
                Thread client = new Thread(() -> call(fleet, entry, id, record, started, incomplete));
                client.start();
                clients.add(client);
            }
            started.await();
            Thread.sleep(500);
            if (isTroubled) {
                fleet.signal(entry, "TERM");
            }
            for (Thread client : clients) {
                client.join();
            }
            record.line("process of the entry runs: " + fleet.isRunning(entry));
            record.line("answers that were incomplete: " + incomplete.get() + " of " + CLIENTS);
            return incomplete.get() == 0;
        }
    }

    private static void call(
            Fleet fleet, String entry, String id, Record record, CountDownLatch started, AtomicInteger incomplete) {
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(16_384);
            socket.connect(fleet.front(entry), 1_000);
            socket.setSoTimeout(DEADLINE_MILLIS);
            long startNanos = System.nanoTime();
            socket.getOutputStream()
                    .write(Documents.request("/commit/1", id, DEADLINE_MILLIS, "")
                            .getBytes(StandardCharsets.ISO_8859_1));
            record.line("sent " + id);
            int[] reads = {0};
            Http.Answer answer = Http.readAnswer(socket.getInputStream(), () -> {
                if (reads[0]++ == 0) {
                    started.countDown();
                }
                Replica.pause(READ_PAUSE_MILLIS);
            });
            if (reads[0] == 0) {
                started.countDown();
            }
            boolean isWhole = answer.isComplete()
                    && answer.head().status() == 200
                    && answer.body().length == ANSWER_BYTES;
            record.line("answered " + id + ": " + answer.head().firstLine() + ", " + answer.body().length + " of "
                    + ANSWER_BYTES + " bytes, " + answer.end() + ", after "
                    + (System.nanoTime() - startNanos) / 1_000_000 + " ms of " + DEADLINE_MILLIS);
            if (!isWhole) {
                incomplete.incrementAndGet();
            }
        } catch (IOException exception) {
            record.line("failed " + id + ": " + exception);
            incomplete.incrementAndGet();
        }
    }
}
