package org.borageproxy.command;

import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.borageproxy.result.ResultCode;
import org.borageproxy.settings.Endpoint;

/**
 * Calls the operators' interface of VMs and waits for the answer. A call that a VM did not take goes to the next VM;
 * changes carry identities, so that taking one twice has no effect. Used by one thread.
 */
final class OperatorClient implements AutoCloseable {

    /** The time allowed to one call, in milliseconds. */
    private static final long CALL_MILLIS = 30_000;
    /** The time allowed to a connection, in milliseconds. */
    private static final int CONNECT_MILLIS = 2_000;
    /** The smallest status that is no success. */
    private static final int FIRST_FAILURE_STATUS = 400;

    /** The endpoints, tried in order. */
    private final List<Endpoint> endpoints;
    /** The operators' credential. */
    private final String credential;
    /** Runs the client. */
    private final Vertx vertx = Vertx.vertx();
    /** The client. */
    private final HttpClient client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(CONNECT_MILLIS));

    /**
     * An answer of a VM.
     *
     * @param status the HTTP status
     * @param body the body
     */
    record Answer(int status, JsonObject body) {

        /**
         * Tells whether the call succeeded.
         *
         * @return {@code true} for a success
         */
        boolean isSuccess() {
            return status < FIRST_FAILURE_STATUS;
        }

        /**
         * Returns the number of the result code of a failure.
         *
         * @return the number, zero if there is none
         */
        int resultNumber() {
            JsonObject error = body.getJsonObject("error");
            return error == null ? 0 : error.getInteger("code", 0);
        }
    }

    /**
     * Creates a client.
     *
     * @param endpoints the operators' endpoints of VMs, tried in order
     * @param credential the operators' credential
     */
    OperatorClient(List<Endpoint> endpoints, String credential) {
        this.endpoints = List.copyOf(endpoints);
        this.credential = credential;
    }

    /**
     * Calls the first VM that takes the call.
     *
     * @param method the HTTP method
     * @param path the path with the query
     * @param body the body, {@code null} for none
     * @return the answer
     */
    Answer call(HttpMethod method, String path, JsonObject body) {
        String last = "no VM given";
        for (Endpoint endpoint : endpoints) {
            try {
                Answer answer = callOne(endpoint, method, path, body);
                if (!isRefusedForNow(answer)) {
                    return answer;
                }
                last = endpoint + ": " + answer.body().encode();
            } catch (ExecutionException | TimeoutException exception) {
                last = endpoint + ": " + exception.getMessage();
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                throw new CommandFailure(ExitCode.UNKNOWN, "interrupted");
            }
        }
        throw new CommandFailure(ExitCode.UNKNOWN, "no VM took the call; the last one said " + last);
    }

    /**
     * Calls one VM.
     *
     * @param endpoint the VM's operators' endpoint
     * @param method the HTTP method
     * @param path the path with the query
     * @param body the body, {@code null} for none
     * @return the answer
     * @throws ExecutionException if the call failed
     * @throws TimeoutException if no answer came in time
     * @throws InterruptedException if the thread was interrupted
     */
    private Answer callOne(Endpoint endpoint, HttpMethod method, String path, JsonObject body)
            throws ExecutionException, TimeoutException, InterruptedException {
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(endpoint.host())
                .setPort(endpoint.port())
                .setURI(path)
                .putHeader("authorization", "Bearer " + credential);
        Buffer content = body == null ? Buffer.buffer() : body.toBuffer();
        Future<Answer> answer = client.request(options).compose(request -> request.send(content)
                .compose(response -> response.body().map(bytes -> new Answer(response.statusCode(), parsed(bytes)))));
        return answer.toCompletionStage().toCompletableFuture().get(CALL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Tells whether another VM should be tried.
     *
     * @param answer the answer
     * @return {@code true} if this VM could not reach the control group
     */
    private static boolean isRefusedForNow(Answer answer) {
        return answer.resultNumber() == ResultCode.NOT_LEADER.number()
                || answer.resultNumber() == ResultCode.SHUTTING_DOWN.number();
    }

    /**
     * Parses a body.
     *
     * @param bytes the body
     * @return the JSON object, or an object that holds the text
     */
    private static JsonObject parsed(Buffer bytes) {
        try {
            return bytes.length() == 0 ? new JsonObject() : bytes.toJsonObject();
        } catch (DecodeException exception) {
            return new JsonObject().put("text", bytes.toString());
        }
    }

    @Override
    public void close() {
        client.close();
        vertx.close();
    }
}
