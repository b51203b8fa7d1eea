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
 * Counts how often each request ran and keeps what the last requests carried, so that tests can look for lost or
 * repeated requests and for leaked keys. Thread safe.
 */
final class RequestCounters {

    /** The largest number of requests whose headers are kept. */
    private static final int KEPT_REQUESTS = 1_000;

    /** Runs by request identity; guarded by this. */
    private final Map<String, Integer> runs = new TreeMap<>();
    /** Request line and headers of the last requests; guarded by this. */
    private final Deque<List<String>> received = new ArrayDeque<>();

    /**
     * Counts a run.
     *
     * @param requestIdentity the request's identity
     */
    synchronized void ran(String requestIdentity) {
        runs.merge(requestIdentity, 1, Integer::sum);
    }

    /**
     * Keeps the request line and the headers of a request.
     *
     * @param request the request
     */
    synchronized void received(HttpServerRequest request) {
        List<String> lines = new ArrayList<>();
        lines.add(request.method().name() + " " + request.uri());
        request.headers().forEach((name, value) -> lines.add(name + ": " + value));
        received.addLast(lines);
        if (received.size() > KEPT_REQUESTS) {
            received.removeFirst();
        }
    }

    /**
     * Returns the counters.
     *
     * @return the body of {@code GET /counters}
     */
    synchronized JsonObject json() {
        JsonObject runsJson = new JsonObject();
        runs.forEach(runsJson::put);
        JsonArray receivedJson = new JsonArray();
        received.forEach(lines -> receivedJson.add(new JsonArray(new ArrayList<>(lines))));
        return new JsonObject().put("runs", runsJson).put("received", receivedJson);
    }
}
