import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** A sound model replica, which holds one model and loads adapters as ordered. */
class Engine extends Replica {

    /** The places for adapters. */
    static final int SLOTS = 8;

    /** The orders that exceeded the places. */
    final AtomicInteger overfull = new AtomicInteger();

    private final long adapterMillis;
    /** The adapters that were ordered, with the time at which each is present. */
    private final Map<String, Long> presentAtNanos = new ConcurrentHashMap<>();
    /** The number of requests that use each adapter. */
    private final Map<String, AtomicInteger> users = new ConcurrentHashMap<>();
    /** The adapters that are dropped once no request uses them. */
    private final Set<String> leaving = ConcurrentHashMap.newKeySet();
    private long sequence;
    private long highestFence;
    final AtomicInteger active = new AtomicInteger();

    Engine(String id, String host, Record record, long adapterMillis) throws IOException {
        this(id, host, 0, "v1", record, adapterMillis);
    }

    Engine(String id, String host, int port, String version, Record record, long adapterMillis) throws IOException {
        super(id, "llm", host, port, version, record);
        this.adapterMillis = adapterMillis;
    }

    @Override
    String ownFields() {
        return "\"Slots\":64,\"Stage\":\"mixed\"," + models() + ",\"Available\":{\"InMemory\":[\"m1\"],\"OnDisk\":[\"m1\"]},";
    }

    private String models() {
        return "\"Models\":[{\"Name\":\"m1\",\"Version\":1,\"Adapters\":[" + adapters(true) + "]}]";
    }

    private String adapters(boolean arePresent) {
        long nowNanos = System.nanoTime();
        return presentAtNanos.entrySet().stream()
                .filter(each -> nowNanos - each.getValue() >= 0 == arePresent)
                .map(each -> arePresent ? "\"" + each.getKey() + "\"" : "\"m1/" + each.getKey() + "@1\"")
                .collect(Collectors.joining(","));
    }

    final boolean isPresent(String adapter) {
        Long at = presentAtNanos.get(adapter);
        return adapter.isEmpty() || at != null && System.nanoTime() - at >= 0;
    }

    @Override
    boolean answer(Socket connection, Http.Head head, byte[] body, OutputStream output) throws IOException {
        if (head.path().equals("/report")) {
            return report(head, output);
        }
        if (head.path().equals("/order")) {
            String text = new String(body, StandardCharsets.UTF_8);
            int status = order(text);
            record.line(id + " order " + text + " -> " + status);
            write(output, "HTTP/1.1 " + status + " Status\r\nContent-Length: 2\r\n\r\n{}");
            return true;
        }
        return super.answer(connection, head, body, output);
    }

    boolean report(Http.Head head, OutputStream output) throws IOException {
        String text = "{\"Stage\":\"mixed\"," + models() + ",\"Pending\":[" + adapters(false) + "],\"Busy\":false,"
                + "\"Sequence\":" + sequence() + ",\"Queued\":0,\"Active\":" + active.get()
                + ",\"KvUsed\":0,\"KvTotal\":137841,\"Handles\":0,\"born\":" + born() + "}";
        write(output, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + text.length()
                + "\r\n\r\n" + text);
        return true;
    }

    private synchronized long sequence() {
        return sequence;
    }

    private static String field(String text, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\":\"?([^\",}]*)").matcher(text);
        return matcher.find() ? matcher.group(1) : "";
    }

    private synchronized int order(String text) {
        long fence = Long.parseLong(field(text, "FencingToken"));
        if (fence < highestFence) {
            return 412;
        }
        highestFence = fence;
        String adapter = field(text, "Adapter");
        String expected = field(text, "Expected");
        if (!expected.isEmpty() && Long.parseLong(expected) != sequence) {
            return 409;
        }
        if (adapter.isEmpty()) {
            return field(text, "Operation").equals("load") ? 200 : 409;
        }
        if (field(text, "Operation").equals("unload")) {
            sequence++;
            if (users(adapter).get() > 0) {
                leaving.add(adapter);
                return 202;
            }
            presentAtNanos.remove(adapter);
            return 200;
        }
        if (presentAtNanos.containsKey(adapter)) {
            return 200;
        }
        if (presentAtNanos.size() >= SLOTS) {
            record.line(id + " is ordered to load more adapters than it has places for");
            overfull.incrementAndGet();
        }
        sequence++;
        presentAtNanos.put(adapter, System.nanoTime() + adapterMillis * 1_000_000);
        return 202;
    }

    private AtomicInteger users(String adapter) {
        return users.computeIfAbsent(adapter, key -> new AtomicInteger());
    }

    /** Begins to use an adapter; returns 200, 421 if it is absent, or 503 while an order concerns it. */
    final synchronized int use(String adapter) {
        if (adapter.isEmpty()) {
            return 200;
        }
        if (!presentAtNanos.containsKey(adapter)) {
            return 421;
        }
        if (leaving.contains(adapter) || !isPresent(adapter)) {
            return 503;
        }
        users(adapter).incrementAndGet();
        return 200;
    }

    final synchronized void endUse(String adapter) {
        if (!adapter.isEmpty() && users(adapter).decrementAndGet() == 0 && leaving.remove(adapter)) {
            presentAtNanos.remove(adapter);
        }
    }

    /** Writes a stream in chunks, one event each interval. */
    final void stream(OutputStream output, Http.Head head, int events, long intervalMillis) throws IOException {
        write(output, head(200, head) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int number = 1; number <= events; number++) {
            pause(intervalMillis);
            String event = "id: " + number + "\ndata: token\n\n";
            write(output, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        write(output, "0\r\n\r\n");
    }
}
