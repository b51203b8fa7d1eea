import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

/**
 * A stand-in for a replica: it registers with heartbeats, runs requests, and crashes on the requests that a case names.
 * A crash closes its listening socket and all connections, as the kernel does for a process that is killed. It is back
 * at its address after some seconds, with a new name.
 */
final class Replica {

    /** A request that has begun to run, as the replica sees it. */
    record Run(long atMillis, String replica, String id, String path, Http.Head head, int bodyBytes, boolean crashed) {}

    /** What one kind of replica does. */
    record Behaviour(
            String service,
            boolean isEngine,
            List<String> models,
            int slots,
            int workMillis,
            int downMillis,
            int events,
            int longWorkMillis,
            Predicate<Http.Head> crashesOn) {

        private static final int USUAL_EVENTS = 4;

        Behaviour(
                String service,
                boolean isEngine,
                List<String> models,
                int slots,
                int workMillis,
                int downMillis,
                Predicate<Http.Head> crashesOn) {
            this(service, isEngine, models, slots, workMillis, downMillis, USUAL_EVENTS, workMillis, crashesOn);
        }

        /** Returns a copy whose streams have more or fewer events. */
        Behaviour withEvents(int count) {
            return new Behaviour(
                    service, isEngine, models, slots, workMillis, downMillis, count, longWorkMillis, crashesOn);
        }

        /** Returns a copy that works longer on requests whose path says so. */
        Behaviour withLongWork(int millis) {
            return new Behaviour(service, isEngine, models, slots, workMillis, downMillis, events, millis, crashesOn);
        }
    }

    private final Rig rig;
    private final Behaviour behaviour;
    private final String host;
    private final int port;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger active = new AtomicInteger();
    private final AtomicLong signatures = new AtomicLong();
    private volatile ServerSocket listener;
    private volatile String name;
    private volatile long born;
    private volatile long sequence;
    private volatile boolean isUp;
    private volatile boolean isEnded;

    Replica(Rig rig, Behaviour behaviour, String host, int port) {
        this.rig = rig;
        this.behaviour = behaviour;
        this.host = host;
        this.port = port;
    }

    void start() throws IOException {
        born = System.currentTimeMillis();
        sequence = 0;
        name = "i-" + Long.toHexString(ThreadLocalRandom.current().nextLong() | Long.MIN_VALUE);
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(new java.net.InetSocketAddress(InetAddress.getByName(host), port), 128);
        listener = opened;
        isUp = true;
        rig.record("replica-up " + name + " " + host + ":" + port + " " + behaviour.service());
        Rig.thread(() -> accept(opened));
        String started = name;
        Rig.thread(() -> beat(started));
    }

    String name() {
        return name;
    }

    void end() {
        isEnded = true;
        closeAll();
    }

    private void closeAll() {
        isUp = false;
        try {
            listener.close();
        } catch (IOException ignored) {
            // Closed already.
        }
        for (Socket socket : sockets) {
            try {
                socket.close();
            } catch (IOException ignored) {
                // Closed already.
            }
        }
        sockets.clear();
    }

    /** Ends as by a crash and comes back later under a new name. */
    synchronized void crash(String why) {
        if (!isUp || isEnded) {
            return;
        }
        rig.record("replica-crash " + name + " " + why);
        rig.crashes.add(new Rig.Crash(rig.now(), name, why));
        closeAll();
        Rig.thread(() -> {
            Rig.sleep(behaviour.downMillis());
            if (!isEnded) {
                try {
                    start();
                } catch (IOException failure) {
                    rig.record("replica-not-restarted " + failure);
                }
            }
        });
    }

    private void accept(ServerSocket opened) {
        while (isUp && opened == listener) {
            try {
                Socket socket = opened.accept();
                sockets.add(socket);
                Rig.thread(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(20_000);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (isUp) {
                Http.Head head = Http.readHead(in);
                int length = head.field("content-length").isEmpty() ? 0 : Integer.parseInt(head.field("content-length"));
                Http.readExactly(in, length);
                answer(head, length, out);
            }
        } catch (IOException | RuntimeException ended) {
            // The peer has closed the connection, or the replica has ended.
        } finally {
            sockets.remove(socket);
        }
    }

    private void answer(Http.Head head, int bodyBytes, OutputStream out) throws IOException {
        String[] first = head.firstLine().split(" ");
        String expected = head.field("x-expect-replica");
        String id = head.field("x-request-id");
        if (!expected.isEmpty() && !expected.equals(name)) {
            write(out, 421, "X-Not-Executed: 1\r\nX-Replica-Id: " + name + "\r\nX-Request-Id: " + id + "\r\n", "");
            return;
        }
        if (first[1].equals("/healthz")) {
            write(out, 200, "X-Replica-Id: " + name + "\r\n", "");
            return;
        }
        if (first[1].equals("/report")) {
            write(out, 200, "Content-Type: application/json\r\n", report());
            return;
        }
        if (first[1].equals("/order")) {
            write(out, 200, "Content-Type: application/json\r\n", "{}");
            return;
        }
        if (id.isEmpty()) {
            write(out, 400, "X-Not-Executed: 1\r\n", "");
            return;
        }
        if (active.incrementAndGet() > behaviour.slots() * 2) {
            active.decrementAndGet();
            write(out, 503, "X-Not-Executed: 1\r\nX-Request-Id: " + id + "\r\n", "");
            return;
        }
        try {
            run(head, id, first[1], bodyBytes, out);
        } finally {
            active.decrementAndGet();
        }
    }

    private void run(Http.Head head, String id, String path, int bodyBytes, OutputStream out) throws IOException {
        boolean crashes = behaviour.crashesOn().test(head);
        Run run = new Run(rig.now(), name, id, path, head, bodyBytes, crashes);
        rig.runs.add(run);
        rig.record("run " + id + " at " + name + " path=" + path + " body_bytes=" + bodyBytes
                + (crashes ? " crashes the replica" : ""));
        Rig.sleep(path.contains("/long") ? behaviour.longWorkMillis() : behaviour.workMillis());
        if (crashes) {
            crash("request " + id);
            return;
        }
        String signature = "X-Request-Id: " + id + "\r\nX-Server-Signature: " + name + "." + signatures.incrementAndGet()
                + "\r\n";
        if (!behaviour.isEngine()) {
            write(out, 200, signature + "Content-Type: text/plain\r\n", "done " + id);
            return;
        }
        out.write(("HTTP/1.1 200 OK\r\n" + signature
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        String last = head.field("last-event-id");
        for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; event <= behaviour.events(); event++) {
            byte[] text = ("id: " + event + "\ndata: " + id + "\n\n").getBytes(StandardCharsets.ISO_8859_1);
            out.write((Integer.toHexString(text.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(text);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            Rig.sleep(40);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static void write(OutputStream out, int status, String fields, String body) throws IOException {
        byte[] content = body.getBytes(StandardCharsets.ISO_8859_1);
        out.write(("HTTP/1.1 " + status + " x\r\n" + fields + "Content-Length: " + content.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.write(content);
        out.flush();
    }

    private String models() {
        StringBuilder text = new StringBuilder("[");
        for (String model : behaviour.models()) {
            text.append(text.length() > 1 ? "," : "")
                    .append("{\"Name\":\"")
                    .append(model)
                    .append("\",\"Version\":1,\"Adapters\":[]}");
        }
        return text.append("]").toString();
    }

    private String report() {
        return "{\"Stage\":\"mixed\",\"Models\":" + models() + ",\"Busy\":false,\"Sequence\":0,\"Queued\":0,\"Active\":"
                + active.get() + ",\"KvUsed\":0,\"KvTotal\":90000,\"Handles\":0,\"born\":" + born + "}";
    }

    private void beat(String started) {
        while (isUp && started.equals(name)) {
            sequence++;
            String body = "{\"Service\":\"" + behaviour.service() + "\",\"Address\":\"" + host + ":" + port
                    + "\",\"Zone\":\"" + Rig.ZONE + "\",\"Version\":\"v1\",\"Slots\":" + behaviour.slots()
                    + ",\"State\":\"ready\",\"ColdRemainingMs\":0,"
                    + (behaviour.isEngine() ? "\"Stage\":\"mixed\",\"Models\":" + models() + "," : "") + "\"Sequence\":"
                    + sequence + ",\"born\":" + born + "}";
            for (int attempt = 0; attempt < 4; attempt++) {
                try {
                    Http.Answer answer = Http.call(
                            rig.anyCore(),
                            Rig.CONTROL_PORT,
                            "POST",
                            "/Replicas.Heartbeat/" + started,
                            Map.of("Content-Type", "application/json"),
                            body.getBytes(StandardCharsets.ISO_8859_1),
                            1_000);
                    if (answer.status() / 100 == 2) {
                        break;
                    }
                } catch (IOException failure) {
                    // The next machine is called.
                }
            }
            Rig.sleep(1_200);
        }
    }
}
