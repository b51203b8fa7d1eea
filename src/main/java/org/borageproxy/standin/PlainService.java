package org.borageproxy.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

/**
 * A simulated plain service that echoes request bodies and counts how often each request ran. Its state is confined to
 * one event loop; {@link #start}, {@link #close}, {@link #setFaults} and {@link #leave} may be called by any thread.
 */
public final class PlainService implements StandInServer.Behavior {

    private static final String IDENTITY_HEADER = "borageproxy-request-id";

    private final Vertx vertx;
    private final ServiceOptions options;
    private final StandInServer server;
    private Announcer announcer;
    private long incarnation;
    private long sequence;
    private int port;

    /**
     * Creates a service that is not started.
     *
     * @param vertx the event loops and timers
     * @param options the service's settings
     */
    public PlainService(Vertx vertx, ServiceOptions options) {
        this.vertx = vertx;
        this.options = options;
        server = new StandInServer(vertx, options.name(), options.host(), options.port(), this);
        incarnation = options.incarnation() - 1;
    }

    /**
     * Starts the first incarnation.
     *
     * @return succeeds with the port
     */
    public Future<Integer> start() {
        return server.start();
    }

    /**
     * Stops the service for good, without a leave message, as if its process had died.
     *
     * @return completes when the port is closed
     */
    public Future<Void> close() {
        return server.close();
    }

    /**
     * Replaces the injected faults.
     *
     * @param faults the faults
     */
    public void setFaults(Faults faults) {
        server.runOnEventLoop(() -> server.setFaults(faults));
    }

    /** Announces that the service leaves and stops its announcements. Requests in progress run to their end. */
    public void leave() {
        server.runOnEventLoop(() -> {
            sequence++;
            announcer.post(
                    "/v1/leave",
                    new JsonObject()
                            .put("name", options.name())
                            .put("incarnation", incarnation)
                            .put("sequence", sequence));
            announcer.stop();
        });
    }

    @Override
    public void onStart(int listeningPort) {
        port = listeningPort;
        incarnation++;
        sequence = 0;
        announcer = new Announcer(vertx, options.announcements(), this::nextAnnouncement);
        announcer.start();
    }

    @Override
    public void onStop() {
        if (announcer != null) {
            announcer.close();
        }
    }

    @Override
    public void handle(HttpServerRequest request) {
        request.body().onSuccess(body -> run(request, body));
    }

    @Override
    public void addCounters(JsonObject json) {
        json.put("incarnation", incarnation);
    }

    private void run(HttpServerRequest request, Buffer body) {
        String identity = request.getHeader(IDENTITY_HEADER);
        server.counters().recordRun(identity == null ? "" : identity);
        if (server.faults().crashesOn(body.toString())) {
            server.crash();
            return;
        }
        server.runAfterResponseDelay(ignored -> respond(request.response(), identity, body));
    }

    /** Both truncation and cut send the body with a larger content length and then reset the connection. */
    private void respond(HttpServerResponse response, String identity, Buffer body) {
        if (identity != null) {
            response.putHeader(IDENTITY_HEADER, server.faults().crossed() ? "crossed-" + identity : identity);
        }
        if (server.faults().truncateAfterTokens() >= 0 || server.faults().cutAfterTokens() >= 0) {
            response.putHeader("content-length", String.valueOf(body.length() + 1));
            response.write(body).onComplete(ignored -> response.reset());
            return;
        }
        response.end(body);
    }

    /**
     * Builds the next announcement, with the next sequence number.
     *
     * @return the body, or {@code null} if announcements are disabled by a fault
     */
    private JsonObject nextAnnouncement() {
        if (server.faults().silent()) {
            return null;
        }
        sequence++;
        return AnnouncementJson.ofService(options, incarnation, sequence, port);
    }
}
