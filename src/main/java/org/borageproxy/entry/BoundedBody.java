package org.borageproxy.entry;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/** Reads request bodies up to a maximum size and discards the rest. Stateless and thread safe. */
final class BoundedBody {

    private BoundedBody() {}

    /** Thrown for a body that exceeds the maximum size. Immutable. */
    static final class TooLargeException extends Exception {

        TooLargeException() {
            super("Request body exceeds the size limit", null, false, false);
        }
    }

    /**
     * Reads the body of a request.
     *
     * @param request the request
     * @param maximumBytes the maximum size of the body, in bytes
     * @return the body; fails with {@link TooLargeException} or with the failure of the connection
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
        if (hasLargerContentLength(request, maximumBytes)) {
            promise.tryFail(new TooLargeException());
        }
        return promise.future();
    }

    private static boolean hasLargerContentLength(HttpServerRequest request, int maximumBytes) {
        String declaredLength = request.getHeader("content-length");
        try {
            return declaredLength != null && Long.parseLong(declaredLength.strip()) > maximumBytes;
        } catch (NumberFormatException exception) {
            return true;
        }
    }
}
