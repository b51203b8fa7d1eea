package org.borageproxy.rig;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32;

/**
 * A process that is a backend server: it announces itself, answers requests with the faults of a seed, and writes a
 * record of its own. It asks the process that started it to kill or freeze it by a line on its standard output.
 */
public final class RigServer {

    static final String KILL = "kill";
    static final String FREEZE = "freeze";
    private static final int HEARTBEAT_MILLIS = 300;
    /** Time after a disturbance in which a server is neither killed nor frozen, so that it gets requests. */
    private static final long UNDISTURBED_MILLIS = 2_000;

    private static final Pattern HEARTBEAT_ADDRESS = Pattern.compile("\"HeartbeatAddr\"\\s*:\\s*\"([^\"]+)\"");

    private final Settings settings;
    private final Path record;
    private final AtomicInteger lastAnswer = new AtomicInteger();
    private final AtomicInteger lastConnection = new AtomicInteger();
    private final long bornMillis = System.currentTimeMillis();
    /** When the server was last disturbed, or started. */
    private volatile long disruptedMillis = System.currentTimeMillis();

    /** The arguments of the process. */
    private record Settings(
            String id, String service, String address, int port, int announcedPort, String control, long seed) {
        boolean isBehindProxy() {
            return port != announcedPort;
        }
    }

    private RigServer(Settings settings, Path record) {
        this.settings = settings;
        this.record = record;
    }

    /**
     * Arguments: the id, the service, the address, the port to listen on, the port to announce, the address of the
     * control VM, the seed and the file of the record.
     */
    public static void main(String[] arguments) throws IOException {
        Settings settings = new Settings(
                arguments[0],
                arguments[1],
                arguments[2],
                Integer.parseInt(arguments[3]),
                Integer.parseInt(arguments[4]),
                arguments[5],
                Long.parseLong(arguments[6]));
        RigServer server = new RigServer(settings, Path.of(arguments[7]));
        try (ServerSocket listening = new ServerSocket()) {
            listening.setReuseAddress(true);
            listening.bind(new InetSocketAddress(settings.address(), settings.port()), 100);
            startThread(RigServer::endWithParent);
            startThread(server::announce);
            while (true) {
                Socket connection = listening.accept();
                startThread(() -> server.serve(connection));
            }
        }
    }

    /** Ends this process when the one that started it has ended, so that none is left behind. */
    static void endWithParent() {
        try {
            while (System.in.read() >= 0) {
                // Nothing is sent.
                continue;
            }
        } catch (IOException exception) {
            // The pipe is broken, since the other process has ended.
        }
        Runtime.getRuntime().halt(1);
    }

    static Thread startThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void announce() {
        String destination = settings.control();
        for (int sequence = 1; true; sequence++) {
            try {
                String answer = sendHeartbeat(destination, sequence);
                Matcher matcher = HEARTBEAT_ADDRESS.matcher(answer);
                if (matcher.find()) {
                    destination = matcher.group(1);
                }
            } catch (IOException exception) {
                destination = settings.control();
            }
            sleep(HEARTBEAT_MILLIS);
        }
    }

    private String sendHeartbeat(String destination, int sequence) throws IOException {
        HttpURLConnection call =
                (HttpURLConnection) URI.create("http://" + destination + "/Replicas.Heartbeat/" + settings.id())
                        .toURL()
                        .openConnection();
        call.setConnectTimeout(1_000);
        call.setReadTimeout(1_000);
        call.setDoOutput(true);
        call.setRequestProperty("Content-Type", "application/json");
        String body = "{\"Service\":\"" + settings.service() + "\",\"Address\":\"" + settings.address() + ":"
                + settings.announcedPort() + "\",\"Zone\":\"a\",\"Version\":\"v1\",\"Slots\":16,\"State\":\"ready\","
                + "\"ColdRemainingMs\":0,\"Sequence\":" + sequence + ",\"born\":" + bornMillis + "}";
        call.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
        try (InputStream input = call.getInputStream()) {
            return new String(input.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** A request of a VM. */
    private record Request(String path, Map<String, String> headers) {
        static Request read(InputStream input) throws IOException {
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            String text = "";
            while (!text.endsWith("\r\n\r\n")) {
                int next = input.read();
                if (next < 0) {
                    return null;
                }
                head.write(next);
                text = next == '\n' ? head.toString(StandardCharsets.ISO_8859_1) : "";
            }
            Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
            text.lines().skip(1).filter(line -> line.contains(":")).forEach(line -> {
                String[] field = line.split(":", 2);
                headers.put(field[0], field[1].trim());
            });
            if (headers.getOrDefault("Transfer-Encoding", "")
                    .toLowerCase(Locale.ROOT)
                    .contains("chunked")) {
                readChunks(input);
            } else {
                input.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
            }
            return new Request(text.split(" ")[1], headers);
        }

        private static void readChunks(InputStream input) throws IOException {
            int length = -1;
            while (length != 0) {
                StringBuilder line = new StringBuilder();
                for (int next = input.read(); next >= 0 && next != '\n'; next = input.read()) {
                    line.append((char) next);
                }
                length = line.isEmpty() ? 0 : Integer.parseInt(line.toString().trim(), 16);
                input.readNBytes(length + 2);
            }
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    private void serve(Socket connection) {
        int number = lastConnection.incrementAndGet();
        byte[] beforeNext = new byte[0];
        try (connection) {
            connection.setTcpNoDelay(true);
            InputStream input = connection.getInputStream();
            Request request = Request.read(input);
            while (request != null) {
                Answer answer = new Answer(connection, request, number, beforeNext);
                if (!answer.write()) {
                    return;
                }
                beforeNext = answer.beforeNext;
                request = Request.read(input);
            }
        } catch (IOException exception) {
            // The caller has left; the record has no outcome for the request then.
        }
    }

    private synchronized void note(String line) throws IOException {
        // One write for each line, so that a kill loses no line that was written before.
        Files.writeString(record, line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }

    private static synchronized void ask(String line) {
        System.out.println(line);
        System.out.flush();
    }

    /** Returns the number of events of the stream of a path. */
    static int eventCount(String path) {
        return 4 + Math.floorMod(path.hashCode(), 6);
    }

    static boolean isStream(String path) {
        return path.startsWith(RigFleet.RESUMABLE_STREAM) || path.startsWith(RigFleet.ONCE_STREAM);
    }

    /** Returns an event of the stream of a path. */
    static String event(String path, int number) {
        return "id: " + number + "\ndata: " + path + " " + number + "\n\n";
    }

    static String checksum(byte[] body) {
        CRC32 crc = new CRC32();
        crc.update(body);
        return body.length + "/" + Long.toHexString(crc.getValue());
    }

    /** The answer to one request. */
    private final class Answer {

        private final Socket connection;
        private final OutputStream output;
        private final Request request;
        private final int connectionNumber;
        private final byte[] late;
        private final ByteArrayOutputStream written = new ByteArrayOutputStream();
        private AnswerPlan plan;
        private String signature;
        private byte[] beforeNext = new byte[0];

        private Answer(Socket connection, Request request, int connectionNumber, byte[] late) throws IOException {
            this.connection = connection;
            this.output = connection.getOutputStream();
            this.request = request;
            this.connectionNumber = connectionNumber;
            this.late = late;
        }

        /** Answers and returns whether the connection is kept. */
        private boolean write() throws IOException {
            if (request.path().equals(RigFleet.HEALTH)) {
                send("HTTP/1.1 200 OK\r\nX-Replica-Id: " + settings.id() + "\r\nContent-Length: 0\r\n\r\n");
                return true;
            }
            String requestId = request.header("X-Request-Id");
            if (requestId.isEmpty()) {
                send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                return true;
            }
            String expected = request.header("X-Expect-Replica");
            if (!expected.isEmpty() && !expected.equals(settings.id())) {
                send("HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: " + requestId
                        + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                return true;
            }
            boolean isStream = isStream(request.path());
            int after =
                    request.header("Last-Event-Id").isEmpty() ? 0 : Integer.parseInt(request.header("Last-Event-Id"));
            Random random = new Random(settings.seed() * 31 + (requestId + settings.id() + after).hashCode());
            boolean isResumedByVm =
                    after > 0 && !request.header(RigCaller.TAKEN_UP).equals("" + after);
            plan = AnswerPlan.choose(random, isStream, isResumedByVm, settings.isBehindProxy(), mayBeDisrupted());
            if (plan.fault() == AnswerPlan.Fault.KILLED || plan.fault() == AnswerPlan.Fault.FROZEN) {
                disruptedMillis = System.currentTimeMillis();
            }
            signature = settings.id() + "." + lastAnswer.incrementAndGet();
            String[] parts = isStream && plan.isSuccess() ? events(after) : new String[] {body(requestId, random)};
            byte[] body = String.join("", parts).getBytes(StandardCharsets.ISO_8859_1);
            note("sig=" + signature + " id=" + requestId + " server=" + settings.id() + " connection="
                    + connectionNumber + " path=" + request.path() + " after=" + after + " ran="
                    + (plan.status() != AnswerPlan.NOT_EXECUTED) + " status=" + plan.recordedStatus() + " framing="
                    + plan.framing() + " fault=" + plan.fault() + " variant=" + plan.variant() + " proxied="
                    + settings.isBehindProxy() + " body=" + checksum(body) + " late_bytes_before=" + late.length
                    + " at_ms=" + System.currentTimeMillis());
            sleep(plan.workMillis());
            output.write(late);
            return writePlanned(requestId, isStream, parts, body.length);
        }

        private String[] events(int after) {
            int count = eventCount(request.path());
            if (plan.fault() == AnswerPlan.Fault.ERROR_TEXT) {
                return new String[] {"ERROR of the server\n\n"};
            }
            int first = plan.fault() == AnswerPlan.Fault.RESTARTED_STREAM ? 1 : after + 1;
            String[] events = new String[Math.max(0, count - first + 1)];
            for (int index = 0; index < events.length; index++) {
                events[index] = event(request.path(), first + index);
            }
            return events;
        }

        private String body(String requestId, Random random) {
            char[] filling = new char[random.nextInt(4) == 0 ? 20_000 : 40];
            Arrays.fill(filling, 'x');
            return "answer " + plan.status() + " to " + requestId + " of " + settings.id() + " " + new String(filling)
                    + " end";
        }

        private boolean writePlanned(String requestId, boolean isStream, String[] parts, int length)
                throws IOException {
            String contentType = isStream && plan.isSuccess() && plan.fault() != AnswerPlan.Fault.ERROR_TEXT
                    ? "text/event-stream"
                    : "text/plain";
            byte[] head = plan.head(requestId, signature, contentType, length).getBytes(StandardCharsets.ISO_8859_1);
            ByteArrayOutputStream rest = new ByteArrayOutputStream();
            for (String part : parts) {
                rest.write(plan.frame(part));
            }
            rest.write(plan.end());
            send(head);
            byte[] body = rest.toByteArray();
            int cut = cutOf(body.length, parts);
            int step = isStream && parts.length > 0 ? plan.frame(parts[0]).length : Math.max(1, body.length);
            int sent = 0;
            while (sent < body.length) {
                int to = Math.min(body.length, (sent / step + 1) * step);
                if (cut < to) {
                    send(Arrays.copyOfRange(body, sent, cut));
                    sent = cut;
                    cut = Integer.MAX_VALUE;
                    if (plan.fault() != AnswerPlan.Fault.FROZEN) {
                        return breakOff();
                    }
                    ask(FREEZE);
                    sleep(30);
                } else {
                    send(Arrays.copyOfRange(body, sent, to));
                    sent = to;
                    sleep(isStream ? 15 : 0);
                }
            }
            return finish();
        }

        /** Returns the number of bytes of the framed body after which something is done to the answer. */
        private int cutOf(int length, String[] parts) {
            return switch (plan.fault()) {
                case CUT_BY_END, CUT_BY_RESET, KILLED, FROZEN -> {
                    int cut = (int) (length * plan.cut());
                    // Half of the streams break off between two events.
                    int event = parts.length > 1 ? plan.frame(parts[0]).length : 0;
                    yield event > 0 && plan.variant() < 3 ? cut / event * event : cut;
                }
                default -> Integer.MAX_VALUE;
            };
        }

        private boolean breakOff() throws IOException {
            switch (plan.fault()) {
                case KILLED -> {
                    ask(KILL);
                    // Nothing more is sent until the process is killed.
                    sleep(10_000);
                }
                case CUT_BY_RESET -> {
                    sleep(plan.variant() * 4L);
                    connection.setSoLinger(true, 0);
                }
                default -> {
                    // The connection is closed in order.
                }
            }
            note("sig=" + signature + " outcome=broken sent=" + written.size());
            connection.close();
            return false;
        }

        private boolean finish() throws IOException {
            byte[] copy = written.toByteArray();
            byte[] part = Arrays.copyOf(copy, partOf(copy));
            note("sig=" + signature + " outcome=whole sent=" + copy.length);
            switch (plan.fault()) {
                case COPY_AT_ONCE -> send(copy);
                case PART_AT_ONCE -> send(part);
                case COPY_DELAYED -> {
                    sleep(1 + plan.variant() * 8L);
                    send(copy);
                }
                case COPY_BEFORE_NEXT -> beforeNext = copy;
                case PART_BEFORE_NEXT -> beforeNext = part;
                default -> {
                    // Nothing follows.
                }
            }
            boolean isNoAnswer = plan.fault() == AnswerPlan.Fault.SPOILED && plan.variant() > 3;
            return plan.framing() != AnswerPlan.Framing.CONNECTION_END && !isNoAnswer;
        }

        /** Returns the length of a part of a copy: within the status line, within the head, or anywhere. */
        private int partOf(byte[] copy) {
            String text = new String(copy, StandardCharsets.ISO_8859_1);
            int limit =
                    switch (plan.variant()) {
                        case 0, 1 -> text.indexOf("\r\n") + 3;
                        case 2, 3, 4 -> text.indexOf("\r\n\r\n") + 3;
                        default -> copy.length;
                    };
            return Math.min(copy.length, 1 + (int) (limit * plan.cut()));
        }

        private void send(String text) throws IOException {
            send(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        private void send(byte[] bytes) throws IOException {
            written.write(bytes);
            output.write(bytes);
            output.flush();
        }
    }

    private boolean mayBeDisrupted() {
        return System.currentTimeMillis() - disruptedMillis > UNDISTURBED_MILLIS;
    }
}
