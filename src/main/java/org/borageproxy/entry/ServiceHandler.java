package org.borageproxy.entry;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.borageproxy.execution.ExecutionRequest;
import org.borageproxy.execution.RequestDigest;
import org.borageproxy.execution.RequestExecution;
import org.borageproxy.execution.RequestOutcome;
import org.borageproxy.execution.ServiceRequest;
import org.borageproxy.execution.ServiceResponse;
import org.borageproxy.execution.ServiceTask;
import org.borageproxy.execution.StoredResponse;
import org.borageproxy.result.Execution;
import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;
import org.borageproxy.tree.Route;
import org.borageproxy.tree.Workspace;

/** Answers requests to plain services. Immutable and safe for use by any event loop. */
final class ServiceHandler {

    /** The methods whose requests may always run more than once. */
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");
    /** The first status that says nothing of the execution. */
    private static final int FIRST_FAILURE_STATUS = 500;

    /** What handlers share. */
    private final EntryComponents parts;

    /**
     * Creates a handler.
     *
     * @param parts what handlers share
     */
    ServiceHandler(EntryComponents parts) {
        this.parts = parts;
    }

    /**
     * Runs a call.
     *
     * @param call the call
     * @param route the route
     * @param body the body
     * @param context the call's event loop
     */
    void handle(IncomingCall call, Route route, Buffer body, Context context) {
        if (call.containsKey(call.path()) || call.containsKey(body.toString(StandardCharsets.ISO_8859_1))) {
            call.response().refuse(ResultCode.MALFORMED_REQUEST, "The path or body holds the caller's key.");
            return;
        }
        boolean repeatable = route.repeatable()
                || SAFE_METHODS.contains(call.request().method().name());
        Deadline deadline = call.deadline(route.timeoutMillis());
        Workspace workspace =
                parts.dependencies().configuration().current().workspaces().get(call.workspace());
        ExecutionRequest request = new ExecutionRequest(
                call.identity(),
                call.caller(),
                route.service(),
                route.tokenCost(),
                workspace == null ? 0 : workspace.priority(),
                deadline,
                repeatable,
                repeatable ? Optional.empty() : call.claim(body),
                RequestDigest.fingerprint(call.workspace(), call.path(), body.getBytes()));
        ServiceRequest service = new ServiceRequest(
                call.identity(),
                route.service(),
                call.request().method(),
                call.path(),
                RequestFilter.INSTANCE.forwardedHeaders(call.request().headers().entries(), call.key()),
                body,
                route.tokenCost(),
                repeatable);
        ServiceTask work = new ServiceTask(
                parts.clients(),
                parts.settings().zone(),
                service,
                parts.settings().limits().maximumServiceResponseBytes());
        RequestExecution execution = new RequestExecution(parts.executionDependencies(), request, work, context);
        call.onDisconnect(execution::onCallerDisconnected);
        execution.start().onSuccess(conclusion -> call.response().runGuarded(() -> conclude(call, work, conclusion)));
    }

    /**
     * Answers the caller.
     *
     * @param call the call
     * @param work the work
     * @param conclusion how the request ended
     */
    private static void conclude(IncomingCall call, ServiceTask work, RequestOutcome conclusion) {
        if (conclusion instanceof RequestOutcome.Answered) {
            work.lastResponse().ifPresent(answer -> answer(call, answer));
        } else if (conclusion instanceof RequestOutcome.Replayed replayed) {
            StoredResponse stored = replayed.response();
            List<Map.Entry<String, String>> headers = List.of(Map.entry("content-type", stored.contentType()));
            Buffer body = Buffer.buffer(stored.body().toByteArray());
            answer(call, new ServiceResponse(stored.status(), headers, body));
        } else if (conclusion instanceof RequestOutcome.Failure failure) {
            boolean ownFailure = failure.code() == ResultCode.BACKEND_FAILED
                    && work.lastResponse().isPresent();
            if (ownFailure) {
                work.lastResponse().ifPresent(answer -> answer(call, answer));
            } else {
                call.response().fail(failure);
            }
        }
    }

    /**
     * Passes an answer on.
     *
     * @param call the call
     * @param answer the answer
     */
    private static void answer(IncomingCall call, ServiceResponse answer) {
        boolean failed = answer.status() >= FIRST_FAILURE_STATUS;
        Execution execution = failed ? Execution.MAY_HAVE_RUN : Execution.ANSWERED;
        ResultCode code = failed ? ResultCode.BACKEND_FAILED : ResultCode.OK;
        if (!call.response().isOpen()) {
            call.response().recordResult(code, execution);
            return;
        }
        HttpServerResponse response = call.response().begin(answer.status(), execution);
        answer.headers().forEach(header -> response.headers().add(header.getKey(), header.getValue()));
        call.response().end(response, answer.body(), code, execution);
    }
}
