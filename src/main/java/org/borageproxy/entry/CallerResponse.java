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

/** Writes the answer to one request, at most once. Confined to the request's event loop. */
final class CallerResponse {

    /** The log. */
    private static final Logger LOGGER = LoggerFactory.getLogger(CallerResponse.class);
    /** The header that states what is known of the execution. */
    static final String OUTCOME_HEADER = "borageproxy-outcome";
    /** The header that carries the request's identity. */
    static final String IDENTITY_HEADER = "borageproxy-request-id";

    /** The request's identity. */
    private final String identity;
    /** The request. */
    private final HttpServerRequest request;
    /** The monotonic clock. */
    private final MonotonicClock clock;
    /** Tells whether connections are to be closed. */
    private final BooleanSupplier closing;
    /** Counts the result. */
    private final CompletionListener completion;
    /** Whether the answer is decided. */
    private boolean begun;

    /**
     * Creates a response.
     *
     * @param identity the request's identity
     * @param request the request
     * @param clock the monotonic clock
     * @param closing tells whether connections are to be closed
     * @param completion takes the result
     */
    CallerResponse(
            String identity,
            HttpServerRequest request,
            MonotonicClock clock,
            BooleanSupplier closing,
            CompletionListener completion) {
        this.identity = identity;
        this.request = request;
        this.clock = clock;
        this.closing = closing;
        this.completion = completion;
    }

    /** Takes the result of a request. */
    @FunctionalInterface
    interface CompletionListener {

        /**
         * Takes the result.
         *
         * @param code the result
         * @param execution what is known of the execution
         */
        void onCompleted(ResultCode code, Execution execution);
    }

    /**
     * Refuses a request that did not run.
     *
     * @param code why
     */
    void refuse(ResultCode code) {
        refuse(code, code.sentence());
    }

    /**
     * Refuses a request that did not run.
     *
     * @param code why
     * @param message a sentence for the caller
     */
    void refuse(ResultCode code, String message) {
        fail(code, message, Execution.NOT_RUN, Optional.empty());
    }

    /**
     * Refuses a request that did not run and may come back.
     *
     * @param code why
     * @param wait how long the caller should wait
     */
    void refuse(ResultCode code, Duration wait) {
        Deadline retryAt = Deadline.after(clock.nanoTime(), wait);
        fail(code, code.sentence(), Execution.NOT_RUN, Optional.of(retryAt));
    }

    /**
     * Answers with a failure.
     *
     * @param failure the failure
     */
    void fail(RequestOutcome.Failure failure) {
        fail(failure.code(), failure.code().sentence(), failure.execution(), failure.retryAt());
    }

    /**
     * Answers with a failure.
     *
     * @param code why
     * @param message a sentence for the caller
     * @param execution what is known of the execution
     * @param retryAt when to come back
     */
    private void fail(ResultCode code, String message, Execution execution, Optional<Deadline> retryAt) {
        if (begun || request.response().ended() || request.response().closed()) {
            completion.onCompleted(code, execution);
            return;
        }
        HttpServerResponse response = begin(code.httpStatus(), execution);
        retryAt.ifPresent(deadline -> response.putHeader("retry-after", retryAfter(deadline)));
        response.putHeader("content-type", "application/json");
        if (code == ResultCode.KEY_REFUSED) {
            response.putHeader("www-authenticate", "Bearer");
        }
        end(response, new JsonObject().put("error", error(code, message)).toBuffer(), code, execution);
    }

    /**
     * Encodes an error.
     *
     * @param code the result
     * @param message a sentence for the caller
     * @return the encoded error
     */
    static JsonObject error(ResultCode code, String message) {
        return new JsonObject()
                .put("code", code.number())
                .put("name", code.name())
                .put("message", message);
    }

    /**
     * Returns the whole seconds to wait, rounded up.
     *
     * @param deadline when to come back
     * @return the seconds, at least one
     */
    private String retryAfter(Deadline deadline) {
        long millis = deadline.remainingMillis(clock.nanoTime());
        return Long.toString(Math.max(1, (millis + 999) / 1000));
    }

    /**
     * Answers with a JSON value.
     *
     * @param json the value
     */
    void json(JsonObject json) {
        if (!isOpen()) {
            completion.onCompleted(ResultCode.OK, Execution.ANSWERED);
            return;
        }
        HttpServerResponse response = begin(ResultCode.OK.httpStatus(), Execution.ANSWERED);
        response.putHeader("content-type", "application/json");
        end(response, json.toBuffer(), ResultCode.OK, Execution.ANSWERED);
    }

    /**
     * Answers with a body.
     *
     * @param response the response, begun
     * @param body the body
     * @param code the result
     * @param execution what is known of the execution
     */
    void end(HttpServerResponse response, Buffer body, ResultCode code, Execution execution) {
        response.end(body).onComplete(written -> completion.onCompleted(code, execution));
    }

    /**
     * Begins the answer.
     *
     * @param status the HTTP status
     * @param execution what is known of the execution
     * @return the response, to which nothing was written
     */
    HttpServerResponse begin(int status, Execution execution) {
        begun = true;
        HttpServerResponse response = request.response();
        response.setStatusCode(status);
        response.putHeader(IDENTITY_HEADER, identity);
        response.putHeader(OUTCOME_HEADER, execution.headerValue());
        boolean bodyHeldBack = request.headers().contains("expect") && !request.isEnded();
        if (closing.getAsBoolean() || bodyHeldBack) {
            response.putHeader("connection", "close");
        }
        return response;
    }

    /**
     * Ends an answer, of which the caller has a part, visibly cut.
     *
     * @param code why
     */
    void abort(ResultCode code) {
        completion.onCompleted(code, Execution.MAY_HAVE_RUN);
        request.connection().close();
    }

    /**
     * Runs a step that writes the answer, and ends the call visibly if the step fails.
     *
     * @param step the step
     */
    void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException exception) {
            LOGGER.error(
                    "event=answer-failed request={} reason={}",
                    identity,
                    exception.getClass().getName());
            if (begun) {
                abort(ResultCode.INTERNAL);
            } else {
                fail(ResultCode.INTERNAL, ResultCode.INTERNAL.sentence(), Execution.MAY_HAVE_RUN, Optional.empty());
            }
        }
    }

    /**
     * Tells whether the caller can still receive anything.
     *
     * @return {@code true} if the connection is open and the answer has not ended
     */
    boolean isOpen() {
        return !request.response().closed() && !request.response().ended();
    }

    /**
     * Records the end of an answer that was written elsewhere.
     *
     * @param code the result
     * @param execution what is known of the execution
     */
    void recordResult(ResultCode code, Execution execution) {
        completion.onCompleted(code, execution);
    }
}
