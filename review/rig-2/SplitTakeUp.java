import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Case: a route of resumable streams is split between three services. An edge machine is killed, and its clients take
 * their streams up at another one.
 */
final class SplitTakeUp {

    private static final List<String> SERVICES = List.of("llm-a", "llm-b", "llm-c");
    private static final int REPLICAS_OF_EACH = 3;
    private static final int STREAMS = 60;
    private static final int EVENTS = 100;
    private static final int WAIT_MILLIS = 15_000;

    private SplitTakeUp() {}

    /** A stream that broke off: the request that brought its first event, and the last event that arrived. */
    private record Broken(String own, String id, int lastEvent) {}

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, SplitTakeUp::play);
    }

    private static boolean play(Rig rig) throws Exception {
        rig.startMachines(3, 2);
        int number = 0;
        for (String service : SERVICES) {
            Replica.Behaviour behaviour =
                    new Replica.Behaviour(service, true, List.of("m1"), 16, 60, 3_000, head -> false);
            for (int each = 0; each < REPLICAS_OF_EACH; each++) {
                rig.startReplica(behaviour.withEvents(EVENTS), ++number);
            }
        }
        rig.configure(Documents.splitStreams(SERVICES));
        rig.awaitReady();
        Rig.sleep(5_000);
        Queue<Broken> broken = new ConcurrentLinkedQueue<>();
        Thread[] clients = new Thread[STREAMS];
        for (int client = 0; client < STREAMS; client++) {
            clients[client] = new Thread(() -> stream(rig, broken));
            clients[client].start();
            Rig.sleep(15);
        }
        if (Rig.isTrouble()) {
            Rig.sleep(1_500);
            rig.killEdge(0);
        }
        for (Thread client : clients) {
            client.join();
        }
        rig.record("streams that broke off: " + broken.size());
        // New streams at the same machine and time, for the comparison of the rule.
        Queue<Boolean> begun = new ConcurrentLinkedQueue<>();
        Queue<Boolean> continued = new ConcurrentLinkedQueue<>();
        Thread[] later = new Thread[2 * broken.size()];
        int index = 0;
        for (Broken each : broken) {
            later[index++] = new Thread(() -> continued.add(takeUp(rig, each)));
            later[index++] = new Thread(() -> begun.add(begin(rig)));
        }
        for (Thread thread : later) {
            thread.start();
            Rig.sleep(10);
        }
        for (Thread thread : later) {
            thread.join();
        }
        double goesOn = share(continued);
        double begins = share(begun);
        rig.record(String.format(
                "streams taken up: %d, of which go on: %.2f; new streams that begin: %.2f",
                continued.size(), goesOn, begins));
        if (Rig.isTrouble() && (continued.size() < 12 || begins < 0.8)) {
            throw new IllegalStateException("too few streams broke off, or new streams do not begin");
        }
        return !Rig.isTrouble() || goesOn >= begins / 2;
    }

    private static double share(Queue<Boolean> outcomes) {
        return outcomes.stream().filter(each -> each).count() / (double) Math.max(1, outcomes.size());
    }

    private static void stream(Rig rig, Queue<Broken> broken) {
        String own = newIdentity();
        String id = newIdentity();
        Http.Answer answer = call(rig, 0, own, id, Map.of());
        int last = lastEvent(answer.body());
        rig.record("sent " + id + " new to edge 0: status " + answer.status() + ", last event " + last
                + (answer.isWhole() ? ", complete" : ", broken off"));
        if (answer.status() == 200 && !answer.isWhole() && last > 0) {
            broken.add(new Broken(own, id, last));
        }
    }

    /** Takes a stream up once, and returns whether it goes on with the event after the last one. */
    private static boolean takeUp(Rig rig, Broken stream) {
        String id = newIdentity();
        Http.Answer answer = call(
                rig,
                1,
                stream.own(),
                id,
                Map.of("Last-Event-Id", Integer.toString(stream.lastEvent()), "Resumes", stream.id()));
        boolean goesOn = answer.status() == 200 && answer.body().startsWith("id: " + (stream.lastEvent() + 1) + "\n");
        rig.record("sent " + id + " takes up " + stream.id() + " after event " + stream.lastEvent()
                + " at edge 1: status " + answer.status() + (goesOn ? " goes on" : " " + answer.body().strip()));
        return goesOn;
    }

    private static boolean begin(Rig rig) {
        String id = newIdentity();
        Http.Answer answer = call(rig, 1, newIdentity(), id, Map.of());
        boolean begins = answer.status() == 200 && answer.body().startsWith("id: 1\n");
        rig.record("sent " + id + " new to edge 1: status " + answer.status() + (begins ? " begins" : ""));
        return begins;
    }

    private static Http.Answer call(Rig rig, int edge, String own, String id, Map<String, String> more) {
        Map<String, String> fields = new HashMap<>(Map.of(
                "Host", Documents.HOST,
                "X-Credential", Documents.KEY,
                "X-Request-Id", id,
                "X-Deadline-Ms", Integer.toString(WAIT_MILLIS),
                "X-Model", "m1",
                "X-Token-Count", "70," + EVENTS,
                "X-Prompt-Prefix", "a11a11a1:40," + own + ":30"));
        fields.putAll(more);
        try (Http.Connection connection = rig.connect(edge)) {
            return connection.call("POST", "/gen/" + own, fields, ("prompt " + own).getBytes(), WAIT_MILLIS);
        } catch (IOException failure) {
            return new Http.Answer(0, Map.of(), String.valueOf(failure), false);
        }
    }

    private static int lastEvent(String events) {
        int start = events.lastIndexOf("id: ");
        return start < 0 ? 0 : Integer.parseInt(events.substring(start + 4, events.indexOf('\n', start)));
    }

    private static String newIdentity() {
        return Integer.toHexString(ThreadLocalRandom.current().nextInt() | Integer.MIN_VALUE);
    }
}
