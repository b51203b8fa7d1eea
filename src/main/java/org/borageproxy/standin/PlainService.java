package org.borageproxy.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

/**
 * A stand-in plain service that echoes bodies and counts how often each request ran. Its state is confined to one event
 * loop; the public methods are safe for use by any thread.
 */
public final class PlainService implements StandInServer.Behavior {

    /** The header that carries the request's identity. */
    private static final String IDENTITY_HEADER = "borageproxy-request-id";

    /** The event loops and timers. */
    private final Vertx vertx;
    /** How the service is set up. */
    private final ServiceOptions options;
    /** The listening port. */
    private final StandInServer server;
    /** Sends announcements. */
    private Announcer announcer;
    /** The incarnation that runs now. */
    private long incarnation;
    /** The sequence number of the last announcement. */
    private long sequence;
    /** The port of this service. */
    private int port;

    /**
     * Creates a service that does not run.
     *
     * @param vertx the event loops and timers
     * @param options how the service is set up
     */
    public PlainService(Vertx vertx, ServiceOptions options) {
        this.vertx = vertx;
        this.options = options;
        server = new StandInServer(vertx, options.name(), options.host(), options.port(), this);
        incarnation = options.incarnation() - 1;
    }

    /**
     * Starts the service.
     *
     * @return succeeds with the port
     */
    public Future<Integer> start() {
        return server.start();
    }

    /**
     * Stops the service without a leave message, as if its process had died.
     *
     * @return completes when the port is closed
     */
    public Future<Void> close() {
        return server.close();
    }

    /**
     * Changes the faults that the service shows.
     *
     * @param faults the faults
     */
    public void show(Faults faults) {
        server.run(() -> server.setFaults(faults));
    }

    /** Tells the VMs that the service leaves; it ends what it runs. */
    public void leave() {
        server.run(() -> {
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
    public void started(int listeningPort) {
        port = listeningPort;
        incarnation++;
        sequence = 0;
        announcer = new Announcer(vertx, options.announcing(), this::announcement);
        announcer.start();
    }

    @Override
    public void ended() {
        if (announcer != null) {
            announcer.close();
        }
    }

    @Override
    public void handle(HttpServerRequest request) {
        request.body().onSuccess(body -> run(request, body));
    }

    @Override
    public void count(JsonObject json) {
        json.put("incarnation", incarnation);
    }

    /**
     * Runs a request.
     *
     * @param request the request
     * @param body the request's body
     */
    private void run(HttpServerRequest request, Buffer body) {
        String identity = request.getHeader(IDENTITY_HEADER);
        server.counters().ran(identity == null ? "" : identity);
        if (server.faults().crashesOn(body.toString())) {
            server.crash();
            return;
        }
        server.whenAnswerIsDue(due -> answer(request.response(), identity, body));
    }

    /**
     * Echoes the body.
     *
     * @param response where the answer goes
     * @param identity the request's identity, {@code null} if it has none
     * @param body the body
     */
    private void answer(HttpServerResponse response, String identity, Buffer body) {
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
     * Builds the next announcement.
     *
     * @return the body of {@code POST /v1/announce}, or {@code null} while silent
     */
    private JsonObject announcement() {
        if (server.faults().silent()) {
            return null;
        }
        sequence++;
        return AnnouncementJson.ofService(options, incarnation, sequence, port);
    }
}
