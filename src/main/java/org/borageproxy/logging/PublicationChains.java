package org.borageproxy.logging;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds, in the logs of all VMs, how long each acknowledged publication took to be in force at the slowest VM, and
 * which link of the way took longest there. Immutable and thread safe.
 */
public final class PublicationChains {

    private static final Pattern FIELD = Pattern.compile("\\b(\\w+)=(\"[^\"]*\"|\\S+)");

    /** Links of the way of a publication to a VM, in their order. */
    private enum Link {
        /** From the acknowledgement to the request whose answer named the publication. */
        REQUESTED,
        /** From that request to its answer. */
        ANSWERED,
        /** From the answer to the arrival of the whole document. */
        TRANSFERRED,
        /** From the arrival until the publication was in force. */
        READ
    }

    /** The lines of one VM, each by its time in milliseconds. */
    private static final class VmLines {
        private final NavigableMap<Long, Map<String, String>> arrivals = new TreeMap<>();
        private final NavigableMap<Long, Map<String, String>> servings = new TreeMap<>();
        private final NavigableMap<Long, Map<String, String>> failures = new TreeMap<>();
        private final NavigableMap<Long, Map<String, String>> starts = new TreeMap<>();

        private boolean servedBefore(long millis) {
            return !servings.isEmpty() && servings.firstKey() < millis;
        }
    }

    /** When and where a publication went in force at one VM. */
    private record Obeyed(String vm, VmLines lines, Optional<Long> atMillis) {}

    /**
     * Lists the acknowledged publications.
     *
     * @param lines the lines of all VMs in any order
     * @return a line for each publication in order of their numbers, and a line with the totals
     */
    public List<String> list(Iterable<String> lines) {
        NavigableMap<Long, Long> acknowledgedAt = new TreeMap<>();
        Map<String, VmLines> vms = new TreeMap<>();
        for (String line : lines) {
            if (line.contains("event=publication-submitted ")) {
                Map<String, String> fields = fields(line);
                if (fields.getOrDefault("outcome", "").equals("held")) {
                    acknowledgedAt.merge(number(fields, "number"), millis(fields), Math::min);
                }
            } else if (line.contains("event=publication-arrived ")) {
                add(vms, line, vm -> vm.arrivals);
            } else if (line.contains("event=publication-served ")) {
                add(vms, line, vm -> vm.servings);
            } else if (line.contains("event=state-request-unsuccessful ")) {
                add(vms, line, vm -> vm.failures);
            } else if (line.contains("event=vm-started ")) {
                add(vms, line, vm -> vm.starts);
            }
        }
        List<String> listed = new ArrayList<>();
        acknowledgedAt.forEach((number, millis) -> listed.add(describe(number, millis, vms)));
        listed.add("publications=" + acknowledgedAt.size() + " vms="
                + vms.values().stream().filter(vm -> !vm.servings.isEmpty()).count());
        return listed;
    }

    /** Selects the lines of one kind. */
    @FunctionalInterface
    private interface Kind {
        NavigableMap<Long, Map<String, String>> of(VmLines vm);
    }

    private static void add(Map<String, VmLines> vms, String line, Kind kind) {
        Map<String, String> fields = fields(line);
        kind.of(vms.computeIfAbsent(fields.getOrDefault("vm", "-"), key -> new VmLines()))
                .put(millis(fields), fields);
    }

    private static String describe(long number, long acknowledgedAtMillis, Map<String, VmLines> vms) {
        List<Obeyed> obeyed = vms.entrySet().stream()
                .filter(entry -> entry.getValue().servedBefore(acknowledgedAtMillis))
                .map(entry -> new Obeyed(entry.getKey(), entry.getValue(), obeyedAt(entry.getValue(), number)))
                .toList();
        long missing = obeyed.stream().filter(vm -> vm.atMillis().isEmpty()).count();
        String head = "number=" + number + " acknowledged_at_ms=" + acknowledgedAtMillis + " vms=" + obeyed.size()
                + " missing=" + missing;
        return obeyed.stream()
                .max(Comparator.comparingLong(vm -> vm.atMillis().orElse(Long.MAX_VALUE)))
                .map(slowest -> head + " " + describeSlowest(slowest, number, acknowledgedAtMillis))
                .orElse(head);
    }

    /** Returns the time from which a VM served a publication or a later one. */
    private static Optional<Long> obeyedAt(VmLines vm, long number) {
        return first(vm.servings, number).map(Map.Entry::getKey);
    }

    private static Optional<Map.Entry<Long, Map<String, String>>> first(
            NavigableMap<Long, Map<String, String>> lines, long number) {
        return lines.entrySet().stream()
                .filter(line -> number(line.getValue(), "number") >= number)
                .findFirst();
    }

    private static String describeSlowest(Obeyed slowest, long number, long acknowledgedAtMillis) {
        VmLines lines = slowest.lines();
        long endMillis = slowest.atMillis().orElse(Long.MAX_VALUE);
        long failures = lines.failures
                .subMap(acknowledgedAtMillis, true, endMillis, true)
                .size();
        boolean isRestarted = !lines.starts
                .subMap(acknowledgedAtMillis, true, endMillis, true)
                .isEmpty();
        String tail = " failed_requests=" + failures + " restarted=" + isRestarted;
        if (slowest.atMillis().isEmpty()) {
            Link broken = first(lines.arrivals, number).isPresent() ? Link.READ : Link.ANSWERED;
            String reasons = lines.failures.tailMap(acknowledgedAtMillis).values().stream()
                    .map(fields -> fields.getOrDefault("target", "-") + ":" + fields.getOrDefault("reason", "-"))
                    .distinct()
                    .sorted()
                    .toList()
                    .toString()
                    .replace(" ", "");
            return "slowest=" + slowest.vm() + " took_ms=never link=" + broken + " reasons=" + reasons + tail;
        }
        long tookMillis = Math.max(0, endMillis - acknowledgedAtMillis);
        Map<Link, Long> parts = split(lines, number, tookMillis);
        Link longest = parts.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse(Link.REQUESTED);
        return "slowest=" + slowest.vm() + " took_ms=" + tookMillis + " link=" + longest + " requested_ms="
                + parts.get(Link.REQUESTED) + " answered_ms=" + parts.get(Link.ANSWERED) + " transferred_ms="
                + parts.get(Link.TRANSFERRED) + " read_ms=" + parts.get(Link.READ) + tail;
    }

    /** Divides the time that a publication took, from its end backwards; a poll may have waited for it since before. */
    private static Map<Link, Long> split(VmLines lines, long number, long tookMillis) {
        Map<String, String> serving =
                first(lines.servings, number).map(Map.Entry::getValue).orElse(Map.of());
        Map<String, String> arrival =
                first(lines.arrivals, number).map(Map.Entry::getValue).orElse(Map.of());
        Map<Link, Long> parts = new TreeMap<>();
        long left = tookMillis;
        long read = Math.min(left, number(serving, "read_ms"));
        left -= read;
        long transferred = Math.min(left, number(arrival, "transfer_ms"));
        left -= transferred;
        long answered = Math.min(left, number(arrival, "request_ms"));
        parts.put(Link.READ, read);
        parts.put(Link.TRANSFERRED, transferred);
        parts.put(Link.ANSWERED, answered);
        parts.put(Link.REQUESTED, left - answered);
        return parts;
    }

    private static long number(Map<String, String> fields, String name) {
        try {
            return Long.parseLong(fields.getOrDefault(name, "0"));
        } catch (NumberFormatException exception) {
            return 0;
        }
    }

    private static long millis(Map<String, String> fields) {
        return Instant.parse(fields.getOrDefault("time", "1970-01-01T00:00:00Z"))
                .toEpochMilli();
    }

    private static Map<String, String> fields(String line) {
        Map<String, String> fields = new HashMap<>();
        Matcher matcher = FIELD.matcher(line);
        while (matcher.find()) {
            fields.putIfAbsent(matcher.group(1), matcher.group(2));
        }
        return fields;
    }
}
