import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Case: the prompts of one caller have eighteen parts that other requests share, as a conversation with many turns has.
 * In some of them the last of these parts crashes each replica that begins to write an answer on it.
 */
final class LongPrompt {

    private static final String BAD = "bad0bad0";
    private static final int REPLICAS = 8;
    private static final int SHARED_PARTS = 17;
    private static final int TROUBLE_MILLIS = 40_000;

    private LongPrompt() {}

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, LongPrompt::play);
    }

    private static boolean play(Rig rig) throws Exception {
        rig.startMachines(3, 2);
        Replica.Behaviour behaviour = new Replica.Behaviour(
                "llm", true, List.of("m1"), 16, 80, 2_000, head -> head.field("x-prompt-prefix").contains(BAD));
        for (int number = 1; number <= REPLICAS; number++) {
            rig.startReplica(behaviour, number);
        }
        rig.configure(Documents.streams(1));
        rig.awaitReady();
        Rig.sleep(4_000);
        while (!send(rig, "warm-up", 0, "").isServed()) {
            Rig.sleep(500);
        }
        for (int edge = 0; edge < 2; edge++) {
            int at = edge;
            Rig.thread(() -> {
                while (true) {
                    Rig.thread(() -> send(rig, "sound", at, ""));
                    Rig.sleep(330);
                }
            });
        }
        Rig.sleep(8_000);
        rig.record("requests with the bad part begin");
        long end = rig.now() + TROUBLE_MILLIS;
        int next = 0;
        while (rig.now() < end) {
            int edge = next++ % 2;
            if (Rig.isTrouble()) {
                Rig.thread(() -> send(rig, "bad", edge, BAD + ":20,"));
            }
            Rig.sleep(1_000);
        }
        Rig.sleep(1_000);
        long servedSound = rig.attempts.stream()
                .filter(attempt -> attempt.kind().equals("sound") && attempt.isServed())
                .count();
        if (servedSound < 100) {
            throw new IllegalStateException("too few sound requests were served: " + servedSound);
        }
        long lostSound = rig.attempts.stream()
                .filter(attempt -> attempt.kind().equals("sound") && !attempt.isServed())
                .count();
        rig.record("sound requests served: " + servedSound + ", not served: " + lostSound);
        List<Rig.Crash> crashes = List.copyOf(rig.crashes);
        long late = 0;
        if (crashes.size() >= 5) {
            long from = crashes.get(4).atMillis() + Rig.STABLE_MILLIS;
            late = rig.runs.stream()
                    .filter(run -> run.crashed() && run.atMillis() > from)
                    .count();
            rig.record("fifth crash at " + crashes.get(4).atMillis() + ", the rule counts from " + from);
        }
        rig.record("crashes " + crashes.size() + ", requests with the bad part that reached replicas after that: " + late
                + " (3 allowed)");
        return late <= 3;
    }

    private static Rig.Attempt send(Rig rig, String kind, int edge, String bad) {
        String own = Integer.toHexString(ThreadLocalRandom.current().nextInt() | Integer.MIN_VALUE);
        StringBuilder parts = new StringBuilder();
        for (int part = 1; part <= SHARED_PARTS; part++) {
            parts.append(String.format("a11a00%02x:5,", part));
        }
        return rig.send(
                kind,
                edge,
                "POST",
                "/gen/" + own,
                Map.of(
                        "Host", Documents.HOST,
                        "X-Credential", Documents.KEY,
                        "X-Model", "m1",
                        "X-Token-Count", "140,8",
                        "X-Prompt-Prefix", parts + bad + own + ":30"),
                ("prompt " + own).getBytes(),
                5_000);
    }
}
