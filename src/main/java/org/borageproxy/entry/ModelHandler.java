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

/** Answers requests to models. Immutable and safe for use by any event loop. */
final class ModelHandler {

    /** What handlers share. */
    private final EntryComponents parts;

    /**
     * Creates a handler.
     *
     * @param parts what handlers share
     */
    ModelHandler(EntryComponents parts) {
        this.parts = parts;
    }

    /**
     * Lists the models and adapters that the caller's workspace may use.
     *
     * @param call the call
     */
    void listModels(IncomingCall call) {
        Configuration configuration = parts.dependencies().configuration().current();
        Workspace workspace = configuration.workspaces().get(call.workspace());
        JsonArray data = new JsonArray();
        configuration.models().keySet().stream()
                .sorted()
                .filter(workspace::mayUse)
                .forEach(name -> data.add(entry(name)));
        configuration.adapters().keySet().stream()
                .sorted()
                .filter(workspace::mayUse)
                .forEach(name -> data.add(entry(name)));
        call.response().json(new JsonObject().put("object", "list").put("data", data));
    }

    /**
     * Encodes a model of the list.
     *
     * @param name the name of a model or adapter
     * @return the encoded entry
     */
    private static JsonObject entry(String name) {
        return new JsonObject().put("id", name).put("object", "model").put("owned_by", "borageproxy");
    }

    /**
     * Runs a completion.
     *
     * @param call the call
     * @param format the shape of the request
     * @param body the body
     * @param context the call's event loop
     */
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
        Configuration configuration = parts.dependencies().configuration().current();
        Workspace workspace = configuration.workspaces().get(call.workspace());
        Optional<Target> target = target(configuration, workspace, completion.model());
        if (target.isEmpty()) {
            call.response().refuse(ResultCode.UNKNOWN_MODEL);
            return;
        }
        run(call, completion, target.get(), workspace.priority(), body, context);
    }

    /**
     * A model with an adapter.
     *
     * @param model the base model
     * @param adapter the adapter's name, empty for none
     */
    private record Target(Model model, String adapter) {}

    /**
     * Finds a model or adapter.
     *
     * @param configuration the configuration served now
     * @param workspace the caller's workspace
     * @param name the name of the model or adapter
     * @return the target, empty if the workspace has none of this name
     */
    private static Optional<Target> target(Configuration configuration, Workspace workspace, String name) {
        if (workspace == null || !workspace.mayUse(name)) {
            return Optional.empty();
        }
        Adapter adapter = configuration.adapters().get(name);
        Model model = configuration.models().get(adapter == null ? name : adapter.model());
        return Optional.ofNullable(model).map(base -> new Target(base, adapter == null ? "" : adapter.name()));
    }

    /**
     * Runs a checked completion.
     *
     * @param call the call
     * @param completion the completion
     * @param target the model
     * @param priority the workspace's priority
     * @param body the body
     * @param context the call's event loop
     */
    private void run(
            IncomingCall call,
            CompletionRequest completion,
            Target target,
            int priority,
            Buffer body,
            Context context) {
        Model model = target.model();
        int output =
                Math.min(completion.maximumTokens().orElse(model.maximumOutputTokens()), model.maximumOutputTokens());
        long promptTokens = TokenEstimate.of(completion.prompt());
        Deadline deadline = call.deadline(model.timeoutMillis());
        boolean repeatable = call.idempotencyKey().isEmpty();
        parts.dependencies().demand().recordArrival(model.name(), target.adapter(), promptTokens + output);
        EngineRequest engine = new EngineRequest(
                call.identity(),
                model,
                target.adapter(),
                completion.prompt(),
                promptTokens,
                output,
                priority,
                deadline,
                repeatable);
        ExecutionRequest request = new ExecutionRequest(
                call.identity(),
                call.caller(),
                model.name(),
                promptTokens + output,
                priority,
                deadline,
                repeatable,
                call.claim(body),
                RequestDigest.fingerprint(call.workspace(), call.path(), body.getBytes()));
        CompletionFormat.Metadata head =
                new CompletionFormat.Metadata(call.identity(), completion.model(), System.currentTimeMillis() / 1000);
        CompletionResponse answer = new CompletionResponse(call.response(), completion, head);
        EngineTask work = new EngineTask(parts.engineDependencies(), engine, answer.sink());
        RequestExecution execution = new RequestExecution(parts.executionDependencies(), request, work, context);
        call.onDisconnect(execution::onCallerDisconnected);
        execution.start().onSuccess(conclusion -> call.response().runGuarded(() -> conclude(answer, work, conclusion)));
    }

    /**
     * Answers the caller.
     *
     * @param answer writes the answer
     * @param work the work
     * @param conclusion how the request ended
     */
    private static void conclude(CompletionResponse answer, EngineTask work, RequestOutcome conclusion) {
        if (conclusion instanceof RequestOutcome.Answered) {
            answer.finish(
                    work.text(),
                    work.finishReason(),
                    new CompletionFormat.Usage(work.promptTokens(), work.outputTokens()));
        } else if (conclusion instanceof RequestOutcome.Replayed replayed) {
            answer.replay(
                    new JsonObject(Buffer.buffer(replayed.response().body().toByteArray())));
        } else if (conclusion instanceof RequestOutcome.Failure failure) {
            answer.fail(failure);
        }
    }
}
