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
 * Submits operators' changes, turns their outcomes into answers, and waits until a revision is in force. A lost reply
 * is answered as unknown, never as refused. Safe for use by any thread.
 */
final class Changes {

    /** The longest time that a change may take. */
    private static final Duration PATIENCE = Duration.ofSeconds(8);

    /** The longest wait for a revision to be in force. */
    private static final Duration GREATEST_WAIT = Duration.ofSeconds(60);

    /** The time between two looks at what the VMs serve. */
    private static final Duration LOOK_AGAIN = Duration.ofMillis(50);

    /** The age, in milliseconds, above which a VM's configuration cannot be fresh any more. */
    private static final long GREATEST_AGE_MILLIS = 5_000;

    /** Submits commands. */
    private final ControlClient client;

    /** Reads what the VMs serve. */
    private final StateReader reader;

    /** Looks again later. */
    private final Timer timer;

    /**
     * Creates an object that submits changes.
     *
     * @param client submits commands
     * @param reader reads what the VMs serve
     * @param timer looks again later
     */
    Changes(ControlClient client, StateReader reader, Timer timer) {
        this.client = client;
        this.reader = reader;
        this.timer = timer;
    }

    /**
     * Submits a change.
     *
     * @param command the change
     * @return the outcome
     */
    CompletionStage<Submission> submit(Command.Builder command) {
        return client.submit(command, client.in(PATIENCE));
    }

    /**
     * Submits a change and waits until it is in force if the request says so.
     *
     * @param command the change
     * @param waitMillis how long to wait, in milliseconds
     * @return the answer
     */
    CompletionStage<OperatorAnswer> submitAndWait(Command.Builder command, long waitMillis) {
        return submit(command).thenCompose(submission -> finish(answerTo(submission), waitMillis));
    }

    /**
     * Waits until an accepted change is in force.
     *
     * @param answer the answer to the change
     * @param waitMillis how long to wait, in milliseconds, zero not to wait
     * @return the answer, with the VMs that are waited for
     */
    CompletionStage<OperatorAnswer> finish(OperatorAnswer answer, long waitMillis) {
        if (answer.code() != ResultCode.OK || waitMillis == 0) {
            return CompletableFuture.completedFuture(answer);
        }
        Duration wait = Duration.ofMillis(Math.min(waitMillis, GREATEST_WAIT.toMillis()));
        CompletableFuture<OperatorAnswer> finished = new CompletableFuture<>();
        look(answer, client.in(wait), finished);
        return finished;
    }

    /**
     * Turns the outcome of a change into an answer.
     *
     * @param submission the outcome
     * @return the answer
     */
    static OperatorAnswer answerTo(Submission submission) {
        if (submission instanceof Submission.Replied replied) {
            return answerTo(replied.reply());
        }
        boolean isRefused = submission instanceof Submission.NotLeader;
        return OperatorAnswer.failed(isRefused ? ResultCode.NOT_LEADER : ResultCode.OUTCOME_UNKNOWN);
    }

    /**
     * Turns a reply to a change into an answer.
     *
     * @param reply the reply
     * @return the answer
     */
    private static OperatorAnswer answerTo(Reply reply) {
        return switch (reply.getBodyCase()) {
            case ACCEPTED ->
                OperatorAnswer.of(
                        new JsonObject().put("revision", reply.getAccepted().getRevision()));
            case KEY_CREATED ->
                OperatorAnswer.of(
                        new JsonObject().put("revision", reply.getKeyCreated().getRevision()));
            case CHANGE_CONFLICT ->
                OperatorAnswer.failed(ResultCode.CHANGE_CONFLICT)
                        .with("current_revision", reply.getChangeConflict().getCurrentRevision())
                        .with(
                                "current_change_identity",
                                reply.getChangeConflict().getHolder());
            case IDENTITY_CONFLICT ->
                OperatorAnswer.failed(ResultCode.CHANGE_IDENTITY_CONFLICT)
                        .with("holder", reply.getIdentityConflict().getHolder())
                        .with("holder_revision", reply.getIdentityConflict().getRevision());
            case MISSING -> OperatorAnswer.failed(ResultCode.UNKNOWN_REVISION);
            default -> OperatorAnswer.failed(ResultCode.INTERNAL);
        };
    }

    /**
     * Looks whether a revision is in force, and again later.
     *
     * @param answer the answer to the change
     * @param deadline when to give up
     * @param finished gets the answer
     */
    private void look(OperatorAnswer answer, Deadline deadline, CompletableFuture<OperatorAnswer> finished) {
        long revision = answer.body().getLong("revision");
        reader.readServed().whenComplete((served, failure) -> {
            List<String> behind = failure == null ? behind(served, revision) : List.of();
            boolean isInForce = failure == null && !served.isEmpty() && behind.isEmpty();
            if (isInForce || deadline.hasPassed(client.nanoTime())) {
                answer.with("in_force", isInForce).with("waiting_for", new JsonArray(behind));
                finished.complete(answer);
            } else {
                timer.schedule(LOOK_AGAIN, () -> look(answer, deadline, finished));
            }
        });
    }

    /**
     * Tells whether a VM was seen so lately that its configuration may count as fresh there.
     *
     * @param vm the VM
     * @return {@code false} if the VM refuses keyed requests for certain
     */
    static boolean mayAdmit(Served vm) {
        return vm.getAgeMillis() < GREATEST_AGE_MILLIS;
    }

    /**
     * Returns the VMs that may still admit requests under an earlier revision.
     *
     * @param served what the VMs serve
     * @param revision the revision
     * @return the names of the VMs
     */
    private static List<String> behind(List<Served> served, long revision) {
        return served.stream()
                .filter(vm -> mayAdmit(vm) && vm.getRevision() < revision)
                .map(Served::getVm)
                .toList();
    }
}
