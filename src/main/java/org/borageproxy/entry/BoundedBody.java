package org.borageproxy.entry;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/** Reads request bodies up to a bound; what goes beyond it is dropped unread. Stateless and thread safe. */
final class BoundedBody {

    /** Not instantiable. */
    private BoundedBody() {}

    /** Says that a body is larger than the bound. Immutable. */
    static final class TooLargeException extends Exception {

        /** Creates an exception. */
        TooLargeException() {
            super("The body is larger than the bound", null, false, false);
        }
    }

    /**
     * Reads the body of a request.
     *
     * @param request the request
     * @param maximumBytes the largest body, in bytes
     * @return the body, or a failure with {@link TooLargeException} or of the connection
     */
    static Future<Buffer> read(HttpServerRequest request, int maximumBytes) {
        Promise<Buffer> promise = Promise.promise();
        Buffer body = Buffer.buffer();
        request.exceptionHandler(promise::tryFail);
        request.endHandler(nothing -> promise.tryComplete(body));
        request.handler(chunk -> {
            if (promise.future().isComplete()) {
                return;
            }
            if (body.length() + chunk.length() > maximumBytes) {
                promise.tryFail(new TooLargeException());
            } else {
                body.appendBuffer(chunk);
            }
        });
        if (declaresMoreThan(request, maximumBytes)) {
            promise.tryFail(new TooLargeException());
        }
        return promise.future();
    }

    /**
     * Tells whether a request declares a body larger than the bound.
     *
     * @param request the request
     * @param maximumBytes the largest body, in bytes
     * @return {@code true} if it does
     */
    private static boolean declaresMoreThan(HttpServerRequest request, int maximumBytes) {
        String declared = request.getHeader("content-length");
        try {
            return declared != null && Long.parseLong(declared.strip()) > maximumBytes;
        } catch (NumberFormatException exception) {
            return true;
        }
    }
}
