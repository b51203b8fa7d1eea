package org.borageproxy.engine;

import java.util.function.Consumer;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import org.borageproxy.time.Deadline;

/**
 * One call to an engine whose answer is read whole. The exchange fails if the answer is not complete at the deadline or
 * its body exceeds the maximum, and then closes its connection: a faulty engine may send bytes without end, and nothing
 * else would stop it. Bytes that are no part of the answer close the connection, for which a guard stands before the
 * decoder of the client; it also bounds the head. The outcome is set once. Thread safe.
 */
public final class BoundedExchange {

    private final HttpClientRequest request;
    private final int maximumBodyBytes;
    private final Promise<Answer> answer = Promise.promise();

    /**
     * A complete answer. The body must not be changed.
     *
     * @param status the HTTP status
     * @param body the body
     */
    public record Answer(int status, Buffer body) {}

    private BoundedExchange(HttpClientRequest request, int maximumBodyBytes) {
        this.request = request;
        this.maximumBodyBytes = maximumBodyBytes;
    }

    /**
     * Sends a request and reads the answer.
     *
     * @param vertx schedules the end of the exchange
     * @param request the request, of which nothing has been sent
     * @param content the body of the request, empty for none
     * @param deadline the time at which the answer must be complete, on the clock of {@link System#nanoTime()}
     * @param maximumBodyBytes the maximum size of the answer's body in bytes
     * @param onHead receives the answer once its head is complete, also if its body never is; must not read the body
     * @return the complete answer; fails if there is none
     */
    public static Future<Answer> send(
            Vertx vertx,
            HttpClientRequest request,
            Buffer content,
            Deadline deadline,
            int maximumBodyBytes,
            Consumer<HttpClientResponse> onHead) {
        BoundedExchange exchange = new BoundedExchange(request, maximumBodyBytes);
        long remainingMillis = Math.max(1, deadline.remainingMillis(System.nanoTime()));
        long timer = vertx.setTimer(remainingMillis, expired -> exchange.abort("no complete answer by the deadline"));
        exchange.answer.future().onComplete(ended -> vertx.cancelTimer(timer));
        AnswerExpectation.begin(request);
        Future<HttpClientResponse> response = content.length() == 0 ? request.send() : request.send(content);
        response.onSuccess(head -> {
                    onHead.accept(head);
                    exchange.read(head);
                })
                .onFailure(exchange.answer::tryFail);
        return exchange.answer.future();
    }

    private void read(HttpClientResponse response) {
        Buffer received = Buffer.buffer();
        response.exceptionHandler(answer::tryFail);
        response.handler(part -> {
            if (received.length() + part.length() > maximumBodyBytes) {
                abort("the body exceeds " + maximumBodyBytes + " bytes");
            } else {
                received.appendBuffer(part);
            }
        });
        response.endHandler(ended -> answer.tryComplete(new Answer(response.statusCode(), received)));
    }

    private void abort(String reason) {
        if (answer.tryFail(reason)) {
            request.reset();
        }
    }
}
