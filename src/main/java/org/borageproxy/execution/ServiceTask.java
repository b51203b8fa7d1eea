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
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.result.ResultCode;
import org.borageproxy.routing.ReplicaQuery;
import org.borageproxy.vm.AvailabilityZone;

/**
 * A call of a plain service. The answer is held until it is whole, so that a truncated one never reaches the caller.
 * Confined to the request's event loop.
 */
public final class ServiceTask implements BackendTask {

    /** The first status that says nothing of the execution. */
    private static final int FIRST_FAILURE_STATUS = 500;
    /** The headers that end at this VM. */
    private static final Set<String> NOT_PASSED_ON = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length");
    /** The prefix of the product's own headers. */
    private static final String OWN_PREFIX = "borageproxy-";

    /** The HTTP clients. */
    private final BackendClients clients;
    /** The zone of this VM. */
    private final AvailabilityZone zone;
    /** What the service is asked for. */
    private final ServiceRequest request;
    /** The largest answer, in bytes. */
    private final int maximumBytes;
    /** The attempt under way, or {@code null}. */
    private Exchange current;
    /** Whether an attempt was sent. */
    private boolean everSent;
    /** The last whole answer, or {@code null}. */
    private ServiceResponse lastResponse;

    /**
     * Creates the work.
     *
     * @param clients the HTTP clients
     * @param zone the zone of this VM
     * @param request what the service is asked for
     * @param maximumBytes the largest answer, in bytes
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
        current = new Exchange(guard);
        return current.run(server);
    }

    @Override
    public void cancel(AttemptOutcome.Cause cause) {
        if (current != null) {
            current.cancel(cause);
        }
    }

    @Override
    public SentOutput sent() {
        return SentOutput.NONE;
    }

    @Override
    public long usedTokens() {
        return everSent ? request.tokens() : 0;
    }

    @Override
    public long receivedUnits() {
        return 1;
    }

    @Override
    public Optional<StoredResponse> storedResponse(int maximumStoredBytes) {
        return lastResponse()
                .filter(whole -> whole.body().length() <= maximumStoredBytes)
                .map(whole -> new StoredResponse(
                        whole.status(),
                        whole.contentType(),
                        ByteString.copyFrom(whole.body().getBytes())));
    }

    @Override
    public ResultCode noReplicaCode(List<BackendServer> servers) {
        return ResultCode.NO_REPLICA;
    }

    /**
     * Returns the last whole answer, which may be a failure of the service.
     *
     * @return the answer
     */
    public Optional<ServiceResponse> lastResponse() {
        return Optional.ofNullable(lastResponse);
    }

    /** One exchange with a plain service. Confined to the request's event loop. */
    private final class Exchange {

        /** Decides whether the request may be sent. */
        private final SendGuard guard;
        /** The outcome. */
        private final Promise<AttemptOutcome> outcome = Promise.promise();
        /** The exchange, or {@code null} before the connection is there. */
        private HttpClientRequest exchange;
        /** Whether the request was sent. */
        private boolean sent;
        /** Whether the outcome is decided. */
        private boolean decided;

        /**
         * Creates an exchange.
         *
         * @param guard decides whether the request may be sent
         */
        private Exchange(SendGuard guard) {
            this.guard = guard;
        }

        /**
         * Runs the exchange.
         *
         * @param server the backend server
         * @return the outcome; never fails
         */
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
                            failure -> decide(
                                    new AttemptOutcome.NotRun(ResultCode.NO_REPLICA, AttemptOutcome.Scope.SERVER)));
            return outcome.future();
        }

        /**
         * Sends the request unless it was given up meanwhile.
         *
         * @param connected the exchange
         */
        private void send(HttpClientRequest connected) {
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
            everSent = true;
            connected.response().onComplete(this::respond, failure -> lost(AttemptOutcome.Cause.CUT));
            try {
                request.headers().forEach(header -> connected.headers().add(header.getKey(), header.getValue()));
                connected.putHeader(EngineAttempt.IDENTITY_HEADER, request.identity());
                connected.end(request.body());
            } catch (IllegalArgumentException exception) {
                lost(AttemptOutcome.Cause.INVALID);
                connected.reset();
            }
        }

        /**
         * Reads the answer.
         *
         * @param response the answer
         */
        private void respond(HttpClientResponse response) {
            response.exceptionHandler(failure -> lost(AttemptOutcome.Cause.CUT));
            String identity = response.getHeader(EngineAttempt.IDENTITY_HEADER);
            if (decided || (identity != null && !identity.equals(request.identity()))) {
                lost(AttemptOutcome.Cause.INVALID);
                exchange.reset();
                return;
            }
            Buffer body = Buffer.buffer();
            response.handler(chunk -> append(body, chunk));
            response.endHandler(nothing -> complete(response, body));
        }

        /**
         * Adds a part of the answer.
         *
         * @param body the answer so far
         * @param chunk the part
         */
        private void append(Buffer body, Buffer chunk) {
            if (decided) {
                return;
            }
            if (body.length() + chunk.length() > maximumBytes) {
                lost(AttemptOutcome.Cause.INVALID);
                exchange.reset();
                return;
            }
            body.appendBuffer(chunk);
        }

        /**
         * Interprets the whole answer.
         *
         * @param response the answer
         * @param body its body
         */
        private void complete(HttpClientResponse response, Buffer body) {
            if (decided) {
                return;
            }
            if ("true".equals(response.getHeader(EngineAttempt.NOT_RUN_HEADER))) {
                decide(new AttemptOutcome.NotRun(ResultCode.OVERLOADED, AttemptOutcome.Scope.SERVER));
                return;
            }
            List<Map.Entry<String, String>> headers = response.headers().entries().stream()
                    .filter(header -> isPassedOn(header.getKey().toLowerCase(Locale.ROOT)))
                    .toList();
            lastResponse = new ServiceResponse(response.statusCode(), headers, body);
            decide(
                    response.statusCode() >= FIRST_FAILURE_STATUS
                            ? new AttemptOutcome.MayHaveRun(
                                    ResultCode.BACKEND_FAILED, AttemptOutcome.Cause.FAILED_STATUS)
                            : AttemptOutcome.Answered.INSTANCE);
        }

        /**
         * Tells whether a header of the answer reaches the caller.
         *
         * @param name the header's name in lower case
         * @return {@code true} if it does
         */
        private boolean isPassedOn(String name) {
            boolean lengthOfHead =
                    name.equals("content-length") && request.method().equals(HttpMethod.HEAD);
            return lengthOfHead || (!NOT_PASSED_ON.contains(name) && !name.startsWith(OWN_PREFIX));
        }

        /**
         * Ends the exchange without an answer.
         *
         * @param cause how the answer was lost
         */
        private void lost(AttemptOutcome.Cause cause) {
            ResultCode code =
                    switch (cause) {
                        case TIMEOUT -> ResultCode.BACKEND_TIMEOUT;
                        case INVALID -> ResultCode.ANSWER_INVALID;
                        default -> ResultCode.BACKEND_FAILED;
                    };
            decide(new AttemptOutcome.MayHaveRun(code, cause));
        }

        /**
         * Ends the exchange from outside.
         *
         * @param cause why
         */
        private void cancel(AttemptOutcome.Cause cause) {
            if (!sent) {
                decide(new AttemptOutcome.NotRun(ResultCode.DEADLINE_PASSED, AttemptOutcome.Scope.REQUEST));
            } else if (!decided) {
                lost(cause);
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
                outcome.complete(result);
            }
        }
    }
}
