import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Case: one request with a body of 300 KB crashes each replica that begins to run it, and its client sends it again and
 * again, with the same path and body. Other clients send small orders meanwhile.
 */
final class LargeBody {

    private static final int REPLICAS = 6;
    private static final int BODY_BYTES = 300_000;
    private static final int SENT_COUNT = 24;

    private LargeBody() {}

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, LargeBody::play);
    }

    private static boolean play(Rig rig) throws Exception {
        rig.startMachines(3, 2);
        Replica.Behaviour behaviour = new Replica.Behaviour(
                "api",
                false,
                List.of(),
                6,
                60,
                2_500,
                head -> Rig.isTrouble() && head.firstLine().contains("/commit/bad"));
        for (int number = 1; number <= REPLICAS; number++) {
            rig.startReplica(behaviour, number);
        }
        rig.configure(Documents.application());
        rig.awaitReady();
        Rig.sleep(3_000);
        while (!sendLookup(rig, 0).isServed()) {
            Rig.sleep(500);
        }
        int bodyBytes = System.getenv("BODY_BYTES") == null ? BODY_BYTES : Integer.parseInt(System.getenv("BODY_BYTES"));
        byte[] body = new byte[bodyBytes];
        Arrays.fill(body, (byte) 'x');
        for (int edge = 0; edge < 2; edge++) {
            int at = edge;
            Rig.thread(() -> sendOrders(rig, at));
        }
        for (int count = 0; count < SENT_COUNT; count++) {
            int edge = count % 2;
            rig.send("repeated", edge, "POST", "/commit/bad", fields(), body, 4_000);
            Rig.sleep(1_500);
        }
        List<Rig.Crash> crashes = List.copyOf(rig.crashes);
        long late = 0;
        if (crashes.size() >= 3) {
            long from = crashes.get(2).atMillis() + Rig.STABLE_MILLIS;
            late = rig.runs.stream()
                    .filter(run -> run.crashed() && run.atMillis() > from)
                    .count();
            rig.record("third crash at " + crashes.get(2).atMillis() + ", the rule counts from " + from);
        }
        long lost = rig.attempts.stream()
                .filter(attempt -> attempt.kind().equals("order") && !attempt.isServed())
                .filter(attempt -> rig.runs.stream().anyMatch(run -> run.id().equals(attempt.id())))
                .count();
        rig.record("orders of other clients that ran and were not answered: " + lost);
        rig.record("crashes " + crashes.size() + ", retries that reached replicas after that: " + late + " (3 allowed)");
        return late <= 3;
    }

    private static void sendOrders(Rig rig, int edge) {
        for (int count = 0; ; count++) {
            byte[] order = ("order " + edge + " " + count).getBytes();
            Rig.thread(() -> rig.send("order", edge, "POST", "/commit/order", fields(), order, 4_000));
            Rig.sleep(60);
        }
    }

    private static Rig.Attempt sendLookup(Rig rig, int edge) {
        return rig.send("lookup", edge, "GET", "/lookup/1", fields(), new byte[0], 2_000);
    }

    private static Map<String, String> fields() {
        return Map.of("Host", Documents.HOST, "X-Credential", Documents.KEY);
    }
}
