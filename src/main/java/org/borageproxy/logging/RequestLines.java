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
 * Selects the log lines that concern one request from the logs of all VMs: the lines that contain the request's
 * identity, and, between the first and the last of these, the state changes and placement orders of the backend servers
 * to which the request was sent. Times are compared as text, as written by {@link LineEncoder}. Immutable and thread
 * safe.
 */
public final class RequestLines {

    private static final Pattern TIME = Pattern.compile("\\btime=(\\S+)");
    private static final Pattern SERVERS = Pattern.compile("\\bservers?=(\\S+)");
    private static final Pattern SERVER_EVENT = Pattern.compile("\\bevent=(server-\\S+|order) ");

    private final Pattern identityPattern;

    private record Line(String time, String text) {}

    /**
     * Creates a selector for one request.
     *
     * @param identity the request identity as chosen by the caller
     */
    public RequestLines(String identity) {
        this.identityPattern = Pattern.compile("\\b(id|request)=" + Pattern.quote(identity) + "(\\s|$)");
    }

    /**
     * Selects and sorts the lines that concern the request. Lines without a time are ignored.
     *
     * @param lines the lines of all VMs in any order
     * @return the selected lines ordered by time; empty if no line contains the request's identity
     */
    public List<String> select(Iterable<String> lines) {
        List<Line> requestLines = new ArrayList<>();
        List<Line> serverLines = new ArrayList<>();
        for (String text : lines) {
            Optional<String> time = firstGroup(TIME, text);
            boolean isRequestLine = identityPattern.matcher(text).find();
            if (time.isPresent() && isRequestLine) {
                requestLines.add(new Line(time.get(), text));
            } else if (time.isPresent() && SERVER_EVENT.matcher(text).find()) {
                serverLines.add(new Line(time.get(), text));
            }
        }
        requestLines.sort(Comparator.comparing(Line::time));
        if (requestLines.isEmpty()) {
            return List.of();
        }
        Set<String> servers = new HashSet<>();
        requestLines.forEach(
                line -> firstGroup(SERVERS, line.text()).ifPresent(names -> servers.addAll(List.of(names.split(",")))));
        String first = requestLines.get(0).time();
        String last = requestLines.get(requestLines.size() - 1).time();
        List<Line> selected = new ArrayList<>(requestLines);
        serverLines.stream()
                .filter(line -> line.time().compareTo(first) >= 0 && line.time().compareTo(last) <= 0)
                .filter(line -> firstGroup(SERVERS, line.text())
                        .filter(servers::contains)
                        .isPresent())
                .forEach(selected::add);
        selected.sort(Comparator.comparing(Line::time));
        return selected.stream().map(Line::text).toList();
    }

    private static Optional<String> firstGroup(Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
    }
}
