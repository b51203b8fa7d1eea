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
 * A blocking HTTP client of the operators' interface. If a VM does not respond or cannot handle a call at present, the
 * call is sent to the next VM. A call may therefore be executed twice; changes carry identities that make them
 * idempotent. Used by one thread.
 */
final class OperatorClient implements AutoCloseable {

    private static final long CALL_TIMEOUT_MILLIS = 30_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final int FIRST_FAILURE_STATUS = 400;

    private final List<Endpoint> endpoints;
    private final String credential;
    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client =
            vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS));

    /**
     * The response of a VM.
     *
     * @param status the HTTP status
     * @param body the JSON body, empty if there was none
     */
    record Response(int status, JsonObject body) {

        boolean isSuccess() {
            return status < FIRST_FAILURE_STATUS;
        }

        /**
         * Returns the number of the {@link ResultCode} in an error response.
         *
         * @return the number, zero if the body contains none
         */
        int resultNumber() {
            JsonObject error = body.getJsonObject("error");
            return error == null ? 0 : error.getInteger("code", 0);
        }
    }

    /**
     * Creates a client.
     *
     * @param endpoints the endpoints of the VMs' operators' interfaces, tried in this order
     * @param credential the operators' credential
     */
    OperatorClient(List<Endpoint> endpoints, String credential) {
        this.endpoints = List.copyOf(endpoints);
        this.credential = credential;
    }

    /**
     * Sends a call to the VMs in turn until one responds with a result.
     *
     * @param method the HTTP method
     * @param path the path with the query
     * @param body the body, {@code null} for none
     * @return the response, successful or not
     * @throws CommandFailure with {@link ExitCode#UNKNOWN} if no VM responded with a result
     */
    Response call(HttpMethod method, String path, JsonObject body) {
        String lastError = "no VM was specified";
        for (Endpoint endpoint : endpoints) {
            try {
                Response response = callVm(endpoint, method, path, body);
                if (!isTransientRefusal(response)) {
                    return response;
                }
                lastError = endpoint + ": " + response.body().encode();
            } catch (ExecutionException | TimeoutException exception) {
                lastError = endpoint + ": " + exception.getMessage();
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                throw new CommandFailure(ExitCode.UNKNOWN, "interrupted");
            }
        }
        throw new CommandFailure(ExitCode.UNKNOWN, "no VM handled the call; last error: " + lastError);
    }

    /**
     * Calls one VM.
     *
     * @param endpoint the endpoint of the VM's operators' interface
     * @param method the HTTP method
     * @param path the path with the query
     * @param body the body, {@code null} for none
     * @return the response
     * @throws ExecutionException if the connection or the exchange failed
     * @throws TimeoutException if the response did not arrive within the timeout
     * @throws InterruptedException if the thread was interrupted
     */
    private Response callVm(Endpoint endpoint, HttpMethod method, String path, JsonObject body)
            throws ExecutionException, TimeoutException, InterruptedException {
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(endpoint.host())
                .setPort(endpoint.port())
                .setURI(path)
                .putHeader("authorization", "Bearer " + credential);
        Buffer content = body == null ? Buffer.buffer() : body.toBuffer();
        Future<Response> result = client.request(options)
                .compose(request -> request.send(content).compose(response -> response.body()
                        .map(bytes -> new Response(response.statusCode(), parseBody(bytes)))));
        return result.toCompletionStage().toCompletableFuture().get(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns whether another VM may be able to handle the call.
     *
     * @param response the response
     * @return {@code true} if the VM cannot reach the leader of the control group or is shutting down
     */
    private static boolean isTransientRefusal(Response response) {
        return response.resultNumber() == ResultCode.NOT_LEADER.number()
                || response.resultNumber() == ResultCode.SHUTTING_DOWN.number();
    }

    /**
     * Parses a response body.
     *
     * @param bytes the body
     * @return the JSON object; if the body is not one, an object with the body as its {@code text}
     */
    private static JsonObject parseBody(Buffer bytes) {
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
