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

/** Handles requests to plain services. Immutable and safe for use by any event loop. */
final class ServiceHandler {

    /** Requests with these methods may always run more than once. */
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");
    /** From this status on, a response does not tell whether the request ran. */
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private final EntryComponents components;

    ServiceHandler(EntryComponents components) {
        this.components = components;
    }

    void handle(IncomingCall call, Route route, Buffer body, Context context) {
        if (call.containsKey(call.pathAndQuery()) || call.containsKey(body.toString(StandardCharsets.ISO_8859_1))) {
            call.response().refuse(ResultCode.MALFORMED_REQUEST, "The path or body holds the caller's key.");
            return;
        }
        boolean repeatable = route.repeatable()
                || SAFE_METHODS.contains(call.request().method().name());
        Deadline deadline = call.deadline(route.timeoutMillis());
        Workspace workspace =
                components.dependencies().configuration().current().workspaces().get(call.workspace());
        ExecutionRequest request = new ExecutionRequest(
                call.identity(),
                call.caller(),
                route.service(),
                route.tokenCost(),
                workspace == null ? 0 : workspace.priority(),
                deadline,
                repeatable,
                repeatable ? Optional.empty() : call.claim(body),
                RequestDigest.fingerprint(call.workspace(), call.pathAndQuery(), body.getBytes()));
        ServiceRequest serviceRequest = new ServiceRequest(
                call.identity(),
                route.service(),
                call.request().method(),
                call.pathAndQuery(),
                RequestFilter.INSTANCE.forwardedHeaders(call.request().headers().entries(), call.key()),
                body,
                route.tokenCost(),
                repeatable);
        ServiceTask task = new ServiceTask(
                components.clients(),
                components.settings().zone(),
                serviceRequest,
                components.settings().limits().maximumServiceResponseBytes());
        RequestExecution execution = new RequestExecution(components.executionDependencies(), request, task, context);
        call.onDisconnect(execution::onCallerDisconnected);
        execution.start().onSuccess(outcome -> call.response().runGuarded(() -> respond(call, task, outcome)));
    }

    private static void respond(IncomingCall call, ServiceTask task, RequestOutcome outcome) {
        if (outcome instanceof RequestOutcome.Answered) {
            task.lastResponse().ifPresent(serviceResponse -> sendResponse(call, serviceResponse));
        } else if (outcome instanceof RequestOutcome.Replayed replayed) {
            StoredResponse stored = replayed.response();
            List<Map.Entry<String, String>> headers = List.of(Map.entry("content-type", stored.contentType()));
            Buffer body = Buffer.buffer(stored.body().toByteArray());
            sendResponse(call, new ServiceResponse(stored.status(), headers, body));
        } else if (outcome instanceof RequestOutcome.Failure failure) {
            boolean isServiceError = failure.code() == ResultCode.BACKEND_FAILED
                    && task.lastResponse().isPresent();
            if (isServiceError) {
                task.lastResponse().ifPresent(serviceResponse -> sendResponse(call, serviceResponse));
            } else {
                call.response().fail(failure);
            }
        }
    }

    private static void sendResponse(IncomingCall call, ServiceResponse serviceResponse) {
        boolean isServerError = serviceResponse.status() >= FIRST_SERVER_ERROR_STATUS;
        Execution execution = isServerError ? Execution.MAY_HAVE_RUN : Execution.ANSWERED;
        ResultCode code = isServerError ? ResultCode.BACKEND_FAILED : ResultCode.OK;
        if (!call.response().isOpen()) {
            call.response().recordResult(code, execution);
            return;
        }
        HttpServerResponse response = call.response().begin(serviceResponse.status(), execution);
        serviceResponse.headers().forEach(header -> response.headers().add(header.getKey(), header.getValue()));
        call.response().end(response, serviceResponse.body(), code, execution);
    }
}
