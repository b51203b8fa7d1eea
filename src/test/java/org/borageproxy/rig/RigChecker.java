package org.borageproxy.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Compares what callers got with what servers recorded, and finds the cases in which a rule is broken. A pure function
 * of the records.
 */
final class RigChecker {

    private final List<CallerRecord> callers;
    private final Map<String, ServerRecord> servers;
    private final List<RigFleet.Disturbance> disturbances;
    private final Map<String, List<ServerRecord>> serversByRequest = new LinkedHashMap<>();
    private final List<Case> cases = new ArrayList<>();

    /** A rule of the users. */
    enum Rule {
        MIXED,
        ORDER,
        TWICE,
        LOST
    }

    /**
     * A case in which a rule is broken.
     *
     * @param rule the rule
     * @param reason what is wrong
     * @param requestId the request's id
     * @param caller what the caller got
     * @param servers what servers recorded of the request, of the answer that the caller got, and of the requests
     *     before these on the same connections
     */
    record Case(Rule rule, String reason, String requestId, String caller, List<ServerRecord> servers) {
        @Override
        public String toString() {
            return rule + ": " + reason + "\n  caller: " + caller
                    + servers.stream().map(record -> "\n  server: " + record).collect(Collectors.joining());
        }
    }

    /**
     * Creates a checker.
     *
     * @param callers the records of the callers
     * @param servers the records of the servers, by signature
     * @param disturbances what was done to servers
     */
    RigChecker(List<CallerRecord> callers, Map<String, ServerRecord> servers, List<RigFleet.Disturbance> disturbances) {
        this.callers = callers;
        this.servers = servers;
        this.disturbances = disturbances;
    }

    /** Returns the cases. */
    List<Case> check() {
        for (ServerRecord record : servers.values()) {
            serversByRequest
                    .computeIfAbsent(record.requestId(), key -> new ArrayList<>())
                    .add(record);
        }
        for (CallerRecord answer : callers) {
            checkAnswer(answer);
            checkLost(answer);
        }
        checkTwice();
        return cases;
    }

    private void report(Rule rule, String reason, CallerRecord answer) {
        List<ServerRecord> involved =
                new ArrayList<>(serversByRequest.getOrDefault(answer.attempt().id(), List.of()));
        ServerRecord signer = servers.get(answer.header("X-Server-Signature"));
        if (signer != null && !involved.contains(signer)) {
            involved.add(signer);
        }
        for (ServerRecord record : List.copyOf(involved)) {
            previousOnConnection(record)
                    .filter(other -> !involved.contains(other))
                    .ifPresent(involved::add);
        }
        cases.add(new Case(rule, reason, answer.attempt().id(), answer.toString(), involved));
    }

    /** Returns what the server did before on the same connection, whose bytes may precede those of a record. */
    private Optional<ServerRecord> previousOnConnection(ServerRecord record) {
        List<ServerRecord> onConnection = servers.values().stream()
                .filter(other -> other.connection().equals(record.connection()))
                .toList();
        int index = onConnection.indexOf(record);
        return index > 0 ? Optional.of(onConnection.get(index - 1)) : Optional.empty();
    }

    private void checkAnswer(CallerRecord answer) {
        if (answer.outcome() == CallerRecord.Outcome.UNASKED_BYTES) {
            report(Rule.MIXED, "bytes on a connection with no request waiting", answer);
            return;
        }
        if (answer.outcome() == CallerRecord.Outcome.NOT_HTTP) {
            report(Rule.MIXED, "bytes that are no answer", answer);
            return;
        }
        if (answer.status() == 0) {
            return;
        }
        String id = answer.header("X-Request-Id");
        if (!id.isEmpty() && !id.equals(answer.attempt().id())) {
            report(Rule.MIXED, "an answer with the id of another request", answer);
            return;
        }
        String signature = answer.header("X-Server-Signature");
        if (signature.isEmpty()) {
            if (answer.isSuccess()) {
                report(Rule.MIXED, "a success without the server's signature", answer);
            }
            return;
        }
        checkSigned(answer, signature);
    }

    private void checkSigned(CallerRecord answer, String signature) {
        ServerRecord server = servers.get(signature);
        if (server == null) {
            report(Rule.MIXED, "a signature that no server gave", answer);
        } else if (!server.requestId().equals(answer.attempt().id())) {
            report(Rule.MIXED, "the answer to another request", answer);
        } else if (server.status() != answer.status()) {
            report(
                    Rule.MIXED,
                    server.status() == 0
                            ? "status " + answer.status() + " where the server's bytes were no answer"
                            : "status " + answer.status() + " where the server answered " + server.status(),
                    answer);
        } else if (RigServer.isStream(answer.attempt().path()) && answer.isSuccess()) {
            checkStream(answer);
        } else if (answer.outcome() == CallerRecord.Outcome.COMPLETE
                && !RigServer.checksum(answer.body()).equals(server.get("body"))) {
            report(Rule.MIXED, "a body that looks complete and is not the server's whole body", answer);
        }
    }

    /** Returns the id of the last whole event of a part of a stream; 0 if it has none. */
    static int lastWholeEvent(String text) {
        int last = 0;
        for (String event :
                text.substring(0, Math.max(0, text.lastIndexOf("\n\n") + 1)).split("\n\n")) {
            if (event.matches("(?s)id: \\d+\n.*")) {
                last = Integer.parseInt(event.substring(4, event.indexOf('\n')));
            }
        }
        return last;
    }

    private void checkStream(CallerRecord answer) {
        String path = answer.attempt().path();
        StringBuilder expected = new StringBuilder();
        for (int number = answer.attempt().after() + 1; number <= RigServer.eventCount(path); number++) {
            expected.append(RigServer.event(path, number));
        }
        String text = answer.text();
        if (!expected.toString().startsWith(text)) {
            report(Rule.ORDER, "events that are missing, come twice or are foreign", answer);
        } else if (answer.outcome() == CallerRecord.Outcome.COMPLETE
                && !expected.toString().equals(text)) {
            report(Rule.ORDER, "a complete end before the last event", answer);
        }
    }

    private void checkTwice() {
        Map<String, CallerRecord> answers = new HashMap<>();
        callers.forEach(answer -> answers.put(answer.attempt().id(), answer));
        serversByRequest.forEach((id, records) -> {
            String path = records.get(0).get("path");
            boolean isOnce = path.startsWith(RigFleet.ONCE) || path.startsWith(RigFleet.ONCE_STREAM);
            long runs = records.stream().filter(ServerRecord::hasRun).count();
            if (isOnce && runs > 1) {
                cases.add(new Case(
                        Rule.TWICE,
                        "a once-only request ran " + runs + " times",
                        id,
                        String.valueOf(answers.get(id)),
                        records));
            }
        });
    }

    private void checkLost(CallerRecord answer) {
        List<ServerRecord> records =
                serversByRequest.getOrDefault(answer.attempt().id(), List.of());
        if (answer.outcome() == CallerRecord.Outcome.NO_ANSWER
                && answer.attempt().isKept()
                && !records.isEmpty()
                && records.stream().allMatch(record -> isSoundThroughout(record, answer))) {
            report(Rule.LOST, "no answer on a kept connection though the server was sound", answer);
        }
    }

    /** Returns whether nothing was done to the request, to its server, or before it on the server's connection. */
    private boolean isSoundThroughout(ServerRecord record, CallerRecord answer) {
        boolean isConnectionSound = servers.values().stream()
                .filter(other -> other.connection().equals(record.connection()))
                .allMatch(other -> other.get("fault").equals("NONE"));
        boolean isServerSound = disturbances.stream()
                .filter(disturbance -> disturbance.server().equals(record.get("server")))
                .noneMatch(disturbance -> disturbance.fromMillis() <= answer.endMillis()
                        && disturbance.toMillis() >= answer.attempt().sentMillis());
        return isConnectionSound && isServerSound;
    }
}
