import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Reads messages of HTTP/1.1. */
final class Http {

    /** The head of a message. */
    record Head(String firstLine, List<String> fields) {

        Optional<String> field(String name) {
            String start = name.toLowerCase(Locale.ROOT) + ":";
            return fields.stream()
                    .filter(each -> each.toLowerCase(Locale.ROOT).startsWith(start))
                    .map(each -> each.substring(start.length()).trim())
                    .findFirst();
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String path() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }
    }

    /** An answer as a client sees it. */
    record Answer(Head head, byte[] body, boolean isComplete, String end) {}

    private Http() {}

    /** Reads a head; empty if the connection ends before it. */
    static Optional<Head> readHead(InputStream input) throws IOException {
        List<String> lines = new ArrayList<>();
        while (true) {
            Optional<String> line = readLine(input);
            if (line.isEmpty()) {
                return Optional.empty();
            }
            if (line.get().isEmpty()) {
                if (lines.isEmpty()) {
                    continue;
                }
                return Optional.of(new Head(lines.get(0), List.copyOf(lines.subList(1, lines.size()))));
            }
            lines.add(line.get());
        }
    }

    private static Optional<String> readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = input.read();
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = input.read();
        }
        return next < 0 ? Optional.empty() : Optional.of(line.toString(StandardCharsets.ISO_8859_1));
    }

    /** Reads the body of a request. */
    static byte[] readRequestBody(Head head, InputStream input) throws IOException {
        int length = head.field("Content-Length").map(Integer::parseInt).orElse(0);
        return input.readNBytes(length);
    }

    /** Reads an answer to its end, calling a listener after each read. */
    static Answer readAnswer(InputStream input, Runnable afterRead) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        Optional<Head> head = Optional.empty();
        try {
            head = readHead(input);
            if (head.isEmpty()) {
                return new Answer(new Head("HTTP/1.1 0 none", List.of()), new byte[0], false, "closed without an answer");
            }
            Optional<String> length = head.get().field("Content-Length");
            if (length.isPresent()) {
                int missing = Integer.parseInt(length.get());
                while (missing > 0) {
                    byte[] part = new byte[Math.min(missing, 4096)];
                    int count = input.read(part);
                    if (count < 0) {
                        return new Answer(head.get(), body.toByteArray(), false, "closed with " + missing + " bytes missing");
                    }
                    body.write(part, 0, count);
                    missing -= count;
                    afterRead.run();
                }
                return new Answer(head.get(), body.toByteArray(), true, "complete");
            }
            while (true) {
                Optional<String> size = readLine(input);
                if (size.isEmpty()) {
                    return new Answer(head.get(), body.toByteArray(), false, "closed before the last chunk");
                }
                int bytes = Integer.parseInt(size.get().trim(), 16);
                byte[] part = input.readNBytes(bytes);
                body.write(part, 0, part.length);
                if (part.length < bytes || readLine(input).isEmpty()) {
                    return new Answer(head.get(), body.toByteArray(), false, "closed within a chunk");
                }
                if (bytes == 0) {
                    return new Answer(head.get(), body.toByteArray(), true, "complete");
                }
                afterRead.run();
            }
        } catch (IOException exception) {
            return new Answer(
                    head.orElse(new Head("HTTP/1.1 0 none", List.of())),
                    body.toByteArray(),
                    false,
                    "broken: " + exception.getMessage());
        }
    }
}
