package org.borageproxy.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.Predicate;

import org.borageproxy.time.Deadline;

/**
 * A model engine that streams events, each with the version of the engine's software as its data. What it does with a
 * stream follows from the {@code X-Script} header that the caller sends. It crashes, as an engine does whose process
 * ends, when it begins to answer a request with a part of a prompt that {@link #crashOn} names. As a server of a plain
 * service it answers each request with a short body. Thread safe.
 */
final class EngineStandIn implements AutoCloseable {

    /** The number of events of a stream. */
    static final int EVENT_COUNT = 6;
    /** Sends one event and then nothing until the connection ends. */
    static final String HOLD = "hold";
    /** Breaks off inside the third event of a stream that begins; answers the rest of a resumed stream. */
    static final String BREAK = "break";
    /** Answers the whole stream. */
    static final String WHOLE = "whole";

    /** Time for which a server of a plain service works on a request; it has one slot. */
    private static final long PLAIN_WORK_MILLIS = 60;

    /** Sends a head without end. */
    static final String ENDLESS_HEAD = "endless-head";
    /** Sends interim responses without end. */
    static final String ENDLESS_INTERIM = "endless-interim";
    /** Sends a body without end, which is one event if it is a stream. */
    static final String ENDLESS_BODY = "endless-body";
    /** Pauses for {@link #PAUSE_MILLIS} before the answer and within it. */
    static final String PAUSE = "pause";

    static final long PAUSE_MILLIS = 1_200;
    /** Pauses for {@link #PAUSE_MILLIS} and then refuses the request as not run. */
    static final String REJECT_LATE = "reject-late";
    /** Answers a request for a plain service with a body of {@link #LARGE_BYTES}. */
    static final String LARGE = "large";

    static final int LARGE_BYTES = 480_000;
    /** Pauses for {@link #EVENT_PAUSE_MILLIS} before each event of a stream. */
    static final String SLOW = "slow";

    static final long EVENT_PAUSE_MILLIS = 700;
    /** Sends one event and then a byte of the next one every {@link #BYTE_PAUSE_MILLIS}, without end. */
    static final String STALL = "stall";

    private static final long BYTE_PAUSE_MILLIS = 200;

    private static final String MODELS = "\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}]";
    private static final AtomicLong LAST_INCARNATION = new AtomicLong();

    /** A request of a VM. */
    record Arrival(String vm, long atNanos, String request) {
        boolean isOfCaller() {
            return request.startsWith("POST /p/") || request.startsWith("POST /e/");
        }
    }

    /** An answer that asked a VM for no further requests until a time. */
    record Refusal(String vm, long atNanos, Deadline until) {
        private boolean covers(Arrival arrival, Duration gracePeriod) {
            return arrival.vm().equals(vm)
                    && arrival.atNanos() - atNanos > gracePeriod.toNanos()
                    && !until.hasPassed(arrival.atNanos());
        }
    }

    private final String name;
    private final String software;
    private final String service;
    private final boolean isFramed;
    private final int port;
    private final Set<String> crashingParts = ConcurrentHashMap.newKeySet();
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final List<Long> arrivalsNanos = new CopyOnWriteArrayList<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final AtomicLong sequence = new AtomicLong();
    /** Header lines of all answers, each with its end of line. */
    private volatile String statement = "";

    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final List<Refusal> refusals = new CopyOnWriteArrayList<>();
    /** Seconds for which callers are refused; zero while they are not. */
    private volatile int refusalSeconds;

    private final Map<Socket, String> vmByConnection = new ConcurrentHashMap<>();
    private volatile Function<Socket, String> vmOf = connection -> "";

    private volatile Predicate<Socket> isCutOff = connection -> false;
    private final AtomicInteger endlessAnswers = new AtomicInteger();
    private final Semaphore slot = new Semaphore(1);
    private final List<Long> rejectionsNanos = new ArrayList<>();
    /** Rejections within a second that the server survives; negative if it queues requests instead. */
    private volatile int survivedRejections = -1;

    private volatile int falls;
    private volatile String zone = "a";
    private volatile long incarnation;
    private volatile ServerSocket listening;

    /**
     * Starts an engine, or a server of a plain service.
     *
     * @param service the service, {@link PlatformFleet#ENGINES} or {@link PlatformFleet#PLAIN}
     * @param name the name
     * @param software the version of the software
     * @param isFramed whether streams are sent in chunks; otherwise they have no length and end with the connection
     */
    EngineStandIn(String service, String name, String software, boolean isFramed) throws IOException {
        this.service = service;
        this.name = name;
        this.software = software;
        this.isFramed = isFramed;
        listening = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        port = listening.getLocalPort();
        restart();
    }

    /** Starts a new incarnation, after a crash on the same port. */
    void restart() throws IOException {
        if (listening.isClosed()) {
            ServerSocket reopened = new ServerSocket();
            reopened.setReuseAddress(true);
            reopened.bind(new InetSocketAddress("127.0.0.1", port));
            listening = reopened;
        }
        incarnation = LAST_INCARNATION.incrementAndGet();
        sequence.set(0);
        ServerSocket accepting = listening;
        Thread thread = new Thread(() -> accept(accepting));
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(ServerSocket accepting) {
        while (!accepting.isClosed()) {
            try {
                Socket connection = accepting.accept();
                connection.setTcpNoDelay(true);
                if (isCutOff.test(connection)) {
                    reset(connection);
                    continue;
                }
                connections.add(connection);
                Thread thread = new Thread(() -> serve(connection));
                thread.setDaemon(true);
                thread.start();
            } catch (IOException exception) {
                return;
            }
        }
    }

    private static void reset(Socket connection) throws IOException {
        try {
            connection.setSoLinger(true, 0);
        } catch (SocketException exception) {
            // The other side closed the connection meanwhile.
        }
        connection.close();
    }

    /**
     * Resets the present and all further connections of some callers.
     *
     * @param isCaller tests whether a connection is from such a caller
     */
    void cutOff(Predicate<Socket> isCaller) throws IOException {
        isCutOff = isCaller;
        for (Socket connection : connections) {
            if (isCaller.test(connection)) {
                reset(connection);
            }
        }
    }

    /** Accepts connections of all callers again. */
    void heal() {
        isCutOff = connection -> false;
    }

    private void serve(Socket connection) {
        try (connection) {
            String request = ScriptedServer.read(connection.getInputStream());
            while (!request.isEmpty() && answer(request, connection)) {
                request = ScriptedServer.read(connection.getInputStream());
            }
        } catch (IOException exception) {
            // The other side closed the connection; tests assert on the recorded requests.
        } finally {
            connections.remove(connection);
            vmByConnection.remove(connection);
        }
    }

    /** Answers a request and returns whether the connection stays open. */
    private boolean answer(String request, Socket connection) throws IOException {
        OutputStream output = connection.getOutputStream();
        // The search for the VM takes up to seconds on a machine that is short of processor time.
        long arrivedAtNanos = System.nanoTime();
        Arrival arrival = new Arrival(vmByConnection.computeIfAbsent(connection, vmOf), arrivedAtNanos, request);
        arrivalsNanos.add(arrival.atNanos());
        arrivals.add(arrival);
        int seconds = refusalSeconds;
        if (seconds > 0) {
            refuse(request, arrival, seconds, output);
            return true;
        }
        if (ScriptedServer.asksForName(request)) {
            write(output, ScriptedServer.name(request));
            return true;
        }
        if (request.startsWith("GET /report")) {
            write(
                    output,
                    document("\"Busy\":false,\"Sequence\":0,\"Queued\":0,\"Active\":0,\"KvUsed\":0,"
                            + "\"KvTotal\":90000,\"Stage\":\"mixed\"," + MODELS));
            return true;
        }
        String script = header(request, "X-Script").orElse(WHOLE);
        if (script.startsWith("endless")) {
            requests.add(request);
            writeEndlessly(script, header(request, "X-Request-Id").orElse(""), output);
            return false;
        }
        if (script.equals(PAUSE)) {
            pause();
        }
        if (request.startsWith("POST /p/")) {
            requests.add(request);
            return answerPlainly(script, header(request, "X-Request-Id").orElse(""), output);
        }
        if (!request.startsWith("POST /e/")) {
            write(output, document(""));
            return true;
        }
        requests.add(request);
        String head = "HTTP/1.1 200 OK\r\n" + statement
                + "Content-Type: text/event-stream\r\nX-Server-Signature: s\r\nX-Request-Id: "
                + header(request, "X-Request-Id").orElse("") + "\r\n"
                + (isFramed ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
        String parts = header(request, "X-Prompt-Prefix").orElse("");
        if (crashingParts.stream().anyMatch(parts::contains)) {
            write(output, head + (isFramed ? "" : "id: 1\nda"));
            crash();
            return false;
        }
        return stream(request, head, output, connection.getInputStream());
    }

    /** Answers a request for a plain service and returns whether the connection stays open. */
    private boolean answerPlainly(String script, String identity, OutputStream output) throws IOException {
        if (script.equals(REJECT_LATE)) {
            pause();
            write(output, rejection(identity));
            return true;
        }
        if (script.equals(LARGE)) {
            String head = "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Request-Id: " + identity;
            write(output, head + "\r\nContent-Length: " + LARGE_BYTES + "\r\n\r\n" + "x".repeat(LARGE_BYTES));
            return true;
        }
        if (!workPlainly()) {
            write(output, rejection(identity));
            return recordRejection();
        }
        write(
                output,
                document("")
                        .replace("\r\n\r\n", "\r\nX-Server-Signature: s\r\nX-Request-Id: " + identity + "\r\n\r\n"));
        return true;
    }

    private boolean stream(String request, String head, OutputStream output, InputStream input) throws IOException {
        Optional<String> resumedAfter = header(request, "Last-Event-Id");
        int first = resumedAfter.map(Integer::parseInt).orElse(0) + 1;
        String script = header(request, "X-Script").orElse(WHOLE);
        write(output, head);
        if (script.equals(HOLD) && resumedAfter.isEmpty()) {
            write(output, framed(event(first)));
            while (input.read() >= 0) {
                // Discards input until the connection ends.
            }
            return false;
        }
        if (script.equals(BREAK) && resumedAfter.isEmpty()) {
            write(output, framed(event(1) + event(2) + "id: 3\ndata: "));
            return false;
        }
        if (script.equals(PAUSE)) {
            write(output, framed(event(first)));
            first++;
            pause();
        }
        if (script.equals(STALL)) {
            write(output, framed(event(first) + "id: 2\ndata: "));
            writeByteByByte(output);
            return false;
        }
        while (script.equals(SLOW) && first < EVENT_COUNT) {
            pause(EVENT_PAUSE_MILLIS);
            write(output, framed(event(first)));
            first++;
        }
        StringBuilder events = new StringBuilder();
        for (int number = first; number <= EVENT_COUNT; number++) {
            events.append(event(number));
        }
        write(output, framed(events.toString()) + (isFramed ? "0\r\n\r\n" : ""));
        return isFramed;
    }

    private String event(int number) {
        return "id: " + number + "\ndata: " + software + "\n\n";
    }

    private String framed(String text) {
        return isFramed ? Integer.toHexString(text.length()) + "\r\n" + text + "\r\n" : text;
    }

    private void writeEndlessly(String script, String identity, OutputStream output) throws IOException {
        String head = "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Request-Id: " + identity + "\r\n";
        String start =
                script.equals(ENDLESS_BODY) ? head + "\r\ndata: " : script.equals(ENDLESS_HEAD) ? head + "X: " : "";
        String part = script.equals(ENDLESS_INTERIM) ? "HTTP/1.1 100 Continue\r\n\r\n" : "a".repeat(10_000);
        endlessAnswers.incrementAndGet();
        try {
            write(output, start);
            while (isRunning()) {
                write(output, part);
            }
        } finally {
            endlessAnswers.decrementAndGet();
        }
    }

    private void writeByteByByte(OutputStream output) throws IOException {
        endlessAnswers.incrementAndGet();
        try {
            while (isRunning()) {
                pause(BYTE_PAUSE_MILLIS);
                write(output, framed("a"));
            }
        } finally {
            endlessAnswers.decrementAndGet();
        }
    }

    /** Returns the number of answers without end that are being sent. */
    int endlessAnswers() {
        return endlessAnswers.get();
    }

    private static void pause() throws InterruptedIOException {
        pause(PAUSE_MILLIS);
    }

    private static void pause(long millis) throws InterruptedIOException {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            throw new InterruptedIOException("stopped");
        }
    }

    /** Works on a request in the only slot, and returns {@code false} if it is brittle and the slot is taken. */
    private boolean workPlainly() throws IOException {
        boolean isFree = slot.tryAcquire();
        if (!isFree && survivedRejections >= 0) {
            return false;
        }
        try {
            Thread.sleep(PLAIN_WORK_MILLIS);
            return true;
        } catch (InterruptedException exception) {
            throw new InterruptedIOException("stopped");
        } finally {
            if (isFree) {
                slot.release();
            }
        }
    }

    private String rejection(String identity) {
        return "HTTP/1.1 503 Service Unavailable\r\n" + statement + "X-Not-Executed: 1\r\nX-Request-Id: " + identity
                + "\r\nContent-Length: 0\r\n\r\n";
    }

    /** Counts a rejection and returns whether the server survives it. */
    private synchronized boolean recordRejection() throws IOException {
        long nowNanos = System.nanoTime();
        rejectionsNanos.removeIf(each -> nowNanos - each > TimeUnit.SECONDS.toNanos(1));
        rejectionsNanos.add(nowNanos);
        if (rejectionsNanos.size() > survivedRejections) {
            rejectionsNanos.clear();
            falls++;
            crash();
            return false;
        }
        return true;
    }

    /**
     * Makes a server of a plain service reject requests while its slot is taken, and end after too many rejections
     * within a second.
     *
     * @param rejections the rejections within a second that it survives, which it states in its answers
     */
    void makeBrittle(int rejections) {
        survivedRejections = rejections;
        statement = "Server-Brittle: " + rejections + "\r\n";
    }

    /** Sets the availability zone; must be called before the first heartbeat of an incarnation. */
    void placeInZone(String newZone) {
        zone = newZone;
    }

    /** Returns how often the server has ended since it is brittle. */
    int falls() {
        return falls;
    }

    private String document(String fields) {
        String body = "{" + fields + "}";
        return "HTTP/1.1 200 OK\r\n" + statement + "Content-Type: application/json\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.UTF_8));
        output.flush();
    }

    private static Optional<String> header(String request, String name) {
        String field = name.toLowerCase(Locale.ROOT) + ": ";
        return request.lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(field))
                .map(line -> line.substring(field.length()).trim())
                .findFirst();
    }

    /**
     * Notes from now on which VM sends a request.
     *
     * @param newVmOf returns the VM at the other end of a connection
     */
    void identifyCallers(Function<Socket, String> newVmOf) {
        vmOf = newVmOf;
        vmByConnection.clear();
    }

    /**
     * Refuses all requests, each with the time for which no further ones are wanted from the VM that sent it.
     *
     * @param seconds the time; zero to take requests again
     */
    void refuseFor(int seconds) {
        refusalSeconds = seconds;
    }

    /** Answers a request of a VM that is refused. */
    private void refuse(String request, Arrival arrival, int seconds, OutputStream output) throws IOException {
        long nowNanos = System.nanoTime();
        refusals.add(new Refusal(arrival.vm(), nowNanos, Deadline.after(nowNanos, Duration.ofSeconds(seconds))));
        write(
                output,
                rejection(header(request, "X-Request-Id").orElse(""))
                        .replace("X-Not-Executed", "Retry-After: " + seconds + "\r\nX-Not-Executed"));
    }

    /**
     * Returns the most requests of a VM that arrived between a grace period after it had been refused and the end of
     * the stated time.
     *
     * @param gracePeriod the time in which requests may still be on their way
     */
    int mostArrivalsWithinRefusal(Duration gracePeriod) {
        return refusals.stream()
                .mapToInt(refusal -> (int) arrivals.stream()
                        .filter(each -> refusal.covers(each, gracePeriod))
                        .count())
                .max()
                .orElse(0);
    }

    /** Returns the refusals in their order. */
    List<Refusal> refusals() {
        return refusals;
    }

    /** Returns the requests of all kinds that have arrived since {@link #forgetRefusals}. */
    List<Arrival> arrivals() {
        return arrivals;
    }

    /** Returns the VMs, times and first lines of the arrivals. */
    String describeArrivals() {
        return arrivals.stream()
                .map(each -> each.vm() + " " + each.atNanos() + " "
                        + each.request().lines().findFirst().orElse(""))
                .toList()
                .toString();
    }

    /** Forgets arrivals and refusals. */
    void forgetRefusals() {
        arrivals.clear();
        refusals.clear();
    }

    /** Makes the engine crash when it begins to answer a request with this part of a prompt. */
    void crashOn(String part) {
        crashingParts.add(part);
    }

    /** Ends as a process does that is killed. */
    void crash() throws IOException {
        listening.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }

    /**
     * Sets what the engine states in all further answers.
     *
     * @param headerLines header lines, each with its end of line; empty for none
     */
    void state(String headerLines) {
        statement = headerLines;
    }

    /** Returns the clock readings at which requests arrived, those of callers and all others. */
    List<Long> arrivalsNanos() {
        return arrivalsNanos;
    }

    /** Whether the engine runs; it does not between a crash and the next {@link #restart}. */
    boolean isRunning() {
        return !listening.isClosed();
    }

    /** Returns the next heartbeat of the present incarnation. */
    String heartbeat() {
        boolean isEngine = service.equals(PlatformFleet.ENGINES);
        return "{\"Service\":\"" + service + "\",\"Address\":\"127.0.0.1:" + port + "\",\"Zone\":\"" + zone
                + "\",\"Version\":\""
                + software
                + "\",\"Slots\":" + (isEngine ? 64 : 1) + ",\"State\":\"ready\",\"ColdRemainingMs\":0"
                + (isEngine ? ",\"Stage\":\"mixed\"," + MODELS : "")
                + ",\"Sequence\":" + sequence.incrementAndGet() + ",\"born\":" + incarnation + "}";
    }

    String name() {
        return name;
    }

    String software() {
        return software;
    }

    /** Returns the received requests of callers in order of arrival, each with head and body. */
    List<String> requests() {
        return requests;
    }

    @Override
    public void close() throws IOException {
        crash();
    }
}
