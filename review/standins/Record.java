import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to record.txt, with the time since the start of the case. */
final class Record implements AutoCloseable {

    private final PrintWriter writer;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(String text) {
        writer.printf(Locale.ROOT, "%8.3f %s%n", (System.nanoTime() - startNanos) / 1e9, text);
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
