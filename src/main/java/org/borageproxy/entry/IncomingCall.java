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

/** One call of a caller, authenticated unless its route requires no key. Confined to the request's event loop. */
final class IncomingCall {

    /** Identifies a request across resends. */
    private static final String IDEMPOTENCY_HEADER = "idempotency-key";
    /** States when the caller created the request, in milliseconds since 1970. */
    private static final String CREATED_AT_HEADER = "borageproxy-created-at";

    private final String identity;
    private final HttpServerRequest request;
    private final CallerResponse response;
    private final Optional<AuthenticationResult.Accepted> caller;
    private final Optional<String> key;
    /** The monotonic time in nanoseconds. */
    private final long arrivedNanos;

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

    String identity() {
        return identity;
    }

    HttpServerRequest request() {
        return request;
    }

    CallerResponse response() {
        return response;
    }

    /**
     * Returns the caller.
     *
     * @return the caller, empty on a route that requires no key
     */
    Optional<AuthenticationResult.Accepted> caller() {
        return caller;
    }

    Optional<String> key() {
        return key;
    }

    /**
     * Returns the caller's workspace.
     *
     * @return the name of the workspace, empty on a route that requires no key
     */
    String workspace() {
        return caller.map(AuthenticationResult.Accepted::workspace).orElse("");
    }

    String pathAndQuery() {
        return request.query() == null ? request.path() : request.path() + "?" + request.query();
    }

    /**
     * Returns the key that identifies the request across resends.
     *
     * @return the idempotency key, empty if none was sent or if it is blank
     */
    Optional<String> idempotencyKey() {
        return Optional.ofNullable(request.getHeader(IDEMPOTENCY_HEADER)).filter(value -> !value.isBlank());
    }

    /**
     * Returns the claim required before dispatch.
     *
     * @param body the body
     * @return the claim, empty without an idempotency key
     */
    Optional<ClaimRequest> claim(Buffer body) {
        return idempotencyKey()
                .map(value -> new ClaimRequest(
                        new ClaimKey(workspace(), value),
                        RequestDigest.claimDigest(request.method().name(), pathAndQuery(), body.getBytes()),
                        createdAtMillis()));
    }

    /**
     * Returns when the caller created the request.
     *
     * @return milliseconds since 1970, or 0 if absent or malformed
     */
    private long createdAtMillis() {
        String headerValue = request.getHeader(CREATED_AT_HEADER);
        boolean isNumber = headerValue != null && headerValue.matches("[0-9]{1,15}");
        return isNumber ? Long.parseLong(headerValue) : 0;
    }

    /**
     * Returns when the response must be complete.
     *
     * @param timeoutMillis the timeout from the arrival of the call, in milliseconds
     * @return the deadline
     */
    Deadline deadline(long timeoutMillis) {
        return Deadline.after(arrivedNanos, Duration.ofMillis(timeoutMillis));
    }

    /**
     * Returns whether a text contains the caller's key, plain or encoded.
     *
     * @param text the text
     * @return {@code true} if it does
     */
    boolean containsKey(String text) {
        return key.isPresent() && RequestFilter.INSTANCE.containsKey(text, key.get());
    }

    /**
     * Registers an action that runs if the caller disconnects before the response ends.
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
