package org.borageproxy.entry;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.borageproxy.execution.Conclusion;
import org.borageproxy.execution.ExecutionRequest;
import org.borageproxy.execution.RequestDigest;
import org.borageproxy.execution.RequestExecution;
import org.borageproxy.execution.ServiceAnswer;
import org.borageproxy.execution.ServiceRequest;
import org.borageproxy.execution.ServiceWork;
import org.borageproxy.execution.StoredAnswer;
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
    private final EntryParts parts;

    /**
     * Creates a handler.
     *
     * @param parts what handlers share
     */
    ServiceHandler(EntryParts parts) {
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
    void run(CallerCall call, Route route, Buffer body, Context context) {
        if (call.holdsKey(call.path()) || call.holdsKey(body.toString(StandardCharsets.ISO_8859_1))) {
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
                RequestFilter.INSTANCE.passedOn(call.request().headers().entries(), call.key()),
                body,
                route.tokenCost(),
                repeatable);
        ServiceWork work = new ServiceWork(
                parts.clients(),
                parts.settings().zone(),
                service,
                parts.settings().limits().answerBytes());
        RequestExecution execution = new RequestExecution(parts.services(), request, work, context);
        call.onCallerGone(execution::callerGone);
        execution.start().onSuccess(conclusion -> call.response().guarded(() -> conclude(call, work, conclusion)));
    }

    /**
     * Answers the caller.
     *
     * @param call the call
     * @param work the work
     * @param conclusion how the request ended
     */
    private static void conclude(CallerCall call, ServiceWork work, Conclusion conclusion) {
        if (conclusion instanceof Conclusion.Answered) {
            work.answer().ifPresent(answer -> answer(call, answer));
        } else if (conclusion instanceof Conclusion.Replayed replayed) {
            StoredAnswer stored = replayed.answer();
            List<Map.Entry<String, String>> headers = List.of(Map.entry("content-type", stored.contentType()));
            Buffer body = Buffer.buffer(stored.body().toByteArray());
            answer(call, new ServiceAnswer(stored.status(), headers, body));
        } else if (conclusion instanceof Conclusion.Failure failure) {
            boolean ownFailure =
                    failure.code() == ResultCode.BACKEND_FAILED && work.answer().isPresent();
            if (ownFailure) {
                work.answer().ifPresent(answer -> answer(call, answer));
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
    private static void answer(CallerCall call, ServiceAnswer answer) {
        boolean failed = answer.status() >= FIRST_FAILURE_STATUS;
        Execution execution = failed ? Execution.MAY_HAVE_RUN : Execution.ANSWERED;
        ResultCode code = failed ? ResultCode.BACKEND_FAILED : ResultCode.OK;
        if (!call.response().isOpen()) {
            call.response().completed(code, execution);
            return;
        }
        HttpServerResponse response = call.response().begin(answer.status(), execution);
        answer.headers().forEach(header -> response.headers().add(header.getKey(), header.getValue()));
        call.response().end(response, answer.body(), code, execution);
    }
}
