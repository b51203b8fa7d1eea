package org.borageproxy.operator;

import java.util.concurrent.CompletionStage;

import io.vertx.core.json.JsonObject;
import org.borageproxy.control.Submission;
import org.borageproxy.result.ResultCode;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.RemoveVm;

/**
 * Removes the record of a VM that was decommissioned. A VM that is still running registers again. Stateless and thread
 * safe.
 */
final class RemoveVmHandler implements OperatorRoute.Handler {

    /** Submits changes to the control group. */
    private final ChangeSubmitter submitter;

    /**
     * Creates a handler of requests to remove a VM.
     *
     * @param submitter submits changes to the control group
     */
    RemoveVmHandler(ChangeSubmitter submitter) {
        this.submitter = submitter;
    }

    @Override
    public CompletionStage<OperatorResponse> handle(OperatorRequest request) {
        String name = request.pathParameters().get("name");
        Command.Builder command =
                Command.newBuilder().setRemoveVm(RemoveVm.newBuilder().setName(name));
        return submitter.submit(command).thenApply(submission -> {
            if (!(submission instanceof Submission.Replied replied)) {
                return ChangeSubmitter.responseTo(submission);
            }
            return replied.reply().hasDone()
                    ? OperatorResponse.ok(new JsonObject().put("removed", name))
                    : OperatorResponse.error(ResultCode.MALFORMED_REQUEST, "No such VM: " + name);
        });
    }
}
