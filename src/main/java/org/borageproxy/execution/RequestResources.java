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
 * What a request holds between its admission and its end: reserved tokens, a claim and a place in the queue. Each is
 * given back exactly once. Confined to the request's event loop.
 */
final class RequestResources implements SendGuard {

    /** How long a caller is told to wait if nothing better is known. */
    static final Duration DEFAULT_RETRY_DELAY = Duration.ofSeconds(1);

    /** What the execution needs of its surroundings. */
    private final ExecutionDependencies services;
    /** The request. */
    private final ExecutionRequest request;
    /** The tokens reserved, or {@code null}. */
    private TokenQuota.Reservation reservation;
    /** The claim held, or {@code null}. */
    private ClaimDecision.Granted grantedClaim;
    /** The place held, or {@code null}. */
    private DispatchQueue.Slot slot;
    /** Whether a byte of the request may have reached a backend server. */
    private boolean dispatched;

    /**
     * Creates an admission that holds nothing.
     *
     * @param services what the execution needs of its surroundings
     * @param request the request
     */
    RequestResources(ExecutionDependencies services, ExecutionRequest request) {
        this.services = services;
        this.request = request;
    }

    /**
     * Holds reserved tokens.
     *
     * @param reserved the tokens
     */
    void attach(TokenQuota.Reservation reserved) {
        reservation = reserved;
    }

    /**
     * Holds a claim.
     *
     * @param granted the claim
     */
    void attach(ClaimDecision.Granted granted) {
        grantedClaim = granted;
    }

    /**
     * Holds a place in the queue.
     *
     * @param place the place
     */
    void attach(DispatchQueue.Slot place) {
        slot = place;
    }

    /**
     * Tells whether a place in the queue is held.
     *
     * @return {@code true} if it is
     */
    boolean hasSlot() {
        return slot != null;
    }

    /**
     * Tells whether a byte of the request may have reached a backend server.
     *
     * @return {@code true} if it may
     */
    boolean isDispatched() {
        return dispatched;
    }

    /**
     * Checks whether the request may be dispatched now: its key is still accepted, the configuration is current, and
     * its claim and deadline have not passed.
     *
     * @return why it may not, empty if it may
     */
    Optional<ResultCode> dispatchRefusal() {
        long now = services.clock().nanoTime();
        if (request.caller().isPresent()) {
            if (!services.configuration().isFresh(now)) {
                return Optional.of(ResultCode.CONFIGURATION_STALE);
            }
            AuthenticationResult.Accepted caller = request.caller().get();
            AuthenticationResult again = KeyAuthenticator.INSTANCE.authenticateDigest(
                    services.configuration().current(), caller.digest());
            if (!caller.equals(again)) {
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

    /** Gives the place in the queue back. */
    void releaseSlot() {
        if (slot != null) {
            slot.release();
            slot = null;
        }
    }

    /** Gives all reserved tokens back because the request did not run. */
    void refund() {
        if (reservation != null) {
            reservation.refund();
            reservation = null;
        }
    }

    /**
     * Pays for tokens and gives the others back.
     *
     * @param usedTokens the tokens that were used
     */
    void settle(long usedTokens) {
        if (reservation != null) {
            reservation.settle(usedTokens);
            reservation = null;
        }
    }

    /**
     * Gives the claim back because the request did not run.
     *
     * @return completes when the claim is given back, or at once if none is held
     */
    CompletionStage<Void> releaseClaim() {
        if (grantedClaim == null || request.claim().isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        long epoch = grantedClaim.epoch();
        grantedClaim = null;
        return services.claims().release(request.claim().get().key(), epoch);
    }

    /** Records that the request may have run and that its answer is lost. */
    void abandonClaim() {
        if (grantedClaim != null) {
            long epoch = grantedClaim.epoch();
            grantedClaim = null;
            request.claim().ifPresent(asked -> services.claims().abandon(asked.key(), epoch));
        }
    }

    /**
     * Returns the claim held.
     *
     * @return the claim
     */
    Optional<ClaimDecision.Granted> grantedClaim() {
        return Optional.ofNullable(grantedClaim);
    }

    /**
     * Returns when to come back if nothing better is known.
     *
     * @return the deadline
     */
    Deadline defaultRetryAt() {
        return Deadline.after(services.clock().nanoTime(), DEFAULT_RETRY_DELAY);
    }
}
