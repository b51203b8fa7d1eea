import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A model replica in trouble answers a report with bytes without end, until the caller closes. */
final class EndlessReport {

    private static final int ENGINES = 4;
    private static final Duration READ_TIME = Duration.ofSeconds(10);
    private static final int BYTES_PER_WRITE = 50_000;

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, EndlessReport::holds);
    }

    private static boolean holds(Path folder, Record record, boolean isTroubled) throws Exception {
        AtomicBoolean inTrouble = new AtomicBoolean();
        AtomicInteger open = new AtomicInteger();
        try (Fleet fleet = new Fleet(folder, record, 3, 1)) {
            if (!fleet.publish(Documents.configuration(1), Duration.ofSeconds(30))) {
                throw new IllegalStateException("no configuration");
            }
            fleet.awaitReady(Duration.ofSeconds(30));
            for (int number = 1; number <= ENGINES; number++) {
                boolean isFirst = number == 1;
                fleet.add(new Engine("i-llm" + number, fleet.replicaAddress(number), record, 10) {
                    @Override
                    boolean report(Http.Head head, OutputStream output) throws IOException {
                        if (!isFirst || !inTrouble.get()) {
                            return super.report(head, output);
                        }
                        record.line(id + " answers a report without end");
                        open.incrementAndGet();
                        long sent = 0;
                        try {
                            write(output, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{");
                            byte[] part = new byte[BYTES_PER_WRITE];
                            Arrays.fill(part, (byte) 'x');
                            while (isRunning()) {
                                output.write(part);
                                sent += part.length;
                                // 25 MB a second, a fifth of a link of 1,000 Mbit a second.
                                pause(2);
                            }
                        } finally {
                            open.decrementAndGet();
                            record.line(id + " its caller closed after " + sent + " bytes");
                        }
                        return false;
                    }
                }.begin());
            }
            Thread.sleep(8_000);
            inTrouble.set(isTroubled);
            for (int second = 1; second <= 6; second++) {
                Thread.sleep(1_000);
                StringBuilder state = new StringBuilder("reads of the configuration:");
                for (String control : fleet.controls) {
                    state.append(' ').append(fleet.call(control, "GET", "/Config.Read", "").status());
                }
                record.line(state + ", endless answers that no caller has closed: " + open.get());
            }
            boolean isAcknowledged = fleet.publish(Documents.configuration(2), Duration.ofSeconds(10));
            record.line("version 2 acknowledged: " + isAcknowledged);
            // The operator reads repeatedly for at least StableMs.
            boolean isRead = false;
            long end = System.nanoTime() + READ_TIME.toNanos();
            while (!isRead && System.nanoTime() - end < 0) {
                for (String control : fleet.controls) {
                    Fleet.Answer read = fleet.call(control, "GET", "/Config.Read", "");
                    isRead |= read.status() == 200;
                    record.line(control + " answers a read with " + read.status());
                }
            }
            for (String control : fleet.controls) {
                record.line(control + " runs: " + fleet.isRunning(control) + ", lines with OutOfMemoryError: "
                        + fleet.log(control, "OutOfMemoryError").size());
            }
            record.line("version 1 was acknowledged; read back: " + isRead);
            return isRead;
        }
    }
}
