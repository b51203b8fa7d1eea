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
 * Stores claims in the control group. The time in which a granted claim may be dispatched starts on this VM when the
 * claim is sent. A claim whose outcome is unknown is not dispatched. Thread safe.
 */
public final class ControlGroupClaimStore implements ClaimStore {

    /** Time in which a granted claim may be dispatched, counted from when it was sent. */
    private static final Duration DISPATCH_WINDOW = Duration.ofMillis(3000);

    /** Time for which a claim counts as in progress beyond the caller's deadline. */
    private static final Duration HOLD_MARGIN = Duration.ofMillis(2000);

    /** Maximum time for which a claim counts as in progress, without the margin. */
    private static final Duration MAX_HOLD = Duration.ofHours(1);

    /** Maximum time for a claim, including retries. */
    private static final Duration CLAIM_TIMEOUT = Duration.ofMillis(2500);

    /** Maximum time to record the end of a claim, including retries. */
    private static final Duration END_TIMEOUT = Duration.ofSeconds(15);

    /** Delay after which a caller may retry. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(1000);

    private final ControlClient client;

    /**
     * Creates a store.
     *
     * @param client submits commands to the control group
     */
    public ControlGroupClaimStore(ControlClient client) {
        this.client = client;
    }

    @Override
    public CompletionStage<ClaimDecision> claim(ClaimKey key, String digest, long createdAtMillis, Deadline deadline) {
        long sentAtNanos = client.nanoTime();
        Duration remaining = Duration.ofNanos(deadline.remainingNanos(sentAtNanos));
        Duration hold = remaining.compareTo(DISPATCH_WINDOW) > 0 ? remaining : DISPATCH_WINDOW;
        Duration boundedHold = hold.compareTo(MAX_HOLD) < 0 ? hold : MAX_HOLD;
        Command command = client.withNewIdentity(Command.newBuilder()
                .setClaim(Claim.newBuilder()
                        .setWorkspace(key.workspace())
                        .setIdempotencyKey(key.idempotencyKey())
                        .setDigest(digest)
                        .setCreatedAtMillis(createdAtMillis)
                        .setHolder(client.self().value())
                        .setHoldMillis(boundedHold.plus(HOLD_MARGIN).toMillis())));
        Deadline dispatchDeadline = deadline.earlierOf(Deadline.after(sentAtNanos, DISPATCH_WINDOW));
        return client.resubmit(command, deadline.earlierOf(Deadline.after(sentAtNanos, CLAIM_TIMEOUT)))
                .thenApply(submission -> decide(submission, key, command, dispatchDeadline));
    }

    @Override
    public CompletionStage<Void> complete(ClaimKey key, long epoch, StoredResponse response) {
        CompleteClaim.Builder end = CompleteClaim.newBuilder()
                .setWorkspace(key.workspace())
                .setIdempotencyKey(key.idempotencyKey())
                .setEpoch(epoch);
        boolean isStorable = response.body().size() <= ClaimTable.MAX_RESPONSE_BYTES;
        if (!isStorable) {
            // The request then counts as one that may have run, as in ClaimTable, but the response is not sent.
            return abandon(key, epoch);
        }
        end.setAnswer(Answer.newBuilder()
                .setStatus(response.status())
                .setContentType(response.contentType())
                .setBody(response.body()));
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

    private ClaimDecision decide(Submission submission, ClaimKey key, Command command, Deadline dispatchDeadline) {
        if (submission instanceof Submission.Replied replied && replied.reply().hasClaim()) {
            return decide(replied.reply().getClaim(), dispatchDeadline);
        }
        if (submission instanceof Submission.Unknown) {
            releaseIfGranted(key, command);
        }
        return new ClaimDecision.Unavailable(client.deadlineAfter(RETRY_DELAY));
    }

    private ClaimDecision decide(ClaimReply reply, Deadline dispatchDeadline) {
        return switch (reply.getDecision()) {
            case GRANTED -> new ClaimDecision.Granted(reply.getEpoch(), dispatchDeadline);
            case ANSWERED ->
                new ClaimDecision.Answered(new StoredResponse(
                        reply.getAnswer().getStatus(),
                        reply.getAnswer().getContentType(),
                        reply.getAnswer().getBody()));
            case IN_PROGRESS -> new ClaimDecision.InProgress(client.deadlineAfter(RETRY_DELAY));
            case CONFLICT -> new ClaimDecision.Conflict();
            case TOO_OLD -> new ClaimDecision.TooOld();
            default -> new ClaimDecision.MayHaveRun();
        };
    }

    /**
     * Resubmits a claim whose reply was lost, to find out its outcome, and releases it if it was granted, since it was
     * not dispatched.
     */
    private void releaseIfGranted(ClaimKey key, Command command) {
        client.resubmit(command, client.deadlineAfter(END_TIMEOUT)).thenAccept(submission -> {
            if (submission instanceof Submission.Replied replied
                    && replied.reply().getClaim().getDecision() == ClaimReply.Decision.GRANTED
                    && replied.reply().hasClaim()) {
                release(key, replied.reply().getClaim().getEpoch());
            }
        });
    }

    /** Submits the end of a claim. Completes when the end is committed, or fails. */
    private CompletionStage<Void> end(Command.Builder command) {
        return client.submitForReply(command, client.deadlineAfter(END_TIMEOUT))
                .thenAccept(ControlGroupClaimStore::requireDone);
    }

    /** Throws if the claim is not held under the epoch of the request. */
    private static void requireDone(Reply reply) {
        if (!reply.hasDone()) {
            throw new ControlException(ResultCode.FENCED);
        }
    }

    private static EndClaim endOf(ClaimKey key, long epoch) {
        return EndClaim.newBuilder()
                .setWorkspace(key.workspace())
                .setIdempotencyKey(key.idempotencyKey())
                .setEpoch(epoch)
                .build();
    }
}
