package org.borageproxy.operator;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.control.ControlClient;
import org.borageproxy.control.Submission;
import org.borageproxy.control.Timer;
import org.borageproxy.result.ResultCode;
import org.borageproxy.spread.StateReader;
import org.borageproxy.time.Deadline;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.Reply;
import org.borageproxy.wire.proto.ControlProtocol.Served;

/**
 * Submits operators' changes to the control group, converts the outcomes to responses and waits until a revision is in
 * force, which it is once no VM can admit requests under an earlier revision. A change whose reply was lost is reported
 * as {@link ResultCode#OUTCOME_UNKNOWN}, never as refused. Thread safe.
 */
final class ChangeSubmitter {

    /** The time limit for submitting a change, beyond the time that its bytes may need. */
    private static final Duration SUBMIT_TIMEOUT = Duration.ofSeconds(8);

    /** The longest time to wait for a revision to be in force; longer waits are shortened to it. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(60);

    /** The interval at which the revisions that the VMs serve are polled. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    /**
     * The time, in milliseconds, since a VM's last contact with the control group after which its freshness lease has
     * certainly expired.
     */
    private static final long MAX_FRESH_AGE_MILLIS = 5_000;

    /** Submits commands to the control group. */
    private final ControlClient client;

    /** Reads the revisions that the VMs serve. */
    private final StateReader reader;

    /** Schedules polls. */
    private final Timer timer;

    /**
     * Creates a submitter.
     *
     * @param client submits commands to the control group
     * @param reader reads the revisions that the VMs serve
     * @param timer schedules polls
     */
    ChangeSubmitter(ControlClient client, StateReader reader, Timer timer) {
        this.client = client;
        this.reader = reader;
        this.timer = timer;
    }

    /**
     * Submits a change under a new command identity.
     *
     * @param command the change
     * @return the outcome, at the latest shortly after {@link #SUBMIT_TIMEOUT} and the time for the bytes; never fails
     */
    CompletionStage<Submission> submit(Command.Builder command) {
        Duration timeout =
                SUBMIT_TIMEOUT.plus(ControlClient.transferTime(command.build().getSerializedSize()));
        return client.submit(command, client.deadlineAfter(timeout));
    }

    /**
     * Submits a change and, if it is accepted, waits until it is in force.
     *
     * @param command the change
     * @param waitMillis how long to wait, in milliseconds, or zero not to wait
     * @return the response to the operator
     */
    CompletionStage<OperatorResponse> submitAndWait(Command.Builder command, long waitMillis) {
        return submit(command).thenCompose(submission -> awaitInForce(responseTo(submission), waitMillis));
    }

    /**
     * Waits until an accepted change is in force. A response to a change that was not accepted is returned unchanged.
     *
     * @param response the response to the change
     * @param waitMillis how long to wait, in milliseconds, or zero not to wait
     * @return the response; after a wait it states whether the change is in force and which VMs may still admit
     *     requests under an earlier revision
     */
    CompletionStage<OperatorResponse> awaitInForce(OperatorResponse response, long waitMillis) {
        if (response.code() != ResultCode.OK || waitMillis == 0) {
            return CompletableFuture.completedFuture(response);
        }
        Duration wait = Duration.ofMillis(Math.min(waitMillis, MAX_WAIT.toMillis()));
        CompletableFuture<OperatorResponse> result = new CompletableFuture<>();
        pollServed(response, client.deadlineAfter(wait), result);
        return result;
    }

    /**
     * Converts the outcome of a change to a response.
     *
     * @param submission the outcome
     * @return the response
     */
    static OperatorResponse responseTo(Submission submission) {
        if (submission instanceof Submission.Replied replied) {
            return responseTo(replied.reply());
        }
        boolean isRefused = submission instanceof Submission.NotLeader;
        return OperatorResponse.error(isRefused ? ResultCode.NOT_LEADER : ResultCode.OUTCOME_UNKNOWN);
    }

    /**
     * Converts the reply of the state machine to a response.
     *
     * @param reply the reply
     * @return the response
     */
    private static OperatorResponse responseTo(Reply reply) {
        return switch (reply.getBodyCase()) {
            case ACCEPTED ->
                OperatorResponse.ok(
                        new JsonObject().put("revision", reply.getAccepted().getRevision()));
            case KEY_CREATED ->
                OperatorResponse.ok(
                        new JsonObject().put("revision", reply.getKeyCreated().getRevision()));
            case CHANGE_CONFLICT ->
                OperatorResponse.error(ResultCode.CHANGE_CONFLICT)
                        .putField("current_revision", reply.getChangeConflict().getCurrentRevision())
                        .putField(
                                "current_change_identity",
                                reply.getChangeConflict().getHolder());
            case IDENTITY_CONFLICT ->
                OperatorResponse.error(ResultCode.CHANGE_IDENTITY_CONFLICT)
                        .putField("holder", reply.getIdentityConflict().getHolder())
                        .putField("holder_revision", reply.getIdentityConflict().getRevision());
            case MISSING -> OperatorResponse.error(ResultCode.UNKNOWN_REVISION);
            default -> OperatorResponse.error(ResultCode.INTERNAL);
        };
    }

    /**
     * Reads the revisions that the VMs serve, repeatedly until the change is in force or the deadline has passed.
     *
     * @param response the response to the change, with its revision
     * @param deadline when to stop polling
     * @param result completed with the response
     */
    private void pollServed(OperatorResponse response, Deadline deadline, CompletableFuture<OperatorResponse> result) {
        long revision = response.body().getLong("revision");
        reader.readServed().whenComplete((served, failure) -> {
            List<String> waitingFor = failure == null ? vmsBehind(served, revision) : List.of();
            boolean isInForce = failure == null && !served.isEmpty() && waitingFor.isEmpty();
            if (isInForce || deadline.hasPassed(client.nanoTime())) {
                response.putField("in_force", isInForce).putField("waiting_for", new JsonArray(waitingFor));
                result.complete(response);
            } else {
                timer.schedule(POLL_INTERVAL, () -> pollServed(response, deadline, result));
            }
        });
    }

    /**
     * Returns whether the freshness lease of a VM may still be valid.
     *
     * @param vm what the VM served at its last contact with the control group
     * @return {@code false} if the VM certainly refuses requests with an API key
     */
    static boolean mayAdmit(Served vm) {
        return vm.getAgeMillis() < MAX_FRESH_AGE_MILLIS;
    }

    /**
     * Returns the VMs that may still admit requests under an earlier revision.
     *
     * @param served what the VMs serve
     * @param revision the revision that must be in force
     * @return the names of the VMs, in the order given
     */
    private static List<String> vmsBehind(List<Served> served, long revision) {
        return served.stream()
                .filter(vm -> mayAdmit(vm) && vm.getRevision() < revision)
                .map(Served::getVm)
                .toList();
    }
}
