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
 * HTTP server on which backend servers announce themselves. Refuses messages without the credential, and messages that
 * are oversized or malformed, with a numbered result code. Thread safe.
 */
final class AnnounceServer {

    /** Maximum size of a body, in bytes. */
    private static final int MAX_BODY_BYTES = 256 * 1024;

    private static final int IDLE_TIMEOUT_SECONDS = 30;
    private static final int MAX_REQUEST_LINE_BYTES = 1_024;
    /** Maximum total size of the headers, in bytes. */
    private static final int MAX_HEADERS_BYTES = 8 * 1024;

    private static final String BEARER = "Bearer ";

    private final HttpServer server;
    private final AnnounceSettings settings;
    /** SHA-256 digest of the credential. */
    private final byte[] credentialDigest;

    private final Receiver receiver;

    /** Creates a server that is not bound yet. */
    AnnounceServer(Vertx vertx, AnnounceSettings settings, Receiver receiver) {
        this.settings = settings;
        this.receiver = receiver;
        credentialDigest = digest(settings.credential());
        server = vertx.createHttpServer(new HttpServerOptions()
                        .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
                        .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                        .setMaxHeaderSize(MAX_HEADERS_BYTES))
                .requestHandler(this::handle);
    }

    /** Receives the messages of backend servers. Implementations are thread safe and do not block. */
    interface Receiver {

        /** Applies an announcement and returns whether it was newer than the known state. */
        boolean onAnnouncement(Announcement announcement);

        /** Applies the leave of an incarnation and returns whether it was new. */
        boolean onLeave(BackendServerName name, long incarnation);

        /** Called with the cache events of one message. */
        void onCacheEvents(CacheEvents events);
    }

    /** Binds the port. Succeeds with the bound port. */
    Future<Integer> start() {
        return server.listen(settings.port(), settings.host()).map(HttpServer::actualPort);
    }

    /** Closes the port and its connections. */
    Future<Void> close() {
        return server.close();
    }

    private void handle(HttpServerRequest request) {
        if (!isAuthorized(request)) {
            refuse(request, ResultCode.ANNOUNCER_REFUSED, ResultCode.ANNOUNCER_REFUSED.sentence());
            return;
        }
        switch (request.path() == null ? "" : request.path()) {
            case "/v1/announce" -> readBody(request, AnnouncementParser::announcement);
            case "/v1/leave" -> readBody(request, AnnouncementParser::leave);
            case "/v1/cache-events" -> readBody(request, AnnouncementParser::cacheEvents);
            default -> refuse(request, ResultCode.UNKNOWN_PATH, ResultCode.UNKNOWN_PATH.sentence());
        }
    }

    /**
     * Whether a request carries the credential. Compares digests in constant time, so that the duration reveals nothing
     * about the credential.
     */
    private boolean isAuthorized(HttpServerRequest request) {
        String header = request.getHeader("authorization");
        String presented = header != null && header.startsWith(BEARER) ? header.substring(BEARER.length()) : "";
        return MessageDigest.isEqual(digest(presented), credentialDigest);
    }

    /** Reads the body of a POST request up to the maximum size and applies the message. */
    private void readBody(HttpServerRequest request, Function<String, AnnouncementParser.Parsed> parser) {
        if (request.method() != HttpMethod.POST) {
            refuse(request, ResultCode.METHOD_NOT_ALLOWED, ResultCode.METHOD_NOT_ALLOWED.sentence());
            return;
        }
        Buffer body = Buffer.buffer();
        request.handler(chunk -> {
            if (body.length() + chunk.length() > MAX_BODY_BYTES) {
                request.handler(null).endHandler(null);
                refuse(request, ResultCode.BODY_TOO_LARGE, ResultCode.BODY_TOO_LARGE.sentence());
                return;
            }
            body.appendBuffer(chunk);
        });
        request.endHandler(ignored -> dispatch(request, parser.apply(body.toString())));
    }

    private void dispatch(HttpServerRequest request, AnnouncementParser.Parsed parsed) {
        if (parsed instanceof AnnouncementParser.Parsed.Malformed malformed) {
            String sentence = malformed.field() + ": expected " + malformed.expected();
            refuse(request, ResultCode.MALFORMED_REQUEST, sentence);
        } else if (parsed instanceof AnnouncementParser.Parsed.Announced announced) {
            respondAccepted(request, receiver.onAnnouncement(announced.announcement()));
        } else if (parsed instanceof AnnouncementParser.Parsed.Left left) {
            respondAccepted(request, receiver.onLeave(left.name(), left.incarnation()));
        } else if (parsed instanceof AnnouncementParser.Parsed.Cached cached) {
            receiver.onCacheEvents(cached.events());
            respondAccepted(request, true);
        }
    }

    private static void respondAccepted(HttpServerRequest request, boolean isNew) {
        respond(request, ResultCode.OK.httpStatus(), new JsonObject().put("accepted", isNew));
    }

    private static void refuse(HttpServerRequest request, ResultCode code, String sentence) {
        JsonObject error = new JsonObject().put("code", code.number()).put("message", sentence);
        request.response().putHeader("connection", "close");
        respond(request, code.httpStatus(), new JsonObject().put("error", error));
    }

    private static void respond(HttpServerRequest request, int status, JsonObject json) {
        request.response()
                .setStatusCode(status)
                .putHeader("content-type", "application/json")
                .end(json.toBuffer());
    }

    private static byte[] digest(String credential) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(credential.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("SHA-256 is missing", missing);
        }
    }
}
