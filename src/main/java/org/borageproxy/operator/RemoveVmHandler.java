package org.borageproxy.operator;

import java.util.concurrent.CompletionStage;

import io.vertx.core.json.JsonObject;
import org.borageproxy.control.Submission;
import org.borageproxy.result.ResultCode;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.RemoveVm;

/**
 * Removes the record of a VM that is gone for good. A VM that still runs registers again. Stateless and thread safe.
 */
final class RemoveVmHandler implements OperatorRoute.Handler {

    /** Submits changes. */
    private final Changes changes;

    /**
     * Creates a handler.
     *
     * @param changes submits changes
     */
    RemoveVmHandler(Changes changes) {
        this.changes = changes;
    }

    @Override
    public CompletionStage<OperatorAnswer> handle(OperatorRequest request) {
        String name = request.pathParameters().get("name");
        Command.Builder command =
                Command.newBuilder().setRemoveVm(RemoveVm.newBuilder().setName(name));
        return changes.submit(command).thenApply(submission -> {
            if (!(submission instanceof Submission.Replied replied)) {
                return Changes.answerTo(submission);
            }
            return replied.reply().hasDone()
                    ? OperatorAnswer.of(new JsonObject().put("removed", name))
                    : OperatorAnswer.failed(ResultCode.MALFORMED_REQUEST, "No such VM: " + name);
        });
    }
}
