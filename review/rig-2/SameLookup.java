import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Case: clients of one tenant look the same thing up again and again, with the same path and no body, and some send
 * orders. Two of 13 replicas, which run such lookups, crash at the same moment, without a request being the cause. A few
 * seconds later, right after a change of the configuration was acknowledged, all machines are killed and started again.
 */
final class SameLookup {

    private static final int REPLICAS = 13;
    private static final int LOOKUP_CLIENTS = 10;
    private static final int ORDER_PERIOD_MILLIS = 500;
    private static final int RECOVERY_MILLIS = 12_000;

    private SameLookup() {}

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, SameLookup::play);
    }

    private static boolean play(Rig rig) throws Exception {
        rig.startMachines(3, 2);
        Replica.Behaviour behaviour = new Replica.Behaviour("api", false, List.of(), 6, 85, 3_000, head -> false);
        Replica[] replicas = new Replica[REPLICAS];
        for (int number = 0; number < REPLICAS; number++) {
            replicas[number] = rig.startReplica(behaviour, number + 1);
        }
        rig.configure(Documents.application());
        rig.awaitReady();
        Rig.sleep(3_000);
        while (!send(rig, "warm-up", 0, "GET", "/lookup/1", "").isServed()) {
            Rig.sleep(500);
        }
        long begin = rig.now();
        startClients(rig);
        Rig.sleep(15_000);
        if (Rig.isTrouble()) {
            crashTwo(rig, replicas);
        }
        Rig.sleep(4_000);
        rig.configure(Documents.application().replace("\"Version\":7", "\"Version\":8"));
        long finalFault = rig.now();
        rig.restartAll();
        rig.awaitReady();
        long back = rig.now();
        Rig.sleep(RECOVERY_MILLIS);
        long from = rig.now();
        Rig.sleep(15_000);
        long to = rig.now();
        double before = share(rig, "", begin, finalFault);
        double after = share(rig, "", from, to);
        rig.record(String.format("machines back at %d; lookups served after that and RecoveryS: %.3f, orders: %.3f",
                back, share(rig, "lookup", from, to), share(rig, "order", from, to)));
        rig.record(String.format("requests served: before the final fault %.3f, after it %.3f", before, after));
        if (before < 0.25) {
            throw new IllegalStateException("less than a quarter was served before the final fault");
        }
        return after >= 0.25;
    }

    private static void startClients(Rig rig) {
        for (int client = 0; client < LOOKUP_CLIENTS; client++) {
            int edge = client % 2;
            Rig.thread(() -> {
                while (true) {
                    boolean isServed = send(rig, "lookup", edge, "GET", "/lookup/1", "").isServed();
                    Rig.sleep(isServed ? 50 : 400);
                }
            });
        }
        for (int client = 0; client < 2; client++) {
            int edge = client;
            Rig.thread(() -> {
                for (int count = 0; ; count++) {
                    String order = "order " + edge + " " + count;
                    Rig.thread(() -> send(rig, "order", edge, "POST", "/commit/order", order));
                    Rig.sleep(ORDER_PERIOD_MILLIS);
                }
            });
        }
    }

    /** Crashes the two replicas to which lookups were sent last. */
    private static void crashTwo(Rig rig, Replica[] replicas) {
        List<String> names = new ArrayList<>();
        List<Replica.Run> runs = new ArrayList<>(rig.runs);
        for (int index = runs.size() - 1; names.size() < 2; index--) {
            Replica.Run run = runs.get(index);
            if (run.path().startsWith("/lookup/") && !names.contains(run.replica())) {
                names.add(run.replica());
            }
        }
        for (Replica replica : replicas) {
            if (names.contains(replica.name())) {
                replica.crash("disruption");
            }
        }
    }

    private static double share(Rig rig, String kind, long from, long to) {
        List<Rig.Attempt> counted = rig.attempts.stream()
                .filter(attempt -> attempt.sentAt() >= from && attempt.sentAt() < to)
                .filter(attempt -> attempt.kind().startsWith(kind))
                .toList();
        return counted.stream().filter(Rig.Attempt::isServed).count() / (double) Math.max(1, counted.size());
    }

    private static Rig.Attempt send(Rig rig, String kind, int edge, String method, String path, String body) {
        return rig.send(
                kind,
                edge,
                method,
                path,
                Map.of("Host", Documents.HOST, "X-Credential", Documents.KEY),
                body.getBytes(),
                4_000);
    }
}
