package org.borageproxy.execution;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;

/**
 * One exchange with a model engine. Its future completes once, with an outcome; nothing that arrives later reaches the
 * receiver. A connection whose answer did not end as expected is closed and not reused. Confined to the request's event
 * loop.
 */
final class EngineAttempt {

    /** The header that carries the request's identity. */
    static final String IDENTITY_HEADER = "borageproxy-request-id";
    /** The header by which a backend server says that it did not run a request. */
    static final String NOT_RUN_HEADER = "borageproxy-not-run";
    /** The largest line of an answer, in bytes. */
    private static final int MAXIMUM_LINE_BYTES = 1_048_576;
    /** Milliseconds between checks for progress. */
    private static final long PROGRESS_CHECK_MILLIS = 100;
    /** The shortest time without progress after which an attempt ends. */
    private static final Duration SHORTEST_STALL = Duration.ofSeconds(2);
    /** The time for a cancellation to reach the engine. */
    private static final Duration CANCEL_TIME = Duration.ofMillis(500);
    /** The share of the time left that an engine may be silent, as a divisor. */
    private static final int STALL_DIVISOR = 2;

    /** What the work needs of its surroundings. */
    private final EngineTask.Dependencies tools;
    /** What the engine is asked for. */
    private final EngineRequest request;
    /** The backend server. */
    private final BackendServer server;
    /** Checks the lines. */
    private final EngineResponseReader reader;
    /** Decides whether the request may be sent. */
    private final SendGuard guard;
    /** Takes what arrives. */
    private final Receiver receiver;
    /** The outcome. */
    private final Promise<AttemptOutcome> outcome = Promise.promise();
    /** The exchange, or {@code null} before the connection is there. */
    private HttpClientRequest exchange;
    /** Whether the request was sent. */
    private boolean sent;
    /** Whether the outcome is decided. */
    private boolean decided;
    /** When the engine must have made progress. */
    private Deadline progressBefore;
    /** The timer that checks for progress. */
    private long progressTimer = -1;

    /**
     * Creates an attempt.
     *
     * @param tools what the work needs of its surroundings
     * @param request what the engine is asked for
     * @param server the backend server
     * @param startIndex the index of the first token
     * @param guard decides whether the request may be sent
     * @param receiver takes what arrives
     */
    EngineAttempt(
            EngineTask.Dependencies tools,
            EngineRequest request,
            BackendServer server,
            int startIndex,
            SendGuard guard,
            Receiver receiver) {
        this.tools = tools;
        this.request = request;
        this.server = server;
        this.reader = new EngineResponseReader(request.identity(), startIndex);
        this.guard = guard;
        this.receiver = receiver;
    }

    /** Takes what an attempt receives. */
    interface Receiver {

        /**
         * Takes the next token.
         *
         * @param text the token's text
         */
        void onToken(String text);

        /**
         * Takes the last line of the answer.
         *
         * @param line the line
         */
        void onDone(EngineResponseReader.Line.Done line);

        /**
         * Returns where the tokens go, which governs the flow.
         *
         * @return the sink
         */
        TokenSink sink();
    }

    /**
     * Runs the exchange.
     *
     * @param body the order to run
     * @return the outcome; never fails
     */
    Future<AttemptOutcome> run(JsonObject body) {
        tools.clients()
                .forRequest(request.repeatable())
                .request(options(HttpMethod.POST, "/v1/run"))
                .onComplete(
                        connected -> send(connected, body.toBuffer()),
                        failure ->
                                decide(new AttemptOutcome.NotRun(ResultCode.NO_REPLICA, AttemptOutcome.Scope.SERVER)));
        return outcome.future();
    }

    /**
     * Sends the request unless it was given up meanwhile.
     *
     * @param connected the exchange
     * @param body the body
     */
    private void send(HttpClientRequest connected, Buffer body) {
        exchange = connected;
        if (decided) {
            connected.reset();
            return;
        }
        Optional<ResultCode> refusal = guard.beforeSend();
        if (refusal.isPresent()) {
            connected.reset();
            decide(new AttemptOutcome.NotRun(refusal.get(), AttemptOutcome.Scope.REQUEST));
            return;
        }
        sent = true;
        progressed();
        progressTimer = tools.vertx().setPeriodic(PROGRESS_CHECK_MILLIS, timer -> checkProgress());
        connected.response().onComplete(this::respond, failure -> cut());
        connected
                .putHeader("content-type", "application/json")
                .putHeader(IDENTITY_HEADER, request.identity())
                .end(body);
    }

    /**
     * Reads the head of the answer.
     *
     * @param response the answer
     */
    private void respond(HttpClientResponse response) {
        response.exceptionHandler(failure -> cut());
        if (decided) {
            exchange.reset();
            return;
        }
        if (response.statusCode() != ResultCode.OK.httpStatus()) {
            refused(response);
            return;
        }
        if (!request.identity().equals(response.getHeader(IDENTITY_HEADER))) {
            abort(new AttemptOutcome.MayHaveRun(ResultCode.ANSWER_INVALID, AttemptOutcome.Cause.INVALID));
            return;
        }
        RecordParser parser = RecordParser.newDelimited("\n", response);
        parser.maxRecordSize(MAXIMUM_LINE_BYTES);
        parser.exceptionHandler(failure -> cut());
        parser.endHandler(nothing -> cut());
        parser.handler(line -> read(response, line));
    }

    /**
     * Reads a line of the answer.
     *
     * @param response the answer
     * @param line the line
     */
    private void read(HttpClientResponse response, Buffer line) {
        if (decided) {
            exchange.reset();
            return;
        }
        EngineResponseReader.Line content = reader.read(line);
        if (content instanceof EngineResponseReader.Line.Token token) {
            progressed();
            receiver.onToken(token.text());
            holdWhileFull(response);
        } else if (content instanceof EngineResponseReader.Line.Done last) {
            receiver.onDone(last);
            decide(AttemptOutcome.Answered.INSTANCE);
            closeUnlessEnded(response);
        } else {
            abort(new AttemptOutcome.MayHaveRun(ResultCode.ANSWER_INVALID, AttemptOutcome.Cause.INVALID));
        }
    }

    /**
     * Stops reading while the caller reads slower than the engine writes.
     *
     * @param response the answer
     */
    private void holdWhileFull(HttpClientResponse response) {
        if (receiver.sink().isFull()) {
            response.pause();
            receiver.sink().onDrain(() -> {
                progressed();
                response.resume();
            });
        }
    }

    /**
     * Closes the connection of a whole answer whose exchange does not end.
     *
     * @param response the answer
     */
    private void closeUnlessEnded(HttpClientResponse response) {
        HttpClientRequest finished = exchange;
        long timer = tools.vertx().setTimer(CANCEL_TIME.toMillis(), expired -> finished.reset());
        response.end().onComplete(ended -> tools.vertx().cancelTimer(timer));
    }

    /**
     * Interprets an answer that is not a run.
     *
     * @param response the answer
     */
    private void refused(HttpClientResponse response) {
        boolean notRun = "true".equals(response.getHeader(NOT_RUN_HEADER));
        closeUnlessEnded(response);
        response.resume();
        if (!notRun) {
            decide(new AttemptOutcome.MayHaveRun(ResultCode.BACKEND_FAILED, AttemptOutcome.Cause.FAILED_STATUS));
            return;
        }
        boolean notLoaded = response.statusCode() == ResultCode.UNKNOWN_MODEL.httpStatus();
        ResultCode code = notLoaded ? ResultCode.MODEL_LOADING : ResultCode.OVERLOADED;
        decide(new AttemptOutcome.NotRun(code, AttemptOutcome.Scope.SERVER));
    }

    /** Ends the attempt because the connection ended before the answer was whole. */
    private void cut() {
        if (!decided) {
            abort(new AttemptOutcome.MayHaveRun(ResultCode.BACKEND_FAILED, AttemptOutcome.Cause.CUT));
        }
    }

    /** Puts off the time before which the engine must make progress. */
    private void progressed() {
        long now = tools.clock().nanoTime();
        Duration half = Duration.ofNanos(request.deadline().remainingNanos(now) / STALL_DIVISOR);
        Duration stall = half.compareTo(SHORTEST_STALL) > 0 ? half : SHORTEST_STALL;
        progressBefore = Deadline.after(now, stall);
    }

    /** Ends the attempt if the engine is silent for too long and another could still answer. */
    private void checkProgress() {
        boolean paused = receiver.sink().isFull();
        if (request.repeatable()
                && !paused
                && progressBefore.hasPassed(tools.clock().nanoTime())) {
            cancel(AttemptOutcome.Cause.TIMEOUT);
        }
    }

    /**
     * Ends the attempt and tells the engine.
     *
     * @param cause why
     */
    void cancel(AttemptOutcome.Cause cause) {
        if (decided) {
            return;
        }
        if (!sent) {
            decide(new AttemptOutcome.NotRun(ResultCode.DEADLINE_PASSED, AttemptOutcome.Scope.REQUEST));
            return;
        }
        decided = true;
        tools.vertx().cancelTimer(progressTimer);
        exchange.reset();
        boolean goesOn = cause == AttemptOutcome.Cause.TIMEOUT
                && !request.deadline().hasPassed(tools.clock().nanoTime());
        ResultCode code =
                cause == AttemptOutcome.Cause.TIMEOUT ? ResultCode.BACKEND_TIMEOUT : ResultCode.BACKEND_FAILED;
        Future<Void> told = tellEngine();
        Future<Void> awaited = goesOn ? told : Future.succeededFuture();
        awaited.onComplete(done -> outcome.complete(new AttemptOutcome.MayHaveRun(code, cause)));
    }

    /**
     * Tells the engine that the run is cancelled. A further attempt waits for this, since it has the same identity.
     *
     * @return completes when the engine has answered, or when waiting for that is over
     */
    private Future<Void> tellEngine() {
        RequestOptions options = options(HttpMethod.DELETE, "/v1/run/" + request.identity());
        return tools.clients()
                .pooled()
                .request(options)
                .compose(HttpClientRequest::send)
                .compose(HttpClientResponse::end)
                .timeout(CANCEL_TIME.toMillis(), TimeUnit.MILLISECONDS)
                .otherwiseEmpty();
    }

    /**
     * Closes the connection and decides the outcome.
     *
     * @param result the outcome
     */
    private void abort(AttemptOutcome result) {
        if (!decided) {
            decide(result);
            exchange.reset();
        }
    }

    /**
     * Decides the outcome once.
     *
     * @param result the outcome
     */
    private void decide(AttemptOutcome result) {
        if (!decided) {
            decided = true;
            tools.vertx().cancelTimer(progressTimer);
            outcome.complete(result);
        }
    }

    /**
     * Returns the options of an exchange with the engine.
     *
     * @param method the HTTP method
     * @param path the path
     * @return the options
     */
    private RequestOptions options(HttpMethod method, String path) {
        return new RequestOptions()
                .setMethod(method)
                .setHost(server.host())
                .setPort(server.port())
                .setURI(path);
    }
}
