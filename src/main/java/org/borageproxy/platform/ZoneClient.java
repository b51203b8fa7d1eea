package org.borageproxy.platform;

import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.borageproxy.settings.Endpoint;
import org.borageproxy.time.Deadline;

/**
 * Blocking client of the orders that drain and return zones. An order that is not acknowledged is repeated at the next
 * control VM, which is safe since orders may be repeated. Immutable and thread safe.
 */
public final class ZoneClient {

    /** Time within which an order must be acknowledged. */
    private static final Duration ACKNOWLEDGEMENT_TIMEOUT = Duration.ofSeconds(5);

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final long RETRY_DELAY_MILLIS = 100;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final List<Endpoint> controlVms;
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(CALL_TIMEOUT).build();

    /** Outcome of an order or a read. */
    public enum Outcome {
        /** The order is in force. */
        ACKNOWLEDGED,
        /** The settings of the control VMs name no such zone. */
        UNKNOWN_ZONE,
        /** No control VM acknowledged the order in time; it may be in force. */
        UNKNOWN
    }

    /**
     * Creates a client.
     *
     * @param controlVms the addresses of the control VMs for operators, tried in turn; at least one
     */
    public ZoneClient(List<Endpoint> controlVms) {
        this.controlVms = List.copyOf(controlVms);
    }

    /**
     * Drains or returns a zone.
     *
     * @param zone the zone
     * @param isDrain {@code false} to return it
     * @return the outcome
     * @throws InterruptedException if the thread was interrupted
     */
    public Outcome order(String zone, boolean isDrain) throws InterruptedException {
        String path = (isDrain ? ControlCalls.DRAIN_PATH : ControlCalls.RETURN_PATH)
                + URLEncoder.encode(zone, StandardCharsets.UTF_8).replace("+", "%20");
        Deadline deadline = Deadline.after(System.nanoTime(), ACKNOWLEDGEMENT_TIMEOUT);
        for (int attempt = 0; !deadline.hasPassed(System.nanoTime()); attempt++) {
            int status =
                    call(attempt, path, "POST").map(HttpResponse::statusCode).orElse(0);
            if (status == OK) {
                return Outcome.ACKNOWLEDGED;
            }
            if (status == NOT_FOUND) {
                return Outcome.UNKNOWN_ZONE;
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
        return Outcome.UNKNOWN;
    }

    /**
     * Reads the drained zones.
     *
     * @return a JSON document with their names; empty if no control VM can confirm its state as current
     * @throws InterruptedException if the thread was interrupted
     */
    public Optional<String> read() throws InterruptedException {
        for (int attempt = 0; attempt < controlVms.size(); attempt++) {
            Optional<String> document = call(attempt, ControlCalls.READ_DRAINS_PATH, "GET")
                    .filter(response -> response.statusCode() == OK)
                    .map(HttpResponse::body);
            if (document.isPresent()) {
                return document;
            }
        }
        return Optional.empty();
    }

    /** Calls a control VM. Returns empty if it does not answer. */
    private Optional<HttpResponse<String>> call(int attempt, String path, String method) throws InterruptedException {
        Endpoint vm = controlVms.get(attempt % controlVms.size());
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + vm.host() + ":" + vm.port() + path))
                .timeout(CALL_TIMEOUT)
                .version(HttpClient.Version.HTTP_1_1)
                .method(method, HttpRequest.BodyPublishers.noBody())
                .build();
        try {
            return Optional.of(client.send(request, HttpResponse.BodyHandlers.ofString()));
        } catch (IOException exception) {
            return Optional.empty();
        }
    }
}
