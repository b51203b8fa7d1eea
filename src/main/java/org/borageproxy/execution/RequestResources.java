package org.borageproxy.execution;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.borageproxy.admission.DispatchQueue;
import org.borageproxy.key.AuthenticationResult;
import org.borageproxy.key.KeyAuthenticator;
import org.borageproxy.quota.TokenQuota;
import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;

/**
 * The resources that one request holds between admission and completion: reserved tokens, a claim and a queue slot.
 * Each resource is released exactly once. Confined to the request's event loop.
 */
final class RequestResources implements SendGuard {

    /** The retry delay reported to callers when no better estimate exists. */
    static final Duration DEFAULT_RETRY_DELAY = Duration.ofSeconds(1);

    private final ExecutionDependencies dependencies;
    private final ExecutionRequest request;
    /** The reserved tokens, or {@code null}. */
    private TokenQuota.Reservation reservation;
    /** The claim, or {@code null}. */
    private ClaimDecision.Granted grantedClaim;
    /** The queue slot, or {@code null}. */
    private DispatchQueue.Slot slot;
    /** Set before the first byte is sent, so that {@code false} proves that no backend server received the request. */
    private boolean dispatched;

    RequestResources(ExecutionDependencies dependencies, ExecutionRequest request) {
        this.dependencies = dependencies;
        this.request = request;
    }

    void attach(TokenQuota.Reservation newReservation) {
        reservation = newReservation;
    }

    void attach(ClaimDecision.Granted newClaim) {
        grantedClaim = newClaim;
    }

    void attach(DispatchQueue.Slot newSlot) {
        slot = newSlot;
    }

    boolean hasSlot() {
        return slot != null;
    }

    boolean isDispatched() {
        return dispatched;
    }

    /**
     * Checks whether the request may be dispatched now: the configuration is current, the key is still accepted, and
     * neither the dispatch deadline of the claim nor the deadline of the request has passed.
     *
     * @return the reason for the refusal, empty if the request may be dispatched
     */
    Optional<ResultCode> dispatchRefusal() {
        long now = dependencies.clock().nanoTime();
        if (request.caller().isPresent()) {
            if (!dependencies.configuration().isFresh(now)) {
                return Optional.of(ResultCode.CONFIGURATION_STALE);
            }
            AuthenticationResult.Accepted caller = request.caller().get();
            AuthenticationResult currentResult = KeyAuthenticator.INSTANCE.authenticateDigest(
                    dependencies.configuration().current(), caller.digest());
            if (!caller.equals(currentResult)) {
                return Optional.of(ResultCode.KEY_REFUSED);
            }
        }
        if (grantedClaim != null && grantedClaim.dispatchDeadline().hasPassed(now)) {
            return Optional.of(ResultCode.CLAIM_UNAVAILABLE);
        }
        return request.deadline().hasPassed(now) ? Optional.of(ResultCode.DEADLINE_PASSED) : Optional.empty();
    }

    @Override
    public Optional<ResultCode> beforeSend() {
        Optional<ResultCode> refusal = dispatchRefusal();
        if (refusal.isEmpty()) {
            dispatched = true;
        }
        return refusal;
    }

    void releaseSlot() {
        if (slot != null) {
            slot.release();
            slot = null;
        }
    }

    /** Refunds all reserved tokens because the request did not run. */
    void refund() {
        if (reservation != null) {
            reservation.refund();
            reservation = null;
        }
    }

    /**
     * Charges the used tokens and returns the rest of the reservation.
     *
     * @param usedTokens the number of tokens to charge
     */
    void settle(long usedTokens) {
        if (reservation != null) {
            reservation.settle(usedTokens);
            reservation = null;
        }
    }

    /**
     * Releases the claim of a request that did not run.
     *
     * @return completes when the release is durable, immediately if no claim is held
     */
    CompletionStage<Void> releaseClaim() {
        if (grantedClaim == null || request.claim().isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        long epoch = grantedClaim.epoch();
        grantedClaim = null;
        return dependencies.claims().release(request.claim().get().key(), epoch);
    }

    /** Records that the request may have run and that its response is lost. */
    void abandonClaim() {
        if (grantedClaim != null) {
            long epoch = grantedClaim.epoch();
            grantedClaim = null;
            request.claim().ifPresent(claimRequest -> dependencies.claims().abandon(claimRequest.key(), epoch));
        }
    }

    Optional<ClaimDecision.Granted> grantedClaim() {
        return Optional.ofNullable(grantedClaim);
    }

    Deadline defaultRetryAt() {
        return Deadline.after(dependencies.clock().nanoTime(), DEFAULT_RETRY_DELAY);
    }
}
