package org.borageproxy.execution;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.protobuf.ByteString;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.borageproxy.engine.AnswerExpectation;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.result.ResultCode;
import org.borageproxy.routing.ReplicaQuery;
import org.borageproxy.vm.AvailabilityZone;

/**
 * A request to a plain service. The response is buffered until it is complete, so that a truncated one never reaches
 * the caller. Confined to the request's event loop.
 */
public final class ServiceTask implements BackendTask {

    /** From this status on, a response does not tell whether the request ran. */
    private static final int FIRST_SERVER_ERROR_STATUS = 500;
    /** Hop-by-hop headers, and Content-Length, which this VM's HTTP server sets itself. */
    private static final Set<String> DROPPED_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length");

    private static final String INTERNAL_HEADER_PREFIX = "borageproxy-";

    private final BackendClients clients;
    private final AvailabilityZone zone;
    private final ServiceRequest request;
    private final int maximumBytes;
    /** The last exchange, or {@code null} before the first. */
    private Exchange currentExchange;
    /** Whether any attempt was sent. */
    private boolean requestSent;

    private ServiceResponse lastResponse;

    /**
     * Creates a task.
     *
     * @param clients the HTTP clients
     * @param zone the zone of this VM
     * @param request the request
     * @param maximumBytes the maximum size of a response body, in bytes
     */
    public ServiceTask(BackendClients clients, AvailabilityZone zone, ServiceRequest request, int maximumBytes) {
        this.clients = clients;
        this.zone = zone;
        this.request = request;
        this.maximumBytes = maximumBytes;
    }

    @Override
    public ReplicaQuery query(
            List<BackendServer> servers, Map<BackendServerName, AvailabilityZone> tried, boolean exclusive) {
        ReplicaQuery.Target target = new ReplicaQuery.Target.OfService(request.service());
        return new ReplicaQuery(target, new ReplicaQuery.Work(0, 0), zone, tried, exclusive, null);
    }

    @Override
    public Future<AttemptOutcome> attempt(BackendServer server, int number, SendGuard guard) {
        lastResponse = null;
        currentExchange = new Exchange(guard);
        return currentExchange.run(server);
    }

    @Override
    public void cancel(AttemptOutcome.Cause cause) {
        if (currentExchange != null) {
            currentExchange.cancel(cause);
        }
    }

    @Override
    public SentOutput sent() {
        return SentOutput.NONE;
    }

    @Override
    public long usedTokens() {
        return requestSent ? request.tokens() : 0;
    }

    @Override
    public long receivedUnits() {
        return 1;
    }

    @Override
    public Optional<StoredResponse> storedResponse(int maximumStoredBytes) {
        return lastResponse()
                .filter(response -> response.body().length() <= maximumStoredBytes)
                .map(response -> new StoredResponse(
                        response.status(),
                        response.contentType(),
                        ByteString.copyFrom(response.body().getBytes())));
    }

    @Override
    public ResultCode noReplicaCode(List<BackendServer> servers) {
        return ResultCode.NO_REPLICA;
    }

    /**
     * Returns the last complete response, which may be an error of the service.
     *
     * @return the response, empty if the last attempt received none
     */
    public Optional<ServiceResponse> lastResponse() {
        return Optional.ofNullable(lastResponse);
    }

    /** One exchange with a plain service. Confined to the request's event loop. */
    private final class Exchange {

        private final SendGuard guard;
        private final Promise<AttemptOutcome> outcome = Promise.promise();
        /** The HTTP request, or {@code null} until the connection is open. */
        private HttpClientRequest clientRequest;

        private boolean sent;
        private boolean completed;

        private Exchange(SendGuard guard) {
            this.guard = guard;
        }

        private Future<AttemptOutcome> run(BackendServer server) {
            RequestOptions options = new RequestOptions()
                    .setMethod(request.method())
                    .setHost(server.host())
                    .setPort(server.port())
                    .setURI(request.uri());
            clients.forRequest(request.repeatable())
                    .request(options)
                    .onComplete(
                            this::send,
                            failure -> complete(
                                    new AttemptOutcome.NotRun(ResultCode.NO_REPLICA, AttemptOutcome.Scope.SERVER)));
            return outcome.future();
        }

        /**
         * Sends the request unless the exchange was cancelled while the connection was being opened.
         *
         * @param connected the HTTP request on the open connection
         */
        private void send(HttpClientRequest connected) {
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
            requestSent = true;
            AnswerExpectation.begin(connected);
            connected.response().onComplete(this::handleResponse, failure -> fail(AttemptOutcome.Cause.CUT));
            try {
                request.headers().forEach(header -> connected.headers().add(header.getKey(), header.getValue()));
                connected.putHeader(EngineAttempt.IDENTITY_HEADER, request.identity());
                connected.end(request.body());
            } catch (IllegalArgumentException exception) {
                fail(AttemptOutcome.Cause.INVALID);
                connected.reset();
            }
        }

        private void handleResponse(HttpClientResponse response) {
            response.exceptionHandler(failure -> fail(AttemptOutcome.Cause.CUT));
            String identity = response.getHeader(EngineAttempt.IDENTITY_HEADER);
            if (completed || (identity != null && !identity.equals(request.identity()))) {
                fail(AttemptOutcome.Cause.INVALID);
                clientRequest.reset();
                return;
            }
            Buffer body = Buffer.buffer();
            response.handler(chunk -> appendChunk(body, chunk));
            response.endHandler(nothing -> handleWholeResponse(response, body));
        }

        private void appendChunk(Buffer body, Buffer chunk) {
            if (completed) {
                return;
            }
            if (body.length() + chunk.length() > maximumBytes) {
                fail(AttemptOutcome.Cause.INVALID);
                clientRequest.reset();
                return;
            }
            body.appendBuffer(chunk);
        }

        private void handleWholeResponse(HttpClientResponse response, Buffer body) {
            if (completed) {
                return;
            }
            if ("true".equals(response.getHeader(EngineAttempt.NOT_RUN_HEADER))) {
                complete(new AttemptOutcome.NotRun(ResultCode.OVERLOADED, AttemptOutcome.Scope.SERVER));
                return;
            }
            List<Map.Entry<String, String>> headers = response.headers().entries().stream()
                    .filter(header -> isForwarded(header.getKey().toLowerCase(Locale.ROOT)))
                    .toList();
            lastResponse = new ServiceResponse(response.statusCode(), headers, body);
            complete(
                    response.statusCode() >= FIRST_SERVER_ERROR_STATUS
                            ? new AttemptOutcome.MayHaveRun(
                                    ResultCode.BACKEND_FAILED, AttemptOutcome.Cause.FAILED_STATUS)
                            : AttemptOutcome.Answered.INSTANCE);
        }

        /** Content-Length is forwarded only for HEAD, whose response has no body. */
        private boolean isForwarded(String name) {
            boolean lengthOfHead =
                    name.equals("content-length") && request.method().equals(HttpMethod.HEAD);
            return lengthOfHead || (!DROPPED_HEADERS.contains(name) && !name.startsWith(INTERNAL_HEADER_PREFIX));
        }

        private void fail(AttemptOutcome.Cause cause) {
            ResultCode code =
                    switch (cause) {
                        case TIMEOUT -> ResultCode.BACKEND_TIMEOUT;
                        case INVALID -> ResultCode.ANSWER_INVALID;
                        default -> ResultCode.BACKEND_FAILED;
                    };
            complete(new AttemptOutcome.MayHaveRun(code, cause));
        }

        private void cancel(AttemptOutcome.Cause cause) {
            if (!sent) {
                complete(new AttemptOutcome.NotRun(ResultCode.DEADLINE_PASSED, AttemptOutcome.Scope.REQUEST));
            } else if (!completed) {
                fail(cause);
                clientRequest.reset();
            }
        }

        private void complete(AttemptOutcome result) {
            if (!completed) {
                completed = true;
                outcome.complete(result);
            }
        }
    }
}
