package org.borageproxy.control;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

import org.borageproxy.execution.ClaimDecision;
import org.borageproxy.execution.ClaimKey;
import org.borageproxy.execution.ClaimStore;
import org.borageproxy.execution.StoredResponse;
import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;
import org.borageproxy.wire.proto.ControlProtocol.Answer;
import org.borageproxy.wire.proto.ControlProtocol.Claim;
import org.borageproxy.wire.proto.ControlProtocol.ClaimReply;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.CompleteClaim;
import org.borageproxy.wire.proto.ControlProtocol.EndClaim;
import org.borageproxy.wire.proto.ControlProtocol.Reply;

/**
 * Claims kept by the control group. The right to dispatch starts on this VM's clock when the claim is sent, and a claim
 * whose reply was lost is never dispatched. Safe for use by any thread.
 */
public final class ClaimStoreForControlGroup implements ClaimStore {

    /** How long a granted claim may be dispatched, counted from when it was sent. */
    private static final Duration DISPATCH_WINDOW = Duration.ofMillis(3000);

    /** How much longer than the caller waits a claim counts as being run. */
    private static final Duration HOLD_MARGIN = Duration.ofMillis(2000);

    /** The longest time that a claim counts as being run. */
    private static final Duration GREATEST_HOLD = Duration.ofHours(1);

    /** The longest time that an attempt to claim may take. */
    private static final Duration CLAIM_PATIENCE = Duration.ofMillis(2500);

    /** The time to record the end of a claim. */
    private static final Duration END_PATIENCE = Duration.ofSeconds(15);

    /** The time after which a caller may ask again. */
    private static final Duration RETRY = Duration.ofMillis(1000);

    /** Submits commands. */
    private final ControlClient client;

    /**
     * Creates a store.
     *
     * @param client submits commands
     */
    public ClaimStoreForControlGroup(ControlClient client) {
        this.client = client;
    }

    @Override
    public CompletionStage<ClaimDecision> claim(ClaimKey key, String digest, long createdAtMillis, Deadline deadline) {
        long sentAtNanos = client.nanoTime();
        Duration wait = Duration.ofNanos(deadline.remainingNanos(sentAtNanos));
        Duration hold = wait.compareTo(DISPATCH_WINDOW) > 0 ? wait : DISPATCH_WINDOW;
        Duration bounded = hold.compareTo(GREATEST_HOLD) < 0 ? hold : GREATEST_HOLD;
        Command command = client.identified(Command.newBuilder()
                .setClaim(Claim.newBuilder()
                        .setWorkspace(key.workspace())
                        .setIdempotencyKey(key.idempotencyKey())
                        .setDigest(digest)
                        .setCreatedAtMillis(createdAtMillis)
                        .setHolder(client.self().value())
                        .setHoldMillis(bounded.plus(HOLD_MARGIN).toMillis())));
        Deadline dispatchBefore = deadline.earlierOf(Deadline.after(sentAtNanos, DISPATCH_WINDOW));
        return client.resubmit(command, deadline.earlierOf(Deadline.after(sentAtNanos, CLAIM_PATIENCE)))
                .thenApply(submission -> decide(submission, key, command, dispatchBefore));
    }

    @Override
    public CompletionStage<Void> complete(ClaimKey key, long epoch, StoredResponse answer) {
        CompleteClaim.Builder end = CompleteClaim.newBuilder()
                .setWorkspace(key.workspace())
                .setIdempotencyKey(key.idempotencyKey())
                .setEpoch(epoch);
        boolean isKept = answer.body().size() <= ClaimTable.GREATEST_ANSWER_BYTES;
        if (!isKept) {
            return abandon(key, epoch);
        }
        end.setAnswer(Answer.newBuilder()
                .setStatus(answer.status())
                .setContentType(answer.contentType())
                .setBody(answer.body()));
        return end(Command.newBuilder().setCompleteClaim(end));
    }

    @Override
    public CompletionStage<Void> release(ClaimKey key, long epoch) {
        return end(Command.newBuilder().setReleaseClaim(endOf(key, epoch)));
    }

    @Override
    public CompletionStage<Void> abandon(ClaimKey key, long epoch) {
        return end(Command.newBuilder().setAbandonClaim(endOf(key, epoch)));
    }

    /**
     * Turns the outcome of a submission into a decision.
     *
     * @param submission the outcome
     * @param key the claim's key
     * @param command the command
     * @param dispatchBefore when the right to dispatch ends
     * @return the decision
     */
    private ClaimDecision decide(Submission submission, ClaimKey key, Command command, Deadline dispatchBefore) {
        if (submission instanceof Submission.Replied replied && replied.reply().hasClaim()) {
            return decide(replied.reply().getClaim(), dispatchBefore);
        }
        if (submission instanceof Submission.Unknown) {
            releaseIfGranted(key, command);
        }
        return new ClaimDecision.Unavailable(client.in(RETRY));
    }

    /**
     * Turns a reply into a decision.
     *
     * @param reply the reply
     * @param dispatchBefore when the right to dispatch ends
     * @return the decision
     */
    private ClaimDecision decide(ClaimReply reply, Deadline dispatchBefore) {
        return switch (reply.getDecision()) {
            case GRANTED -> new ClaimDecision.Granted(reply.getEpoch(), dispatchBefore);
            case ANSWERED ->
                new ClaimDecision.Answered(new StoredResponse(
                        reply.getAnswer().getStatus(),
                        reply.getAnswer().getContentType(),
                        reply.getAnswer().getBody()));
            case IN_PROGRESS -> new ClaimDecision.InProgress(client.in(RETRY));
            case CONFLICT -> new ClaimDecision.Conflict();
            case TOO_OLD -> new ClaimDecision.TooOld();
            default -> new ClaimDecision.MayHaveRun();
        };
    }

    /**
     * Learns the outcome of a claim whose reply was lost, and gives the claim back, since it was not dispatched.
     *
     * @param key the claim's key
     * @param command the command
     */
    private void releaseIfGranted(ClaimKey key, Command command) {
        client.resubmit(command, client.in(END_PATIENCE)).thenAccept(submission -> {
            if (submission instanceof Submission.Replied replied
                    && replied.reply().getClaim().getDecision() == ClaimReply.Decision.GRANTED
                    && replied.reply().hasClaim()) {
                release(key, replied.reply().getClaim().getEpoch());
            }
        });
    }

    /**
     * Ends a claim.
     *
     * @param command the command
     * @return completes when the end is durable, or fails
     */
    private CompletionStage<Void> end(Command.Builder command) {
        return client.expect(command, client.in(END_PATIENCE)).thenAccept(ClaimStoreForControlGroup::requireDone);
    }

    /**
     * Refuses a reply that says that the claim is held by another one.
     *
     * @param reply the reply
     */
    private static void requireDone(Reply reply) {
        if (!reply.hasDone()) {
            throw new ControlException(ResultCode.FENCED);
        }
    }

    /**
     * Returns the end of a claim.
     *
     * @param key the claim's key
     * @param epoch the fencing number of the claim
     * @return the end
     */
    private static EndClaim endOf(ClaimKey key, long epoch) {
        return EndClaim.newBuilder()
                .setWorkspace(key.workspace())
                .setIdempotencyKey(key.idempotencyKey())
                .setEpoch(epoch)
                .build();
    }
}
