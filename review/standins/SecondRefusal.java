import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of two model replicas is slow, so that a request arrives before the adapter that it needs, and sends the answer
 * by which it turns the request away a second time, when the next answer on the connection is due.
 */
final class SecondRefusal {

    private static final int ROUNDS = 6;
    /** The number of requests without an adapter in each round. */
    private static final int OTHERS = 60;
    private static final int OTHERS_INTERVAL_MILLIS = 40;
    private static final int BURST_DELAY_MILLIS = 60;
    private static final int ROUND_MILLIS = 1_500;
    private static final int ADAPTERS = 94;
    /** The time after which the network sends a lost packet again. */
    private static final long RESEND_MILLIS = 300;
    /** The time for which an adapter is loaded. */
    private static final long ADAPTER_MILLIS = 15;
    private static final long PREFILL_MILLIS = 20;
    /** The largest share of its answers that the faulty replica spoils. */
    private static final double SPOILED_SHARE = 0.02;

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, SecondRefusal::holds);
    }

    /** An engine that counts the runs of each request, and may send refusals twice. */
    private static final class Counting extends Engine {
        private final Map<String, AtomicInteger> runs;
        private final boolean isFaulty;
        private final AtomicInteger answers = new AtomicInteger();
        private final AtomicInteger spoiled = new AtomicInteger();
        /** The requests one of whose packets was lost. */
        private final Set<String> delayed = ConcurrentHashMap.newKeySet();
        private final Map<Socket, String> copies = new ConcurrentHashMap<>();

        Counting(String id, String host, Record record, Map<String, AtomicInteger> runs, boolean isFaulty)
                throws IOException {
            super(id, host, record, ADAPTER_MILLIS);
            this.runs = runs;
            this.isFaulty = isFaulty;
        }

        @Override
        boolean answer(Socket connection, Http.Head head, byte[] body, OutputStream output) throws IOException {
            if (!head.path().startsWith("/triage/")) {
                return super.answer(connection, head, body, output);
            }
            String request = head.field("X-Request-Id").orElse("?");
            if (isFaulty && request.startsWith("late") && delayed.add(request)) {
                record.line(id + " gets " + request + " late, since a packet is lost");
                pause(RESEND_MILLIS);
            }
            String copy = copies.remove(connection);
            if (copy != null) {
                spoiled.incrementAndGet();
                record.line(id + " sends a refusal a second time when the answer to " + request + " is due: "
                        + copy.lines().filter(each -> each.startsWith("X-Request-Id")).findFirst().orElse(""));
                write(output, copy);
            }
            answers.incrementAndGet();
            String model = head.field("X-Model").orElse("");
            String adapter = model.contains("/") ? model.substring(model.indexOf('/') + 1) : "";
            int status = use(adapter);
            if (status != 200) {
                record.line(id + " turns " + request + " away with " + status + ", " + model);
                String refusal = head(status, head) + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                if (isFaulty && spoiled.get() + copies.size() + 1 <= SPOILED_SHARE * answers.get()) {
                    copies.put(connection, refusal);
                }
                write(output, refusal);
                return true;
            }
            active.incrementAndGet();
            try {
                pause(PREFILL_MILLIS);
                int count = runs.computeIfAbsent(request, key -> new AtomicInteger()).incrementAndGet();
                if (!adapter.isEmpty()) {
                    record.line(id + " runs " + request + (count > 1 ? ", run number " + count : ""));
                }
                stream(output, head, 11, 12);
            } finally {
                active.decrementAndGet();
                endUse(adapter);
            }
            return true;
        }
    }

    private static boolean holds(Path folder, Record record, boolean isTroubled) throws Exception {
        try (Fleet fleet = new Fleet(folder, record, 3, 2)) {
            if (!fleet.publish(Documents.configuration(1), Duration.ofSeconds(30))) {
                throw new IllegalStateException("no configuration");
            }
            fleet.awaitReady(Duration.ofSeconds(30));
            Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
            Counting faulty = new Counting("i-llm1", fleet.replicaAddress(1), record, runs, isTroubled);
            faulty.begin();
            fleet.add(faulty);
            for (int number = 2; number <= 4; number++) {
                fleet.add(new Replica("i-api" + number, "api", fleet.replicaAddress(number), record).begin());
            }
            // Orders are sent from LeaseMs after the election on.
            Thread.sleep(6_000);
            ExecutorService clients = Executors.newCachedThreadPool();
            Set<String> refused = ConcurrentHashMap.newKeySet();
            String first = fleet.entries.get(0);
            String second = fleet.entries.get(1);
            int next = 0;
            for (int round = 1; round <= ROUNDS; round++) {
                List<Future<?>> others = new ArrayList<>();
                for (int number = 1; number <= OTHERS; number++) {
                    String id = "other-" + round + "-" + number;
                    others.add(clients.submit(() -> {
                        call(fleet, second, id, "m1", refused, record);
                        return null;
                    }));
                    Thread.sleep(OTHERS_INTERVAL_MILLIS);
                }
                for (Future<?> other : others) {
                    other.get();
                }
                List<String> models = new ArrayList<>();
                for (int number = 0; number <= Engine.SLOTS; number++) {
                    models.add("m1/a" + (1 + next++ % ADAPTERS));
                }
                for (int number = 0; number <= Engine.SLOTS; number++) {
                    String id = (number == 0 ? "late-" + round : "burst-" + round + "-" + number);
                    String entry = number == 0 ? first : second;
                    String model = models.get(number);
                    clients.submit(() -> {
                        call(fleet, entry, id, model, refused, record);
                        return null;
                    });
                    Thread.sleep(number == 0 ? BURST_DELAY_MILLIS : 0);
                }
                Thread.sleep(ROUND_MILLIS);
            }
            clients.shutdown();
            clients.awaitTermination(10, TimeUnit.SECONDS);
            for (Counting engine : List.of(faulty)) {
                record.line(engine.id + " answered " + engine.answers + ", sent " + engine.spoiled + " answers twice");
            }
            List<String> twice = new ArrayList<>();
            runs.forEach((request, count) -> {
                if (count.get() > 1) {
                    twice.add(request + " ran " + count.get() + " times");
                }
            });
            record.line("requests that ran: " + runs.size() + ", more than once: " + twice);
            record.line("orders beyond the places: " + faulty.overfull);
            List<String> refusedAndRun = refused.stream().filter(runs::containsKey).toList();
            record.line("requests answered 429 or 503: " + refused.size() + ", of which ran: " + refusedAndRun);
            return twice.isEmpty() && refusedAndRun.isEmpty();
        }
    }

    private static void call(
            Fleet fleet, String entry, String id, String model, Set<String> refused, Record record) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(fleet.front(entry), 1_000);
            socket.setSoTimeout(10_000);
            socket.getOutputStream()
                    .write(Documents.request(
                                    "/triage/1",
                                    id,
                                    6_000,
                                    "X-Model: " + model + "\r\nX-Token-Count: 180,22\r\nX-Prompt-Prefix: "
                                            + Integer.toHexString(id.hashCode()) + ":180\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            Http.Answer answer = Http.readAnswer(socket.getInputStream(), () -> {});
            if (answer.head().status() == 503 || answer.head().status() == 429) {
                refused.add(id);
            }
            record.line("answered " + id + " for " + model + ": " + answer.head().firstLine() + ", "
                    + answer.body().length + " bytes, " + answer.end());
        }
    }
}
