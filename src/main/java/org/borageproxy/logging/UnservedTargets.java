package org.borageproxy.logging;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds, in the logs of all VMs, the models and adapters that callers asked for and that were never served, with the
 * link at which the way to an answer broke off: the last line of the coordinator about the claim of each of them. Times
 * are compared as text, as written by {@link LineEncoder}. Immutable and thread safe.
 */
public final class UnservedTargets {

    private static final Pattern FIELD = Pattern.compile("\\b(\\w+)=(\"[^\"]*\"|\\S+)");
    private static final String SUCCESS = "200";

    private final int minimumRequests;

    /** The requests of callers for a target, and the last line about its claim. */
    private static final class Record {
        private int requests;
        private int successes;
        private final Map<String, Integer> outcomes = new TreeMap<>();
        private Optional<Map<String, String>> lastClaim = Optional.empty();
        private int orders;
    }

    /**
     * Creates a search.
     *
     * @param minimumRequests the number of requests from which a target is listed
     */
    public UnservedTargets(int minimumRequests) {
        this.minimumRequests = minimumRequests;
    }

    /**
     * Lists the unserved targets.
     *
     * @param lines the lines of all VMs in any order
     * @return a line for each target, most requested first, and a line with the totals
     */
    public List<String> list(Iterable<String> lines) {
        Map<String, Record> records = new HashMap<>();
        for (String line : lines) {
            if (line.contains("event=request-ended ")) {
                recordRequest(records, fields(line));
            } else if (line.contains("event=claim ")) {
                recordClaim(records, fields(line));
            }
        }
        List<Map.Entry<String, Record>> requested = records.entrySet().stream()
                .filter(entry -> entry.getValue().requests >= minimumRequests)
                .toList();
        List<Map.Entry<String, Record>> unserved = requested.stream()
                .filter(entry -> entry.getValue().successes == 0)
                .sorted(Comparator.comparingInt((Map.Entry<String, Record> entry) -> -entry.getValue().requests)
                        .thenComparing(Map.Entry::getKey))
                .toList();
        List<String> listed = new ArrayList<>();
        unserved.forEach(entry -> listed.add(describe(entry.getKey(), entry.getValue())));
        listed.add("unserved=" + unserved.size() + " requested=" + requested.size());
        return listed;
    }

    private static void recordRequest(Map<String, Record> records, Map<String, String> fields) {
        String target = fields.getOrDefault("model", "-");
        if (target.equals("-")) {
            return;
        }
        Record targetRecord = records.computeIfAbsent(target, key -> new Record());
        targetRecord.requests++;
        targetRecord.successes += fields.getOrDefault("status", "").equals(SUCCESS) ? 1 : 0;
        targetRecord.outcomes.merge(fields.getOrDefault("outcome", "-").replace("\"", ""), 1, Integer::sum);
    }

    private static void recordClaim(Map<String, Record> records, Map<String, String> fields) {
        Record targetRecord = records.computeIfAbsent(fields.getOrDefault("target", "-"), key -> new Record());
        targetRecord.orders += fields.getOrDefault("link", "").equals("ORDERED") ? 1 : 0;
        boolean isLater = targetRecord
                .lastClaim
                .map(known -> known.getOrDefault("time", "").compareTo(fields.getOrDefault("time", "")) <= 0)
                .orElse(true);
        if (isLater) {
            targetRecord.lastClaim = Optional.of(fields);
        }
    }

    private static Map<String, String> fields(String line) {
        Map<String, String> fields = new HashMap<>();
        Matcher matcher = FIELD.matcher(line);
        while (matcher.find()) {
            fields.putIfAbsent(matcher.group(1), matcher.group(2));
        }
        return fields;
    }

    private static String describe(String target, Record targetRecord) {
        Map<String, String> claim = targetRecord.lastClaim.orElse(Map.of());
        return "target=" + target
                + " requests=" + targetRecord.requests
                + " link=" + claim.getOrDefault("link", "UNCOUNTED")
                + " detail=" + claim.getOrDefault("detail", "-")
                + " age_ms=" + claim.getOrDefault("age_ms", "-")
                + " orders=" + targetRecord.orders
                + " at=" + claim.getOrDefault("time", "-")
                + " outcomes=" + targetRecord.outcomes;
    }
}
