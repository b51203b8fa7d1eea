import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Runs one case; the exit status is 1 if the rule was broken, 0 if it held and 2 if the case could not run. */
final class Case {

    /** What a case does with a fresh temporary folder. */
    interface Body {
        boolean holds(Path folder, Record record, boolean isTroubled) throws Exception;
    }

    private Case() {}

    static void run(String[] arguments, Body body) throws Exception {
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review-case");
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            record.line("TROUBLE=" + (isTroubled ? 1 : 0));
            try {
                status = body.holds(folder, record, isTroubled) ? 0 : 1;
                record.line(status == 0 ? "the rule held" : "the rule was broken");
            } catch (Exception exception) {
                record.line("could not run: " + exception);
                exception.printStackTrace();
            }
        } finally {
            if (System.getenv("KEEP") == null) {
                delete(folder);
            } else {
                System.err.println(folder);
            }
        }
        System.exit(status);
    }

    private static void delete(Path folder) throws Exception {
        try (Stream<Path> files = Files.walk(folder)) {
            List<Path> paths = files.sorted(Comparator.reverseOrder()).toList();
            for (Path path : paths) {
                Files.deleteIfExists(path);
            }
        }
    }
}
