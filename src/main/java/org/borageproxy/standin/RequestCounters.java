package org.borageproxy.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Counts how often each request ran and records the headers of recent requests, so that tests can detect lost or
 * repeated requests and leaked keys. Thread safe.
 */
final class RequestCounters {

    private static final int MAXIMUM_RECORDED_REQUESTS = 1_000;

    /** Runs by request identity; guarded by this. */
    private final Map<String, Integer> runs = new TreeMap<>();
    /** Request line and headers of recent requests, the oldest first; guarded by this. */
    private final Deque<List<String>> received = new ArrayDeque<>();

    /** Counts a run of a request. */
    synchronized void recordRun(String requestIdentity) {
        runs.merge(requestIdentity, 1, Integer::sum);
    }

    /** Records the request line and headers; the oldest request is dropped beyond the limit. */
    synchronized void recordReceived(HttpServerRequest request) {
        List<String> lines = new ArrayList<>();
        lines.add(request.method().name() + " " + request.uri());
        request.headers().forEach((name, value) -> lines.add(name + ": " + value));
        received.addLast(lines);
        if (received.size() > MAXIMUM_RECORDED_REQUESTS) {
            received.removeFirst();
        }
    }

    /** Returns the common fields of {@code GET /counters}. */
    synchronized JsonObject toJson() {
        JsonObject runsJson = new JsonObject();
        runs.forEach(runsJson::put);
        JsonArray receivedJson = new JsonArray();
        received.forEach(lines -> receivedJson.add(new JsonArray(new ArrayList<>(lines))));
        return new JsonObject().put("runs", runsJson).put("received", receivedJson);
    }
}
