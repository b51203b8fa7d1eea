package org.borageproxy.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Runs a {@link RigFleet} under load for one seed, or for several seeds by hand, and checks the records. By hand, after
 * {@code mvn -DskipTests package}: {@code java -cp target/borageproxy.jar:target/test-classes
 * org.borageproxy.rig.RigRun FIRST COUNT FOLDER}. A seed fixes what callers send and what servers do with each request,
 * but not the times at which processes run, so that the cases of one seed differ between runs.
 */
public final class RigRun {

    private static final int CALLERS = 12;
    private static final long LOAD_SECONDS = 10;

    /**
     * The result of one seed.
     *
     * @param seed the seed
     * @param cases the cases in which a rule is broken
     * @param requests the number of requests of callers
     * @param successes the number of complete successes
     * @param faults the number of answers by fault
     * @param disturbances the number of kills and freezes
     * @param logs the log lines of the entries for each case, by the request's id
     */
    record Result(
            long seed,
            List<RigChecker.Case> cases,
            int requests,
            long successes,
            Map<String, Long> faults,
            Map<String, Long> disturbances,
            Map<String, List<String>> logs) {

        String summary() {
            return "seed " + seed + ": "
                    + new TreeMap<>(
                            cases.stream().collect(Collectors.groupingBy(RigChecker.Case::rule, Collectors.counting())))
                    + " reasons "
                    + new TreeMap<>(cases.stream()
                            .collect(Collectors.groupingBy(
                                    found -> found.rule() + " " + found.reason(), Collectors.counting())))
                    + " requests " + requests + " successes " + successes + " faults " + faults + " " + disturbances;
        }

        @Override
        public String toString() {
            return summary()
                    + cases.stream()
                            .map(found -> "\n" + found
                                    + logs.getOrDefault(found.requestId(), List.of()).stream()
                                            .map(line -> "\n  entry: " + line)
                                            .collect(Collectors.joining()))
                            .collect(Collectors.joining());
        }
    }

    /** Arguments: the first seed, the number of seeds and a folder for records and logs. */
    public static void main(String[] arguments) throws Exception {
        long first = Long.parseLong(arguments[0]);
        int count = Integer.parseInt(arguments[1]);
        List<String> summaries = new ArrayList<>();
        int total = 0;
        for (long seed = first; seed < first + count; seed++) {
            Path folder = Files.createDirectories(Path.of(arguments[2], "seed-" + seed + "-" + System.nanoTime()));
            Result result = run(seed, folder);
            Files.writeString(folder.resolve("cases.txt"), result + "\n");
            System.out.println(result);
            summaries.add(result.summary());
            total += result.cases().size();
        }
        System.out.println(String.join("\n", summaries) + "\n" + total + " cases in " + count + " seeds");
        System.exit(total == 0 ? 0 : 1);
    }

    /** Runs one seed, which takes about 15 seconds, and returns its result. */
    static Result run(long seed, Path folder) throws Exception {
        CopyOnWriteArrayList<CallerRecord> records = new CopyOnWriteArrayList<>();
        try (RigFleet fleet = new RigFleet(folder, seed)) {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LOAD_SECONDS);
            List<Thread> threads = new ArrayList<>();
            for (int number = 0; number < CALLERS; number++) {
                RigCaller caller = new RigCaller(new Random(seed * 1_000 + number), fleet.entries(), records);
                threads.add(RigServer.startThread(() -> caller.run(end)));
            }
            for (Thread thread : threads) {
                thread.join();
            }
            return check(seed, folder, fleet, records);
        }
    }

    private static Result check(long seed, Path folder, RigFleet fleet, List<CallerRecord> records) throws IOException {
        Map<String, ServerRecord> servers = ServerRecord.readAll(folder);
        List<RigChecker.Case> cases = new RigChecker(records, servers, fleet.disturbances()).check();
        Map<String, List<String>> logs = new TreeMap<>();
        for (RigChecker.Case found : cases) {
            logs.put(found.requestId(), fleet.logLines(found.requestId()));
        }
        return new Result(
                seed,
                cases,
                records.size(),
                records.stream()
                        .filter(answer -> answer.isSuccess() && answer.outcome() == CallerRecord.Outcome.COMPLETE)
                        .count(),
                new TreeMap<>(servers.values().stream()
                        .collect(Collectors.groupingBy(record -> record.get("fault"), Collectors.counting()))),
                new TreeMap<>(fleet.disturbances().stream()
                        .collect(Collectors.groupingBy(RigFleet.Disturbance::kind, Collectors.counting()))),
                logs);
    }
}
