import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Case: the requests of one tenant name a model and state no token counts, so that each of them counts as
 * {@code PlainTokens}. The tenant sends many times its usual.
 */
final class NoTokenCount {

    private static final int REPLICAS = 8;
    private static final int RATE_PER_SECOND = 2_000;
    private static final int BURST = 2_000;
    private static final int PLAIN_TOKENS = 200;
    private static final int WINDOW_MILLIS = 8_000;
    private static final double OVERAGE = 0.1;
    private static final int SLACK = 17_000;
    private static final int USUAL_PER_SECOND = 8;
    private static final double HOT_FACTOR = 7.5;
    private static final int HOT_MILLIS = 6_500;

    private NoTokenCount() {}

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, NoTokenCount::play);
    }

    private static boolean play(Rig rig) throws Exception {
        rig.startMachines(3, 2);
        Replica.Behaviour behaviour =
                new Replica.Behaviour("llm", true, List.of("m1"), 16, 40, 3_000, head -> false);
        for (int number = 1; number <= REPLICAS; number++) {
            rig.startReplica(behaviour, number);
        }
        rig.configure(Documents.streamsWithQuota(RATE_PER_SECOND, BURST));
        rig.awaitReady();
        Rig.sleep(4_000);
        while (!send(rig, "warm-up", 0).isServed()) {
            Rig.sleep(500);
        }
        // The quota binds one window after the configuration is in force.
        Rig.sleep(WINDOW_MILLIS + 2_000);
        sendFor(rig, 8_000, USUAL_PER_SECOND);
        rig.record("the tenant sends " + (Rig.isTrouble() ? HOT_FACTOR : 1) + " times its usual");
        sendFor(rig, HOT_MILLIS, USUAL_PER_SECOND * (Rig.isTrouble() ? HOT_FACTOR : 1));
        Rig.sleep(3_000);
        long[] arrivals = rig.runs.stream().mapToLong(Replica.Run::atMillis).sorted().toArray();
        int most = 0;
        int first = 0;
        for (int last = 0; last < arrivals.length; last++) {
            while (arrivals[last] - arrivals[first] >= WINDOW_MILLIS) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        double allowed = (RATE_PER_SECOND * WINDOW_MILLIS / 1e3 + BURST) * (1 + OVERAGE) + SLACK;
        rig.record(String.format("most requests run in a window of %d ms: %d, which are %d tokens; allowed %.0f",
                WINDOW_MILLIS, most, most * PLAIN_TOKENS, allowed));
        return most * PLAIN_TOKENS <= allowed;
    }

    private static void sendFor(Rig rig, int millis, double perSecond) {
        long start = rig.now();
        for (int count = 0; rig.now() < start + millis; count++) {
            int edge = count % 2;
            Rig.thread(() -> send(rig, "request", edge));
            Rig.sleep(start + (long) ((count + 1) * 1e3 / perSecond) - rig.now());
        }
    }

    private static Rig.Attempt send(Rig rig, String kind, int edge) {
        String own = Integer.toHexString(ThreadLocalRandom.current().nextInt() | Integer.MIN_VALUE);
        return rig.send(
                kind,
                edge,
                "POST",
                "/gen/" + own,
                Map.of("Host", Documents.HOST, "X-Credential", Documents.KEY, "X-Model", "m1"),
                ("prompt " + own).getBytes(),
                5_000);
    }
}
