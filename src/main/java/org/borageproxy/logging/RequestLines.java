package org.borageproxy.logging;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds what the logs of all VMs say about one request: its own lines, and what changed at the servers that it was sent
 * to while it ran. Immutable and thread safe.
 */
public final class RequestLines {

    private static final Pattern TIME = Pattern.compile("\\btime=(\\S+)");
    private static final Pattern SERVERS = Pattern.compile("\\bservers?=(\\S+)");
    private static final Pattern SERVER_EVENT = Pattern.compile("\\bevent=(server-\\S+|order) ");

    private final Pattern identity;

    private record Line(String time, String text) {}

    /**
     * Explains one request.
     *
     * @param identity the caller's identity of the request
     */
    public RequestLines(String identity) {
        this.identity = Pattern.compile("\\b(id|request)=" + Pattern.quote(identity) + "(\\s|$)");
    }

    /**
     * Picks and orders lines.
     *
     * @param lines the lines of all VMs in any order
     * @return the request's lines and those of its servers in between, in the order of their times
     */
    public List<String> explain(Iterable<String> lines) {
        List<Line> own = new ArrayList<>();
        List<Line> others = new ArrayList<>();
        for (String text : lines) {
            Optional<String> time = group(TIME, text);
            boolean isOwn = identity.matcher(text).find();
            if (time.isPresent() && isOwn) {
                own.add(new Line(time.get(), text));
            } else if (time.isPresent() && SERVER_EVENT.matcher(text).find()) {
                others.add(new Line(time.get(), text));
            }
        }
        own.sort(Comparator.comparing(Line::time));
        if (own.isEmpty()) {
            return List.of();
        }
        Set<String> servers = new HashSet<>();
        own.forEach(line -> group(SERVERS, line.text()).ifPresent(names -> servers.addAll(List.of(names.split(",")))));
        String first = own.get(0).time();
        String last = own.get(own.size() - 1).time();
        List<Line> chosen = new ArrayList<>(own);
        others.stream()
                .filter(line -> line.time().compareTo(first) >= 0 && line.time().compareTo(last) <= 0)
                .filter(line ->
                        group(SERVERS, line.text()).filter(servers::contains).isPresent())
                .forEach(chosen::add);
        chosen.sort(Comparator.comparing(Line::time));
        return chosen.stream().map(Line::text).toList();
    }

    private static Optional<String> group(Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
    }
}
