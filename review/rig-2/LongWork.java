import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Case: a configuration raises the time-out of the routes. Clients on kept connections then send requests on which a
 * sound replica works longer than before, and silently.
 */
final class LongWork {

    private static final int CLIENTS = 6;
    private static final int USUAL_TIMEOUT_MILLIS = 20_000;
    private static final int RAISED_TIMEOUT_MILLIS = 90_000;
    private static final int USUAL_WORK_MILLIS = 15_000;
    private static final int LONG_WORK_MILLIS = 78_000;

    private LongWork() {}

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, LongWork::play);
    }

    private static boolean play(Rig rig) throws Exception {
        int work = Rig.isTrouble() ? LONG_WORK_MILLIS : USUAL_WORK_MILLIS;
        int timeout = Rig.isTrouble() ? RAISED_TIMEOUT_MILLIS : USUAL_TIMEOUT_MILLIS;
        rig.startMachines(3, 2);
        Replica.Behaviour behaviour = new Replica.Behaviour("api", false, List.of(), 6, 20, 3_000, head -> false);
        for (int number = 1; number <= 3; number++) {
            rig.startReplica(behaviour.withLongWork(work), number);
        }
        rig.configure(Documents.application(timeout));
        rig.awaitReady();
        Rig.sleep(2_500);
        Thread[] clients = new Thread[CLIENTS];
        for (int client = 0; client < CLIENTS; client++) {
            int edge = client % 2;
            int number = client;
            clients[client] = new Thread(() -> run(rig, edge, number, timeout));
            clients[client].start();
        }
        for (Thread client : clients) {
            client.join();
        }
        long begun = rig.runs.stream().filter(run -> run.path().startsWith("/commit/long")).count();
        long cut = rig.attempts.stream()
                .filter(attempt -> attempt.kind().equals("long") && attempt.status() == 0)
                .count();
        rig.record("long requests that replicas ran: " + begun + ", closed without an answer: " + cut + " (3 allowed)");
        if (begun < CLIENTS) {
            throw new IllegalStateException("not all long requests ran");
        }
        return cut <= 3;
    }

    private static void run(Rig rig, int edge, int number, int timeout) {
        try (Http.Connection connection = rig.connect(edge)) {
            for (int attempt = 0; attempt < 10; attempt++) {
                if (rig.send("first", edge, connection, "GET", "/lookup/" + number, fields(), new byte[0], 4_000)
                        .isServed()) {
                    break;
                }
                Rig.sleep(300);
            }
            byte[] body = ("order " + number + " " + ThreadLocalRandom.current().nextInt()).getBytes();
            rig.send("long", edge, connection, "POST", "/commit/long" + number, fields(), body, timeout - 2_000);
        } catch (IOException failure) {
            rig.record("client " + number + ": " + failure);
        }
    }

    private static Map<String, String> fields() {
        return Map.of("Host", Documents.HOST, "X-Credential", Documents.KEY);
    }
}
