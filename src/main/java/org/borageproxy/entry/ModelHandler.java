package org.borageproxy.entry;

import java.util.Optional;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.execution.EngineRequest;
import org.borageproxy.execution.EngineTask;
import org.borageproxy.execution.ExecutionRequest;
import org.borageproxy.execution.RequestDigest;
import org.borageproxy.execution.RequestExecution;
import org.borageproxy.execution.RequestOutcome;
import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;
import org.borageproxy.tree.Adapter;
import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.Model;
import org.borageproxy.tree.Workspace;

/** Handles requests to models. Immutable and safe for use by any event loop. */
final class ModelHandler {

    private final EntryComponents components;

    ModelHandler(EntryComponents components) {
        this.components = components;
    }

    /**
     * Lists the models and adapters that the caller's workspace may use.
     *
     * @param call the call
     */
    void listModels(IncomingCall call) {
        Configuration configuration = components.dependencies().configuration().current();
        Workspace workspace = configuration.workspaces().get(call.workspace());
        JsonArray data = new JsonArray();
        configuration.models().keySet().stream()
                .sorted()
                .filter(workspace::mayUse)
                .forEach(name -> data.add(encodeModel(name)));
        configuration.adapters().keySet().stream()
                .sorted()
                .filter(workspace::mayUse)
                .forEach(name -> data.add(encodeModel(name)));
        call.response().json(new JsonObject().put("object", "list").put("data", data));
    }

    private static JsonObject encodeModel(String name) {
        return new JsonObject().put("id", name).put("object", "model").put("owned_by", "borageproxy");
    }

    void complete(IncomingCall call, CompletionFormat format, Buffer body, Context context) {
        CompletionParser.ParseResult parsing = CompletionParser.INSTANCE.parse(format, body);
        if (parsing instanceof CompletionParser.ParseResult.Invalid invalid) {
            call.response().refuse(ResultCode.MALFORMED_REQUEST, invalid.explanation());
            return;
        }
        CompletionRequest completion = ((CompletionParser.ParseResult.Valid) parsing).request();
        if (call.containsKey(completion.prompt())) {
            call.response().refuse(ResultCode.MALFORMED_REQUEST, "The body holds the caller's key.");
            return;
        }
        Configuration configuration = components.dependencies().configuration().current();
        Workspace workspace = configuration.workspaces().get(call.workspace());
        Optional<Target> target = findTarget(configuration, workspace, completion.model());
        if (target.isEmpty()) {
            call.response().refuse(ResultCode.UNKNOWN_MODEL);
            return;
        }
        runCompletion(call, completion, target.get(), workspace.priority(), body, context);
    }

    /**
     * A model with an optional adapter.
     *
     * @param model the base model
     * @param adapter the name of the adapter, empty for none
     */
    private record Target(Model model, String adapter) {}

    /**
     * Finds a model or adapter.
     *
     * @param configuration the current configuration
     * @param workspace the caller's workspace, or {@code null} if it no longer exists
     * @param name the name of the model or adapter
     * @return the target, empty if it does not exist or the workspace may not use it
     */
    private static Optional<Target> findTarget(Configuration configuration, Workspace workspace, String name) {
        if (workspace == null || !workspace.mayUse(name)) {
            return Optional.empty();
        }
        Adapter adapter = configuration.adapters().get(name);
        Model model = configuration.models().get(adapter == null ? name : adapter.model());
        return Optional.ofNullable(model).map(base -> new Target(base, adapter == null ? "" : adapter.name()));
    }

    private void runCompletion(
            IncomingCall call,
            CompletionRequest completion,
            Target target,
            int priority,
            Buffer body,
            Context context) {
        Model model = target.model();
        int maximumOutputTokens =
                Math.min(completion.maximumTokens().orElse(model.maximumOutputTokens()), model.maximumOutputTokens());
        long promptTokens = TokenEstimate.of(completion.prompt());
        Deadline deadline = call.deadline(model.timeoutMillis());
        boolean repeatable = call.idempotencyKey().isEmpty();
        components
                .dependencies()
                .demand()
                .recordArrival(model.name(), target.adapter(), promptTokens + maximumOutputTokens);
        EngineRequest engineRequest = new EngineRequest(
                call.identity(),
                model,
                target.adapter(),
                completion.prompt(),
                promptTokens,
                maximumOutputTokens,
                priority,
                deadline,
                repeatable);
        ExecutionRequest request = new ExecutionRequest(
                call.identity(),
                call.caller(),
                model.name(),
                promptTokens + maximumOutputTokens,
                priority,
                deadline,
                repeatable,
                call.claim(body),
                RequestDigest.fingerprint(call.workspace(), call.pathAndQuery(), body.getBytes()));
        CompletionFormat.Metadata metadata =
                new CompletionFormat.Metadata(call.identity(), completion.model(), System.currentTimeMillis() / 1000);
        CompletionResponse response = new CompletionResponse(call.response(), completion, metadata);
        EngineTask task = new EngineTask(components.engineDependencies(), engineRequest, response.sink());
        RequestExecution execution = new RequestExecution(components.executionDependencies(), request, task, context);
        call.onDisconnect(execution::onCallerDisconnected);
        execution.start().onSuccess(outcome -> call.response().runGuarded(() -> respond(response, task, outcome)));
    }

    private static void respond(CompletionResponse response, EngineTask task, RequestOutcome outcome) {
        if (outcome instanceof RequestOutcome.Answered) {
            response.finish(
                    task.text(),
                    task.finishReason(),
                    new CompletionFormat.Usage(task.promptTokens(), task.outputTokens()));
        } else if (outcome instanceof RequestOutcome.Replayed replayed) {
            response.replay(
                    new JsonObject(Buffer.buffer(replayed.response().body().toByteArray())));
        } else if (outcome instanceof RequestOutcome.Failure failure) {
            response.fail(failure);
        }
    }
}
