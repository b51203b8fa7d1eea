package org.borageproxy.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.borageproxy.execution.RequestOutcome;
import org.borageproxy.result.Execution;
import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes the response to one call, at most once. Confined to the request's event loop. */
final class CallerResponse {

    private static final Logger LOGGER = LoggerFactory.getLogger(CallerResponse.class);
    /** States whether the request ran. */
    static final String OUTCOME_HEADER = "borageproxy-outcome";
    /** Carries the request ID. */
    static final String IDENTITY_HEADER = "borageproxy-request-id";

    private final String identity;
    private final HttpServerRequest request;
    private final MonotonicClock clock;
    /** Whether connections are closed after each response. */
    private final BooleanSupplier connectionClosing;

    private final CompletionListener completionListener;
    /** Whether the head of the response is decided. */
    private boolean started;

    CallerResponse(
            String identity,
            HttpServerRequest request,
            MonotonicClock clock,
            BooleanSupplier connectionClosing,
            CompletionListener completionListener) {
        this.identity = identity;
        this.request = request;
        this.clock = clock;
        this.connectionClosing = connectionClosing;
        this.completionListener = completionListener;
    }

    /** Notified of the result of a call. */
    @FunctionalInterface
    interface CompletionListener {

        /**
         * Records the result; may be called more than once.
         *
         * @param code the result
         * @param execution whether the request ran
         */
        void onCompleted(ResultCode code, Execution execution);
    }

    /**
     * Refuses a request that did not run, with the default message of the code.
     *
     * @param code the reason
     */
    void refuse(ResultCode code) {
        refuse(code, code.sentence());
    }

    /**
     * Refuses a request that did not run.
     *
     * @param code the reason
     * @param message a sentence for the caller
     */
    void refuse(ResultCode code, String message) {
        fail(code, message, Execution.NOT_RUN, Optional.empty());
    }

    /**
     * Refuses a request that did not run and may be retried.
     *
     * @param code the reason
     * @param delay the delay before a retry
     */
    void refuse(ResultCode code, Duration delay) {
        Deadline retryAt = Deadline.after(clock.nanoTime(), delay);
        fail(code, code.sentence(), Execution.NOT_RUN, Optional.of(retryAt));
    }

    void fail(RequestOutcome.Failure failure) {
        fail(failure.code(), failure.code().sentence(), failure.execution(), failure.retryAt());
    }

    /** Records only the result if the response has started or the caller has disconnected. */
    private void fail(ResultCode code, String message, Execution execution, Optional<Deadline> retryAt) {
        if (started || request.response().ended() || request.response().closed()) {
            completionListener.onCompleted(code, execution);
            return;
        }
        HttpServerResponse response = begin(code.httpStatus(), execution);
        retryAt.ifPresent(deadline -> response.putHeader("retry-after", retryAfterSeconds(deadline)));
        response.putHeader("content-type", "application/json");
        if (code == ResultCode.KEY_REFUSED) {
            response.putHeader("www-authenticate", "Bearer");
        }
        end(response, new JsonObject().put("error", error(code, message)).toBuffer(), code, execution);
    }

    static JsonObject error(ResultCode code, String message) {
        return new JsonObject()
                .put("code", code.number())
                .put("name", code.name())
                .put("message", message);
    }

    private String retryAfterSeconds(Deadline deadline) {
        long millis = deadline.remainingMillis(clock.nanoTime());
        return Long.toString(Math.max(1, (millis + 999) / 1000));
    }

    void json(JsonObject json) {
        if (!isOpen()) {
            completionListener.onCompleted(ResultCode.OK, Execution.ANSWERED);
            return;
        }
        HttpServerResponse response = begin(ResultCode.OK.httpStatus(), Execution.ANSWERED);
        response.putHeader("content-type", "application/json");
        end(response, json.toBuffer(), ResultCode.OK, Execution.ANSWERED);
    }

    void end(HttpServerResponse response, Buffer body, ResultCode code, Execution execution) {
        response.end(body).onComplete(written -> completionListener.onCompleted(code, execution));
    }

    /**
     * Starts a response. Requests that the connection be closed if the server is shutting down, or if the request has
     * an Expect header and its body has not been received completely: a caller that waits for {@code 100 Continue} may
     * never send it.
     *
     * @param status the HTTP status
     * @param execution whether the request ran
     * @return the response, to which nothing has been written
     */
    HttpServerResponse begin(int status, Execution execution) {
        started = true;
        HttpServerResponse response = request.response();
        response.setStatusCode(status);
        response.putHeader(IDENTITY_HEADER, identity);
        response.putHeader(OUTCOME_HEADER, execution.headerValue());
        boolean bodyPending = request.headers().contains("expect") && !request.isEnded();
        if (connectionClosing.getAsBoolean() || bodyPending) {
            response.putHeader("connection", "close");
        }
        return response;
    }

    /**
     * Closes the connection of a partly written response, so that the caller detects the truncation.
     *
     * @param code the reason
     */
    void abort(ResultCode code) {
        completionListener.onCompleted(code, Execution.MAY_HAVE_RUN);
        request.connection().close();
    }

    /**
     * Runs an action that writes the response. If it throws, the call fails, or its connection is closed if the
     * response has started.
     *
     * @param action the action
     */
    void runGuarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException exception) {
            LOGGER.error(
                    "event=answer-failed request={} reason={}",
                    identity,
                    exception.getClass().getName());
            if (started) {
                abort(ResultCode.INTERNAL);
            } else {
                fail(ResultCode.INTERNAL, ResultCode.INTERNAL.sentence(), Execution.MAY_HAVE_RUN, Optional.empty());
            }
        }
    }

    /**
     * Returns whether the caller can still receive data.
     *
     * @return {@code true} if the connection is open and the response has not ended
     */
    boolean isOpen() {
        return !request.response().closed() && !request.response().ended();
    }

    /**
     * Records the result of a response that was not written by this class.
     *
     * @param code the result
     * @param execution whether the request ran
     */
    void recordResult(ResultCode code, Execution execution) {
        completionListener.onCompleted(code, execution);
    }
}
