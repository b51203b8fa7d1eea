package org.borageproxy.platform;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Callers of streams at engines that run the software versions v1 and v2. Not thread safe. */
final class VersionedStreams {

    /** Number of streams that a test begins. */
    static final int STREAM_COUNT = 24;

    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\S+)\n");

    private final PlatformFleet fleet;

    /** A stream whose first event a caller has. */
    record Begun(String identity, String software) {}

    VersionedStreams(PlatformFleet fleet) {
        this.fleet = fleet;
    }

    /** Waits until each entry reaches engines of both versions. */
    void awaitBothVersions() throws IOException {
        for (String entry : fleet.entries()) {
            awaitBothVersions(entry);
        }
    }

    /** Waits until an entry reaches engines of both versions. */
    void awaitBothVersions(String entry) throws IOException {
        TreeSet<String> seen = new TreeSet<>();
        for (int number = 0; seen.size() < 2; number++) {
            assertTrue(number < 400, () -> entry + " reaches " + seen);
            seen.addAll(versions(call(entry, "warm-" + entry + number, EngineStandIn.WHOLE, "")));
        }
    }

    /** Sends a request with a script for the engines and returns the whole answer. */
    String call(String entry, String identity, String script, String headers) throws IOException {
        return fleet.call(
                entry, identity, identity + "p:50," + identity + ":50", "X-Script: " + script + "\r\n" + headers);
    }

    /** Returns the software versions of the events in an answer. */
    static TreeSet<String> versions(String answer) {
        TreeSet<String> versions = new TreeSet<>();
        EVENT.matcher(answer).results().forEach(event -> versions.add(event.group(2)));
        return versions;
    }

    /**
     * Begins streams at an entry, several at each version. The callers leave when all have the first event, since the
     * load of the streams is what spreads them over the engines.
     */
    List<Begun> begin(String entry, String prefix) throws IOException {
        List<Begun> streams = new ArrayList<>();
        List<Socket> callers = new ArrayList<>();
        try {
            for (int number = 0; number < STREAM_COUNT || !hasSeveralOfEachVersion(streams); number++) {
                assertTrue(number < 10 * STREAM_COUNT, () -> "" + streams);
                String identity = prefix + number;
                Socket caller = fleet.send(
                        entry,
                        identity,
                        identity + "p:50," + identity + ":50",
                        "X-Script: " + EngineStandIn.HOLD + "\r\n");
                callers.add(caller);
                streams.add(new Begun(identity, firstEvent(caller)));
            }
        } finally {
            for (Socket caller : callers) {
                caller.close();
            }
        }
        return streams;
    }

    private static boolean hasSeveralOfEachVersion(List<Begun> streams) {
        return List.of("v1", "v2").stream()
                .allMatch(version -> streams.stream()
                                .filter(stream -> stream.software().equals(version))
                                .count()
                        >= STREAM_COUNT / 4);
    }

    private static String firstEvent(Socket socket) throws IOException {
        StringBuilder received = new StringBuilder();
        Optional<String> software = Optional.empty();
        while (software.isEmpty()) {
            int next = socket.getInputStream().read();
            assertTrue(next >= 0, () -> "answer ended: " + received);
            received.append((char) next);
            Matcher matcher = EVENT.matcher(received);
            software = matcher.find() ? Optional.of(matcher.group(2)) : Optional.empty();
        }
        return software.get();
    }

    /** Takes a stream up after its first event and names the request that began it. */
    String takeUp(String entry, String identity, String begunBy) throws IOException {
        return call(entry, identity, EngineStandIn.WHOLE, "Last-Event-Id: 1\r\nResumes: " + begunBy + "\r\n");
    }
}
