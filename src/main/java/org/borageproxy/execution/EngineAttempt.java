package org.borageproxy.execution;

import java.time.Duration;
import java.util.Optional;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import org.borageproxy.engine.AnswerExpectation;
import org.borageproxy.engine.BoundedExchange;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;

/**
 * One exchange with a model engine. Its future completes exactly once; data that arrives later is not passed to the
 * receiver. A connection whose response did not end as expected is closed and not reused. Confined to the request's
 * event loop.
 */
final class EngineAttempt {

    /** Carries the request ID. */
    static final String IDENTITY_HEADER = "borageproxy-request-id";
    /** Set to "true" by a backend server that did not run the request. */
    static final String NOT_RUN_HEADER = "borageproxy-not-run";

    private static final int MAXIMUM_LINE_BYTES = 1_048_576;
    private static final long PROGRESS_CHECK_INTERVAL_MILLIS = 100;
    /** The lower bound of the stall timeout. */
    private static final Duration MINIMUM_STALL_TIMEOUT = Duration.ofSeconds(2);
    /**
     * The time allowed for the engine to confirm a cancellation, or to end the exchange after the last line or an
     * error.
     */
    private static final Duration CANCEL_TIMEOUT = Duration.ofMillis(500);

    private static final int MAXIMUM_CANCEL_ANSWER_BYTES = 64 << 10;
    /** The stall timeout is the remaining time divided by this, which leaves time for another attempt. */
    private static final int STALL_TIMEOUT_DIVISOR = 2;

    private final EngineTask.Dependencies dependencies;
    private final EngineRequest request;
    private final BackendServer server;
    private final EngineResponseReader reader;
    private final SendGuard guard;
    private final Receiver receiver;
    private final Promise<AttemptOutcome> outcome = Promise.promise();
    /** The HTTP request, or {@code null} until the connection is open. */
    private HttpClientRequest clientRequest;

    private boolean sent;
    private boolean completed;
    private Deadline progressDeadline;
    private long progressTimer = -1;

    EngineAttempt(
            EngineTask.Dependencies dependencies,
            EngineRequest request,
            BackendServer server,
            int startIndex,
            SendGuard guard,
            Receiver receiver) {
        this.dependencies = dependencies;
        this.request = request;
        this.server = server;
        this.reader = new EngineResponseReader(request.identity(), startIndex);
        this.guard = guard;
        this.receiver = receiver;
    }

    /** Receives the response of an attempt. */
    interface Receiver {

        void onToken(String text);

        void onDone(EngineResponseReader.Line.Done line);

        /**
         * Returns the sink whose backpressure pauses the response.
         *
         * @return the sink
         */
        TokenSink sink();
    }

    /**
     * Runs the exchange.
     *
     * @param body the encoded run
     * @return the outcome; never fails
     */
    Future<AttemptOutcome> run(JsonObject body) {
        dependencies
                .clients()
                .forRequest(request.repeatable())
                .request(options(HttpMethod.POST, "/v1/run"))
                .onComplete(
                        connected -> send(connected, body.toBuffer()),
                        failure -> complete(
                                new AttemptOutcome.NotRun(ResultCode.NO_REPLICA, AttemptOutcome.Scope.SERVER)));
        return outcome.future();
    }

    /**
     * Sends the request unless the attempt was cancelled while the connection was being opened.
     *
     * @param connected the HTTP request on the open connection
     * @param body the body
     */
    private void send(HttpClientRequest connected, Buffer body) {
        clientRequest = connected;
        if (completed) {
            connected.reset();
            return;
        }
        Optional<ResultCode> refusal = guard.beforeSend();
        if (refusal.isPresent()) {
            connected.reset();
            complete(new AttemptOutcome.NotRun(refusal.get(), AttemptOutcome.Scope.REQUEST));
            return;
        }
        sent = true;
        resetProgressDeadline();
        progressTimer = dependencies.vertx().setPeriodic(PROGRESS_CHECK_INTERVAL_MILLIS, timer -> checkProgress());
        AnswerExpectation.begin(connected);
        connected.response().onComplete(this::handleResponse, failure -> onConnectionLost());
        connected
                .putHeader("content-type", "application/json")
                .putHeader(IDENTITY_HEADER, request.identity())
                .end(body);
    }

    private void handleResponse(HttpClientResponse response) {
        response.exceptionHandler(failure -> onConnectionLost());
        if (completed) {
            clientRequest.reset();
            return;
        }
        if (response.statusCode() != ResultCode.OK.httpStatus()) {
            handleErrorResponse(response);
            return;
        }
        if (!request.identity().equals(response.getHeader(IDENTITY_HEADER))) {
            abort(new AttemptOutcome.MayHaveRun(ResultCode.ANSWER_INVALID, AttemptOutcome.Cause.INVALID));
            return;
        }
        RecordParser parser = RecordParser.newDelimited("\n", response);
        parser.maxRecordSize(MAXIMUM_LINE_BYTES);
        parser.exceptionHandler(failure -> onConnectionLost());
        parser.endHandler(nothing -> onConnectionLost());
        parser.handler(line -> readLine(response, line));
    }

    private void readLine(HttpClientResponse response, Buffer line) {
        if (completed) {
            clientRequest.reset();
            return;
        }
        EngineResponseReader.Line content = reader.read(line);
        if (content instanceof EngineResponseReader.Line.Token token) {
            resetProgressDeadline();
            receiver.onToken(token.text());
            pauseWhileFull(response);
        } else if (content instanceof EngineResponseReader.Line.Done last) {
            receiver.onDone(last);
            complete(AttemptOutcome.Answered.INSTANCE);
            closeUnlessEndedInTime(response);
        } else {
            abort(new AttemptOutcome.MayHaveRun(ResultCode.ANSWER_INVALID, AttemptOutcome.Cause.INVALID));
        }
    }

    private void pauseWhileFull(HttpClientResponse response) {
        if (receiver.sink().isFull()) {
            response.pause();
            receiver.sink().onDrain(() -> {
                resetProgressDeadline();
                response.resume();
            });
        }
    }

    /**
     * Closes the connection if the exchange does not end shortly after the response.
     *
     * @param response the response
     */
    private void closeUnlessEndedInTime(HttpClientResponse response) {
        HttpClientRequest endedRequest = clientRequest;
        long timer = dependencies.vertx().setTimer(CANCEL_TIMEOUT.toMillis(), expired -> endedRequest.reset());
        response.end().onComplete(ended -> dependencies.vertx().cancelTimer(timer));
    }

    private void handleErrorResponse(HttpClientResponse response) {
        boolean notRun = "true".equals(response.getHeader(NOT_RUN_HEADER));
        closeUnlessEndedInTime(response);
        response.resume();
        if (!notRun) {
            complete(new AttemptOutcome.MayHaveRun(ResultCode.BACKEND_FAILED, AttemptOutcome.Cause.FAILED_STATUS));
            return;
        }
        boolean modelNotLoaded = response.statusCode() == ResultCode.UNKNOWN_MODEL.httpStatus();
        ResultCode code = modelNotLoaded ? ResultCode.MODEL_LOADING : ResultCode.OVERLOADED;
        complete(new AttemptOutcome.NotRun(code, AttemptOutcome.Scope.SERVER));
    }

    private void onConnectionLost() {
        if (!completed) {
            abort(new AttemptOutcome.MayHaveRun(ResultCode.BACKEND_FAILED, AttemptOutcome.Cause.CUT));
        }
    }

    private void resetProgressDeadline() {
        long now = dependencies.clock().nanoTime();
        Duration remainingShare = Duration.ofNanos(request.deadline().remainingNanos(now) / STALL_TIMEOUT_DIVISOR);
        Duration stallTimeout =
                remainingShare.compareTo(MINIMUM_STALL_TIMEOUT) > 0 ? remainingShare : MINIMUM_STALL_TIMEOUT;
        progressDeadline = Deadline.after(now, stallTimeout);
    }

    /**
     * Cancels a stalled attempt if the request may run again on another engine. A response paused by backpressure is
     * not stalled.
     */
    private void checkProgress() {
        boolean paused = receiver.sink().isFull();
        if (request.repeatable()
                && !paused
                && progressDeadline.hasPassed(dependencies.clock().nanoTime())) {
            cancel(AttemptOutcome.Cause.TIMEOUT);
        }
    }

    /**
     * Ends the attempt as not run if nothing was sent; otherwise closes the connection and cancels the run on the
     * engine.
     *
     * @param cause the reason for the cancellation
     */
    void cancel(AttemptOutcome.Cause cause) {
        if (completed) {
            return;
        }
        if (!sent) {
            complete(new AttemptOutcome.NotRun(ResultCode.DEADLINE_PASSED, AttemptOutcome.Scope.REQUEST));
            return;
        }
        completed = true;
        dependencies.vertx().cancelTimer(progressTimer);
        clientRequest.reset();
        boolean retryPossible = cause == AttemptOutcome.Cause.TIMEOUT
                && !request.deadline().hasPassed(dependencies.clock().nanoTime());
        ResultCode code =
                cause == AttemptOutcome.Cause.TIMEOUT ? ResultCode.BACKEND_TIMEOUT : ResultCode.BACKEND_FAILED;
        Future<Void> cancellation = cancelRun();
        Future<Void> completion = retryPossible ? cancellation : Future.succeededFuture();
        completion.onComplete(done -> outcome.complete(new AttemptOutcome.MayHaveRun(code, cause)));
    }

    /**
     * Cancels the run on the engine. A further attempt waits for this, since it uses the same request ID.
     *
     * @return completes when the engine has responded or the timeout has expired
     */
    private Future<Void> cancelRun() {
        Deadline deadline = Deadline.after(System.nanoTime(), CANCEL_TIMEOUT);
        RequestOptions options =
                options(HttpMethod.DELETE, "/v1/run/" + request.identity()).setTimeout(CANCEL_TIMEOUT.toMillis());
        return dependencies
                .clients()
                .pooled()
                .request(options)
                .compose(cancellation -> BoundedExchange.send(
                        dependencies.vertx(),
                        cancellation,
                        Buffer.buffer(),
                        deadline,
                        MAXIMUM_CANCEL_ANSWER_BYTES,
                        head -> {}))
                .<Void>mapEmpty()
                .otherwiseEmpty();
    }

    private void abort(AttemptOutcome result) {
        if (!completed) {
            complete(result);
            clientRequest.reset();
        }
    }

    private void complete(AttemptOutcome result) {
        if (!completed) {
            completed = true;
            dependencies.vertx().cancelTimer(progressTimer);
            outcome.complete(result);
        }
    }

    private RequestOptions options(HttpMethod method, String path) {
        return new RequestOptions()
                .setMethod(method)
                .setHost(server.host())
                .setPort(server.port())
                .setURI(path);
    }
}
