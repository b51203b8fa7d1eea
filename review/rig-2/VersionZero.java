import java.util.List;
import java.util.Map;

/** The first configuration has the version 0, or 1 without the disruption; it is acknowledged and read back. */
final class VersionZero {

    private VersionZero() {}

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, VersionZero::play);
    }

    private static boolean play(Rig rig) throws Exception {
        rig.startMachines(3, 2);
        Replica.Behaviour behaviour = new Replica.Behaviour("api", false, List.of(), 6, 60, 3_000, head -> false);
        for (int number = 1; number <= 3; number++) {
            rig.startReplica(behaviour, number);
        }
        int version = Rig.isTrouble() ? 0 : 1;
        rig.configure(Documents.application().replace("\"Version\":7", "\"Version\":" + version));
        Rig.sleep(6_000);
        int readBack = 0;
        for (int attempt = 0; attempt < 10; attempt++) {
            Http.Answer answer = Http.call(
                    rig.anyCore(), Rig.CONTROL_PORT, "GET", "/Config.Read", Map.of(), new byte[0], 1_000);
            rig.record("read answered " + answer.status());
            readBack += answer.status() == 200 ? 1 : 0;
            Rig.sleep(400);
        }
        Map<String, String> fields = Map.of("Host", Documents.HOST, "X-Credential", Documents.KEY);
        boolean isServed = rig.send("lookup", 0, "GET", "/lookup/1", fields, new byte[0], 2_000)
                .isServed();
        rig.record("version " + version + " acknowledged; read back " + readBack + " of 10 times");
        return readBack > 0 && isServed;
    }
}
