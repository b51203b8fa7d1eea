package org.borageproxy.entry;

import java.time.Duration;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.borageproxy.execution.ClaimKey;
import org.borageproxy.execution.ClaimRequest;
import org.borageproxy.execution.RequestDigest;
import org.borageproxy.key.AuthenticationResult;
import org.borageproxy.time.Deadline;

/** One call of a caller, authenticated unless its route is open. Confined to the request's event loop. */
final class IncomingCall {

    /** The header that identifies a request over resends. */
    private static final String IDEMPOTENCY_HEADER = "idempotency-key";
    /** The header that states when the caller created the request, in milliseconds since 1970. */
    private static final String CREATED_HEADER = "borageproxy-created-at";

    /** The request's identity. */
    private final String identity;
    /** The request. */
    private final HttpServerRequest request;
    /** The response. */
    private final CallerResponse response;
    /** The caller, empty on an open route. */
    private final Optional<AuthenticationResult.Accepted> caller;
    /** The key that came with the request, if any. */
    private final Optional<String> key;
    /** The reading of the monotonic clock at which the call arrived, in nanoseconds. */
    private final long arrivedNanos;

    /**
     * Creates a call.
     *
     * @param identity the request's identity
     * @param request the request
     * @param response the response
     * @param caller the caller, empty on an open route
     * @param key the key that came with the request, if any
     * @param arrivedNanos the reading of the monotonic clock at which the call arrived, in nanoseconds
     */
    IncomingCall(
            String identity,
            HttpServerRequest request,
            CallerResponse response,
            Optional<AuthenticationResult.Accepted> caller,
            Optional<String> key,
            long arrivedNanos) {
        this.identity = identity;
        this.request = request;
        this.response = response;
        this.caller = caller;
        this.key = key;
        this.arrivedNanos = arrivedNanos;
    }

    /**
     * Returns the request's identity.
     *
     * @return the identity
     */
    String identity() {
        return identity;
    }

    /**
     * Returns the request.
     *
     * @return the request
     */
    HttpServerRequest request() {
        return request;
    }

    /**
     * Returns the response.
     *
     * @return the response
     */
    CallerResponse response() {
        return response;
    }

    /**
     * Returns the caller.
     *
     * @return the caller, empty on an open route
     */
    Optional<AuthenticationResult.Accepted> caller() {
        return caller;
    }

    /**
     * Returns the key that came with the request.
     *
     * @return the key, if any
     */
    Optional<String> key() {
        return key;
    }

    /**
     * Returns the caller's workspace.
     *
     * @return the workspace's name, empty on an open route
     */
    String workspace() {
        return caller.map(AuthenticationResult.Accepted::workspace).orElse("");
    }

    /**
     * Returns the path and query.
     *
     * @return the path and query
     */
    String path() {
        return request.query() == null ? request.path() : request.path() + "?" + request.query();
    }

    /**
     * Returns what identifies the request over resends.
     *
     * @return the idempotency key, if one was sent
     */
    Optional<String> idempotencyKey() {
        return Optional.ofNullable(request.getHeader(IDEMPOTENCY_HEADER)).filter(value -> !value.isBlank());
    }

    /**
     * Returns the claim that the request asks for.
     *
     * @param body the body
     * @return the claim, empty without an idempotency key
     */
    Optional<ClaimRequest> claim(Buffer body) {
        return idempotencyKey()
                .map(value -> new ClaimRequest(
                        new ClaimKey(workspace(), value),
                        RequestDigest.claimDigest(request.method().name(), path(), body.getBytes()),
                        createdAtMillis()));
    }

    /**
     * Returns when the caller created the request.
     *
     * @return milliseconds since 1970, or zero if not stated
     */
    private long createdAtMillis() {
        String stated = request.getHeader(CREATED_HEADER);
        boolean number = stated != null && stated.matches("[0-9]{1,15}");
        return number ? Long.parseLong(stated) : 0;
    }

    /**
     * Returns when the answer must be complete.
     *
     * @param timeoutMillis the time allowed to the request, in milliseconds
     * @return the deadline
     */
    Deadline deadline(long timeoutMillis) {
        return Deadline.after(arrivedNanos, Duration.ofMillis(timeoutMillis));
    }

    /**
     * Tells whether a text holds the caller's key.
     *
     * @param text the text
     * @return {@code true} if it does
     */
    boolean containsKey(String text) {
        return key.isPresent() && RequestFilter.INSTANCE.containsKey(text, key.get());
    }

    /**
     * Registers what happens if the caller goes away before the answer ended.
     *
     * @param action the action, run at most once
     */
    void onDisconnect(Runnable action) {
        if (request.response().closed()) {
            action.run();
        } else {
            request.response().closeHandler(nothing -> action.run());
        }
    }
}
