package org.borageproxy.membership;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.function.Function;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import org.borageproxy.result.ResultCode;

/**
 * The port at which backend servers announce themselves. Refuses messages without the credential, and messages that are
 * too large or malformed, with a numbered result. Thread safe.
 */
final class AnnounceServer {

    /** The largest body, in bytes. */
    private static final int LARGEST_BODY_BYTES = 256 * 1024;
    /** The time after which an idle connection closes, in seconds. */
    private static final int IDLE_TIMEOUT_SECONDS = 30;
    /** The longest request line, in bytes. */
    private static final int LONGEST_REQUEST_LINE_BYTES = 1_024;
    /** The largest size of all headers, in bytes. */
    private static final int LARGEST_HEADERS_BYTES = 8 * 1024;
    /** What stands before the credential in the header. */
    private static final String BEARER = "Bearer ";

    /** The HTTP server. */
    private final HttpServer server;
    /** Where to listen. */
    private final AnnounceSettings settings;
    /** The digest of the credential. */
    private final byte[] credentialDigest;
    /** Takes the messages. */
    private final Receiver receiver;

    /**
     * Creates a server that does not listen.
     *
     * @param vertx the event loops
     * @param settings where to listen
     * @param receiver takes the messages
     */
    AnnounceServer(Vertx vertx, AnnounceSettings settings, Receiver receiver) {
        this.settings = settings;
        this.receiver = receiver;
        credentialDigest = digest(settings.credential());
        server = vertx.createHttpServer(new HttpServerOptions()
                        .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
                        .setMaxInitialLineLength(LONGEST_REQUEST_LINE_BYTES)
                        .setMaxHeaderSize(LARGEST_HEADERS_BYTES))
                .requestHandler(this::handle);
    }

    /** Takes the messages of backend servers. Implementations are safe for use by any thread and do not block. */
    interface Receiver {

        /**
         * Takes an announcement.
         *
         * @param announcement the announcement
         * @return whether it was newer than what was known
         */
        boolean announced(Announcement announcement);

        /**
         * Takes a leave.
         *
         * @param name the backend server
         * @param incarnation the incarnation that leaves
         * @return whether it was new
         */
        boolean left(BackendServerName name, long incarnation);

        /**
         * Takes cache events.
         *
         * @param events the events
         */
        void cached(CacheEvents events);
    }

    /**
     * Starts to listen.
     *
     * @return succeeds with the port
     */
    Future<Integer> start() {
        return server.listen(settings.port(), settings.host()).map(HttpServer::actualPort);
    }

    /**
     * Stops to listen.
     *
     * @return completes when closed
     */
    Future<Void> close() {
        return server.close();
    }

    /**
     * Answers a request.
     *
     * @param request the request
     */
    private void handle(HttpServerRequest request) {
        if (!isAuthorized(request)) {
            refuse(request, ResultCode.ANNOUNCER_REFUSED, ResultCode.ANNOUNCER_REFUSED.sentence());
            return;
        }
        switch (request.path() == null ? "" : request.path()) {
            case "/v1/announce" -> read(request, AnnouncementParser::announcement);
            case "/v1/leave" -> read(request, AnnouncementParser::leave);
            case "/v1/cache-events" -> read(request, AnnouncementParser::cacheEvents);
            default -> refuse(request, ResultCode.UNKNOWN_PATH, ResultCode.UNKNOWN_PATH.sentence());
        }
    }

    /**
     * Tells whether a request carries the credential, in a time that does not depend on how much of it is right.
     *
     * @param request the request
     * @return {@code true} if it does
     */
    private boolean isAuthorized(HttpServerRequest request) {
        String header = request.getHeader("authorization");
        String presented = header != null && header.startsWith(BEARER) ? header.substring(BEARER.length()) : "";
        return MessageDigest.isEqual(digest(presented), credentialDigest);
    }

    /**
     * Reads the body of a message, up to the largest size, and takes the message.
     *
     * @param request the request
     * @param parser parses the body
     */
    private void read(HttpServerRequest request, Function<String, AnnouncementParser.Parsed> parser) {
        if (request.method() != HttpMethod.POST) {
            refuse(request, ResultCode.METHOD_NOT_ALLOWED, ResultCode.METHOD_NOT_ALLOWED.sentence());
            return;
        }
        Buffer body = Buffer.buffer();
        request.handler(chunk -> {
            if (body.length() + chunk.length() > LARGEST_BODY_BYTES) {
                request.handler(null).endHandler(null);
                refuse(request, ResultCode.BODY_TOO_LARGE, ResultCode.BODY_TOO_LARGE.sentence());
                return;
            }
            body.appendBuffer(chunk);
        });
        request.endHandler(ended -> take(request, parser.apply(body.toString())));
    }

    /**
     * Takes a parsed message and answers.
     *
     * @param request the request
     * @param parsed the message
     */
    private void take(HttpServerRequest request, AnnouncementParser.Parsed parsed) {
        if (parsed instanceof AnnouncementParser.Parsed.Malformed malformed) {
            String sentence = malformed.field() + ": expected " + malformed.expected();
            refuse(request, ResultCode.MALFORMED_REQUEST, sentence);
        } else if (parsed instanceof AnnouncementParser.Parsed.Announced announced) {
            accept(request, receiver.announced(announced.announcement()));
        } else if (parsed instanceof AnnouncementParser.Parsed.Left left) {
            accept(request, receiver.left(left.name(), left.incarnation()));
        } else if (parsed instanceof AnnouncementParser.Parsed.Cached cached) {
            receiver.cached(cached.events());
            accept(request, true);
        }
    }

    /**
     * Answers a well-formed message.
     *
     * @param request the request
     * @param accepted whether it was new
     */
    private static void accept(HttpServerRequest request, boolean accepted) {
        answer(request, ResultCode.OK.httpStatus(), new JsonObject().put("accepted", accepted));
    }

    /**
     * Refuses a message.
     *
     * @param request the request
     * @param code why
     * @param sentence what to say
     */
    private static void refuse(HttpServerRequest request, ResultCode code, String sentence) {
        JsonObject error = new JsonObject().put("code", code.number()).put("message", sentence);
        request.response().putHeader("connection", "close");
        answer(request, code.httpStatus(), new JsonObject().put("error", error));
    }

    /**
     * Answers with JSON.
     *
     * @param request the request
     * @param status the HTTP status
     * @param json the body
     */
    private static void answer(HttpServerRequest request, int status, JsonObject json) {
        request.response()
                .setStatusCode(status)
                .putHeader("content-type", "application/json")
                .end(json.toBuffer());
    }

    /**
     * Returns the digest of a credential.
     *
     * @param credential the credential
     * @return the SHA-256 digest
     */
    private static byte[] digest(String credential) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(credential.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("SHA-256 is missing", missing);
        }
    }
}
