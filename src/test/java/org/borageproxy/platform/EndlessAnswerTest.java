package org.borageproxy.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against bytes without end that fill the memory of the process that reads them. Load pattern: 200 callers at
 * once at servers that send without end, with a heap of 48 MB, and callers of another server meanwhile.
 */
class EndlessAnswerTest {

    private static final int CALLERS = 200;
    private static final int FAULTY_SERVERS = 8;
    private static final int DEADLINE_MILLIS = 2_000;
    private static final int OTHER_CALLS = 20;
    private static final int OTHER_CALL_PAUSE_MILLIS = 100;
    /** What a caller reads before it stops, so that bytes which are passed on accumulate in the process. */
    private static final int READ_BYTES = 1_000;

    private static final int PART_BYTES = 1_000;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Request-Id: ID\r\n";
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String TEXT = "a".repeat(PART_BYTES);
    private static final String FIELD = "Name: " + TEXT + "\r\n";

    @TempDir
    Path directory;

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private Process process;
    private ServerSocket faulty;
    private volatile String start = "";
    private volatile String part = "";

    @AfterEach
    void stop() throws Exception {
        if (process != null) {
            process.destroyForcibly();
        }
        faulty.close();
        threads.shutdownNow();
    }

    @Test
    void lineOfAHeadWithoutEnd() throws Exception {
        assertProcessLives("/once/", HEAD + "Name: ", TEXT);
    }

    @Test
    void fieldsWithoutEnd() throws Exception {
        assertProcessLives("/once/", HEAD, FIELD);
    }

    @Test
    void interimAnswersWithoutEnd() throws Exception {
        assertProcessLives("/once/", "", "HTTP/1.1 103 Early Hints\r\n" + FIELD.repeat(8) + "\r\n");
    }

    @Test
    void extensionOfAChunkWithoutEnd() throws Exception {
        assertProcessLives("/once/", CHUNKED + "1;", TEXT);
    }

    @Test
    void trailersWithoutEnd() throws Exception {
        assertProcessLives("/once/", CHUNKED + "1\r\na\r\n0\r\n", FIELD);
    }

    @Test
    void bodyWithoutLengthAndWithoutEnd() throws Exception {
        assertProcessLives("/once/", HEAD + "\r\n", TEXT);
    }

    @Test
    void chunksWithoutEnd() throws Exception {
        assertProcessLives("/once/", CHUNKED, "1\r\na\r\n".repeat(100));
    }

    @Test
    void eventsWithoutEnd() throws Exception {
        assertProcessLives("/stream/", HEAD + "\r\n", "id: 1\ndata: " + TEXT + "\n\n");
    }

    @Test
    void eventWithoutEnd() throws Exception {
        assertProcessLives("/stream/", HEAD + "\r\nid: 1\ndata: ", TEXT);
    }

    private void assertProcessLives(String path, String begin, String endlessPart) throws Exception {
        start = begin;
        part = endlessPart;
        try (ScriptedServer sound = new ScriptedServer(request ->
                new ScriptedServer.Answer(HEAD.replace("ID", "id") + "Content-Length: 2\r\n\r\nok", false, false))) {
            int port = startProcess(sound.port());
            // A process that loads its classes under load exceeds the deadline for another reason.
            for (int call = 0; call < OTHER_CALLS; call++) {
                call(port, "/other/");
            }
            List<Future<String>> callers = new ArrayList<>();
            for (int caller = 0; caller < CALLERS; caller++) {
                callers.add(threads.submit(() -> call(port, path)));
            }
            for (int call = 0; call < OTHER_CALLS; call++) {
                String answer = callOther(port);
                assertTrue(answer.startsWith("HTTP/1.1 200"), () -> answer + description());
                Thread.sleep(OTHER_CALL_PAUSE_MILLIS);
            }
            for (Future<String> caller : callers) {
                String answer = caller.get(30, TimeUnit.SECONDS);
                assertTrue(answer.startsWith("HTTP/1.1 "), () -> "answer: " + answer + description());
            }
            assertTrue(process.isAlive(), this::description);
        }
        System.out.println("event=endless-answers part=\""
                + endlessPart.substring(0, 5).strip() + "\" path=" + path + " " + peakMemory());
    }

    private String callOther(int port) throws Exception {
        try {
            return call(port, "/other/");
        } catch (IOException exception) {
            throw new AssertionError("caller of another server" + description(), exception);
        }
    }

    /** Returns the largest resident memory that the process has had, as the kernel states it. */
    private String peakMemory() throws IOException {
        Path status = Path.of("/proc", Long.toString(process.pid()), "status");
        return Files.exists(status)
                ? Files.readAllLines(status).stream()
                        .filter(line -> line.startsWith("VmHWM"))
                        .findFirst()
                        .orElse("")
                : "";
    }

    private int startProcess(int soundPort) throws Exception {
        faulty = new ServerSocket(0, CALLERS);
        threads.submit(this::acceptFaulty);
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx48m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:+ExitOnOutOfMemoryError",
                "-cp",
                System.getProperty("java.class.path"),
                SmallHeapVm.class.getName()));
        for (int server = 0; server < FAULTY_SERVERS; server++) {
            command.add(Integer.toString(faulty.getLocalPort()));
        }
        command.add("+" + soundPort);
        Path output = directory.resolve("output");
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (process.isAlive() && System.nanoTime() - endNanos < 0) {
            for (String line : Files.readString(output).split("\n", -1)) {
                if (line.matches("port=\\d{4,}")) {
                    return Integer.parseInt(line.substring("port=".length()));
                }
            }
            Thread.sleep(10);
        }
        throw new IOException("no port" + description());
    }

    private String description() {
        try {
            boolean hasEnded = process.waitFor(1, TimeUnit.SECONDS);
            List<String> lines = Files.readAllLines(directory.resolve("output"));
            return ", process: " + (hasEnded ? "exit code " + process.exitValue() : "alive") + "\n"
                    + String.join("\n", lines.subList(Math.max(0, lines.size() - 10), lines.size()));
        } catch (IOException | InterruptedException exception) {
            return ", process: " + exception;
        }
    }

    private void acceptFaulty() {
        while (!faulty.isClosed()) {
            try {
                Socket connection = faulty.accept();
                threads.submit(() -> answerEndlessly(connection));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void answerEndlessly(Socket connection) {
        try (connection) {
            if (ScriptedServer.read(connection.getInputStream()).isEmpty()) {
                return;
            }
            OutputStream output = connection.getOutputStream();
            output.write(start.replace("Id: ID", "Id: id").getBytes(StandardCharsets.UTF_8));
            byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
            while (!faulty.isClosed()) {
                output.write(bytes);
            }
        } catch (IOException exception) {
            // The process closed the connection, as it should.
        }
    }

    /** Calls, and takes the rest of an answer only after the deadline, so that it must have been kept or refused. */
    private static String call(int port, String path) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(20_000);
            String head = "POST " + path + " HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: id\r\n"
                    + "X-Credential: key-w\r\nX-Deadline-Ms: " + DEADLINE_MILLIS
                    + "\r\nConnection: close\r\nContent-Length: 2\r\n\r\nxx";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            byte[] answer = socket.getInputStream().readNBytes(READ_BYTES);
            if (answer.length == READ_BYTES) {
                Thread.sleep(DEADLINE_MILLIS);
                discard(socket.getInputStream());
            }
            return new String(answer, StandardCharsets.UTF_8);
        }
    }

    private static void discard(InputStream input) {
        byte[] bytes = new byte[READ_BYTES];
        try {
            int length = input.read(bytes);
            while (length >= 0) {
                length = input.read(bytes);
            }
        } catch (IOException exception) {
            // An answer that is cut may end with a reset.
        }
    }
}
