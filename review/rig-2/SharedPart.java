import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Case: requests of one caller share the first part of their prompts. Some of them also hold a part that crashes each
 * replica that begins to write an answer on it. They come at a machine that has not served the caller lately, while the
 * sound requests of the caller come at another one.
 */
final class SharedPart {

    private static final String BAD = "bad0bad0";
    private static final int REPLICAS = 8;
    private static final int SOUND_PERIOD_MILLIS = 1_300;
    private static final int SOUND_COUNT = 21;
    private static final int BAD_PERIOD_MILLIS = 300;

    private SharedPart() {}

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, SharedPart::play);
    }

    private static boolean play(Rig rig) throws Exception {
        rig.startMachines(3, 2);
        Replica.Behaviour behaviour = new Replica.Behaviour(
                "llm", true, List.of("m1"), 16, 80, 3_000, head -> head.field("x-prompt-prefix").contains(BAD));
        for (int number = 1; number <= REPLICAS; number++) {
            rig.startReplica(behaviour, number);
        }
        rig.configure(Documents.streams(2));
        rig.awaitReady();
        Rig.sleep(4_000);
        while (!sendSound(rig, "warm-up").isServed()) {
            Rig.sleep(500);
        }
        long before = rig.now();
        for (int count = 0; count < SOUND_COUNT; count++) {
            sendSoundAndWait(rig, "sound");
        }
        long troubleAt = rig.now();
        rig.record("requests with the bad part begin");
        if (Rig.isTrouble()) {
            Rig.thread(() -> {
                while (true) {
                    Rig.thread(() -> sendBad(rig));
                    Rig.sleep(BAD_PERIOD_MILLIS);
                }
            });
        }
        Rig.sleep(SOUND_PERIOD_MILLIS - 300);
        // The window of the rule begins 2 x StableMs after the fifth crash, or the last one.
        long windowAt = rig.now() + 2 * Rig.STABLE_MILLIS;
        int counted = 0;
        while (counted < SOUND_COUNT) {
            Rig.Attempt attempt = sendSoundAndWait(rig, "sound");
            long fifthCrashAt =
                    rig.crashes.stream().limit(5).mapToLong(Rig.Crash::atMillis).max().orElse(troubleAt);
            windowAt = fifthCrashAt + 2 * Rig.STABLE_MILLIS;
            counted += attempt.sentAt() >= windowAt ? 1 : 0;
        }
        long begin = windowAt;
        double outside = share(rig, before, troubleAt);
        double inside = share(rig, begin, Long.MAX_VALUE);
        rig.record("crashes " + rig.crashes.size() + ", window of the rule from " + begin);
        rig.record(String.format("sound requests that began at the first attempt: outside %.2f, in the window %.2f",
                outside, inside));
        if (outside < 0.8) {
            throw new IllegalStateException("sound requests are not served without the disruption");
        }
        return inside >= outside / 2;
    }

    private static double share(Rig rig, long from, long to) {
        List<Rig.Attempt> counted = rig.attempts.stream()
                .filter(attempt -> attempt.kind().equals("sound") && attempt.sentAt() >= from && attempt.sentAt() < to)
                .toList();
        rig.record("sound requests counted: " + counted.size());
        // A request begins if a replica begins to work on it.
        long begun = counted.stream()
                .filter(attempt -> rig.runs.stream().anyMatch(run -> run.id().equals(attempt.id())))
                .count();
        return begun / (double) Math.max(1, counted.size());
    }

    private static Rig.Attempt sendSoundAndWait(Rig rig, String kind) {
        long next = rig.now() + SOUND_PERIOD_MILLIS;
        Rig.Attempt attempt = sendSound(rig, kind);
        if (attempt.sentAt() >= 0) {
            Rig.sleep(Math.min(next - rig.now(), SOUND_PERIOD_MILLIS));
        }
        return attempt;
    }

    private static Rig.Attempt sendSound(Rig rig, String kind) {
        return send(rig, kind, 0, "a11a11a1:40,", 70);
    }

    private static void sendBad(Rig rig) {
        send(rig, "bad", 1, "a11a11a1:40," + BAD + ":20,", 90);
    }

    private static Rig.Attempt send(Rig rig, String kind, int edge, String shared, int tokens) {
        String own = Integer.toHexString(ThreadLocalRandom.current().nextInt() | Integer.MIN_VALUE);
        return rig.send(
                kind,
                edge,
                "POST",
                "/gen/" + own,
                Map.of(
                        "Host", Documents.HOST,
                        "X-Credential", Documents.KEY,
                        "X-Model", "m1",
                        "X-Token-Count", tokens + ",8",
                        "X-Prompt-Prefix", shared + own + ":30"),
                ("prompt " + own).getBytes(),
                5_000);
    }
}
