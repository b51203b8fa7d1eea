package org.borageproxy.execution;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import org.borageproxy.admission.DispatchQueue;
import org.borageproxy.quota.TokenQuota;
import org.borageproxy.result.Execution;
import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;

/**
 * Takes one request from its admission to its end: quarantine, quota, claim, queue, attempts, settlement. It concludes
 * exactly once, at the latest at the request's deadline, and gives back what it holds; whatever a port answers after
 * that is given back at once. Confined to the request's event loop.
 */
public final class RequestExecution {

    /** What the execution needs of its surroundings. */
    private final ExecutionDependencies services;
    /** The request. */
    private final ExecutionRequest request;
    /** What backend servers do for the request. */
    private final BackendTask work;
    /** The request's event loop. */
    private final Context context;
    /** What the request holds. */
    private final RequestResources admission;
    /** Runs the attempts. */
    private final AttemptLoop attempts;
    /** The conclusion. */
    private final Promise<RequestOutcome> conclusion = Promise.promise();
    /** The timer of the deadline. */
    private long deadlineTimer;
    /** Whether the conclusion is decided. */
    private boolean ended;

    /**
     * Creates an execution.
     *
     * @param services what the execution needs of its surroundings
     * @param request the request
     * @param work what backend servers do for the request
     * @param context the request's event loop
     */
    public RequestExecution(
            ExecutionDependencies services, ExecutionRequest request, BackendTask work, Context context) {
        this.services = services;
        this.request = request;
        this.work = work;
        this.context = context;
        this.admission = new RequestResources(services, request);
        this.attempts = new AttemptLoop(
                services, request, work, admission, this::conclude, this::reserveAgain, this::renewClaim);
    }

    /**
     * Runs the request.
     *
     * @return the conclusion; never fails
     */
    public Future<RequestOutcome> start() {
        long remaining = request.deadline().remainingMillis(services.clock().nanoTime());
        deadlineTimer = services.vertx().setTimer(Math.max(1, remaining), timer -> deadlinePassed());
        services.budget().deposit();
        if (services.crashes().suspicion(request.fingerprint()) == Suspicion.QUARANTINED) {
            fail(ResultCode.REQUEST_QUARANTINED, Execution.MAY_HAVE_RUN, Optional.empty());
        } else {
            reserve();
        }
        return conclusion.future();
    }

    /**
     * Gives the request up because its caller went away, unless its run must not be broken off: a request that may not
     * be repeated runs on, and its answer is kept if it holds a claim.
     */
    public void onCallerDisconnected() {
        if (ended) {
            return;
        }
        boolean mustRunOn = admission.isDispatched() && !request.repeatable();
        if (!mustRunOn && !attempts.cancelOnDisconnect()) {
            fail(ResultCode.BACKEND_FAILED, attempts.execution(), Optional.empty());
        }
    }

    /** Reserves the tokens. */
    private void reserve() {
        if (!needsTokens()) {
            claim();
            return;
        }
        await(
                services.quota().reserve(request.workspace(), request.tokens(), request.deadline()),
                this::reserved,
                failure -> refuse(ResultCode.QUOTA_OWNER_UNREACHABLE));
    }

    /**
     * Tells whether the request costs its workspace anything.
     *
     * @return {@code true} if it does
     */
    private boolean needsTokens() {
        return request.caller().isPresent() && request.tokens() > 0;
    }

    /**
     * Takes the answer of the quota.
     *
     * @param decision the answer
     */
    private void reserved(TokenQuota.Decision decision) {
        if (decision instanceof TokenQuota.Decision.Reserved granted) {
            admission.attach(granted.reservation());
            if (ended) {
                admission.refund();
            } else {
                claim();
            }
        } else if (decision instanceof TokenQuota.Decision.Refused refused) {
            boolean permanent = refused.code() == ResultCode.TOO_MANY_TOKENS;
            fail(
                    refused.code(),
                    Execution.NOT_RUN,
                    permanent ? Optional.empty() : Optional.ofNullable(refused.retryAt()));
        }
    }

    /**
     * Reserves the tokens of a further attempt, after those of the earlier ones were paid.
     *
     * @param onDecision takes whether the tokens are reserved
     */
    private void reserveAgain(Consumer<Boolean> onDecision) {
        if (!needsTokens()) {
            onDecision.accept(true);
            return;
        }
        admission.settle(attempts.collectUnsettledTokens());
        await(
                services.quota().reserve(request.workspace(), request.tokens(), request.deadline()),
                decision -> {
                    boolean granted = decision instanceof TokenQuota.Decision.Reserved;
                    if (decision instanceof TokenQuota.Decision.Reserved reserved) {
                        admission.attach(reserved.reservation());
                    }
                    if (ended) {
                        admission.refund();
                    } else {
                        onDecision.accept(granted);
                    }
                },
                failure -> onDecision.accept(false));
    }

    /** Claims the request if it must run at most once over resends. */
    private void claim() {
        if (request.claim().isEmpty()) {
            enterQueue();
            return;
        }
        ClaimRequest asked = request.claim().get();
        await(
                services.claims().claim(asked.key(), asked.digest(), asked.createdAtMillis(), request.deadline()),
                this::claimed,
                failure -> refuse(ResultCode.CLAIM_UNAVAILABLE));
    }

    /**
     * Takes the answer of the claim store.
     *
     * @param decision the answer
     */
    private void claimed(ClaimDecision decision) {
        if (decision instanceof ClaimDecision.Granted granted) {
            admission.attach(granted);
            if (ended) {
                admission.releaseClaim();
            } else if (admission.hasSlot()) {
                attempts.startNextAttempt();
            } else {
                enterQueue();
            }
        } else if (decision instanceof ClaimDecision.Answered answered) {
            conclude(new RequestOutcome.Replayed(answered.response()));
        } else if (decision instanceof ClaimDecision.InProgress progress) {
            fail(ResultCode.IN_PROGRESS, Execution.MAY_HAVE_RUN, Optional.of(progress.retryAt()));
        } else if (decision instanceof ClaimDecision.Conflict) {
            fail(ResultCode.IDEMPOTENCY_CONFLICT, Execution.NOT_RUN, Optional.empty());
        } else if (decision instanceof ClaimDecision.Unavailable unavailable) {
            fail(ResultCode.CLAIM_UNAVAILABLE, Execution.NOT_RUN, Optional.of(unavailable.retryAt()));
        } else {
            boolean old = decision instanceof ClaimDecision.TooOld;
            fail(old ? ResultCode.REQUEST_TOO_OLD : ResultCode.MAY_HAVE_RUN, Execution.MAY_HAVE_RUN, Optional.empty());
        }
    }

    /** Claims the request anew because the right to dispatch it passed while it waited; nothing of it was sent. */
    private void renewClaim() {
        await(admission.releaseClaim(), released -> claim(), failure -> refuse(ResultCode.CLAIM_UNAVAILABLE));
    }

    /** Waits for a place before the backend servers. */
    private void enterQueue() {
        DispatchQueue.QueuedRequest queued = new DispatchQueue.QueuedRequest(
                request.workspace(), request.pool(), request.tokens(), request.priority(), request.deadline());
        await(services.queue().enqueue(queued), this::admitted, failure -> refuse(ResultCode.OVERLOADED));
    }

    /**
     * Takes the answer of the queue.
     *
     * @param decision the answer
     */
    private void admitted(DispatchQueue.Decision decision) {
        if (decision instanceof DispatchQueue.Decision.Dispatchable dispatchable) {
            admission.attach(dispatchable.slot());
            if (ended) {
                admission.releaseSlot();
            } else {
                attempts.startNextAttempt();
            }
        } else if (decision instanceof DispatchQueue.Decision.Shed shed) {
            fail(shed.code(), Execution.NOT_RUN, Optional.ofNullable(shed.retryAt()));
        }
    }

    /** Ends the request at its deadline. */
    private void deadlinePassed() {
        if (!ended && !attempts.cancelAtDeadline()) {
            attempts.fail(ResultCode.DEADLINE_PASSED);
        }
    }

    /**
     * Refuses the request, which did not run and may be sent again.
     *
     * @param code why
     */
    private void refuse(ResultCode code) {
        fail(code, Execution.NOT_RUN, Optional.of(admission.defaultRetryAt()));
    }

    /**
     * Concludes with a failure before any byte of an answer.
     *
     * @param code why
     * @param execution what is known of the execution
     * @param retryAt when to come back
     */
    private void fail(ResultCode code, Execution execution, Optional<Deadline> retryAt) {
        conclude(new RequestOutcome.Failure(code, execution, retryAt, false));
    }

    /**
     * Concludes once and gives back what is held.
     *
     * @param result the conclusion
     */
    private void conclude(RequestOutcome result) {
        if (ended) {
            return;
        }
        ended = true;
        services.vertx().cancelTimer(deadlineTimer);
        attempts.stop();
        admission.releaseSlot();
        if (result instanceof RequestOutcome.Answered) {
            admission.settle(attempts.collectUnsettledTokens());
            keepAnswer().onComplete(kept -> conclusion.complete(result));
            return;
        }
        if (attempts.execution() == Execution.NOT_RUN) {
            admission.refund();
            admission.releaseClaim();
        } else {
            admission.settle(attempts.collectUnsettledTokens());
            admission.abandonClaim();
        }
        conclusion.complete(result);
    }

    /**
     * Records the answer of a claimed request before the caller gets it.
     *
     * @return completes when the answer is durable, or when waiting for that is over
     */
    private Future<Void> keepAnswer() {
        Optional<ClaimDecision.Granted> claim = admission.grantedClaim();
        Optional<StoredResponse> answer =
                work.storedResponse(services.settings().maximumStoredResponseBytes());
        if (claim.isEmpty() || request.claim().isEmpty()) {
            return Future.succeededFuture();
        }
        if (answer.isEmpty()) {
            admission.abandonClaim();
            return Future.succeededFuture();
        }
        Promise<Void> kept = Promise.promise();
        long timer =
                services.vertx().setTimer(services.settings().claimTimeout().toMillis(), id -> kept.tryComplete());
        CompletionStage<Void> stage = services.claims()
                .complete(request.claim().get().key(), claim.get().epoch(), answer.get());
        Future.fromCompletionStage(stage, context).onComplete(done -> {
            services.vertx().cancelTimer(timer);
            kept.tryComplete();
        });
        return kept.future();
    }

    /**
     * Waits for a port on the request's event loop.
     *
     * @param stage what the port answers
     * @param onValue takes the answer
     * @param onFailure takes the failure
     * @param <T> the type of the answer
     */
    private <T> void await(CompletionStage<T> stage, Consumer<T> onValue, Consumer<Throwable> onFailure) {
        Future.fromCompletionStage(stage, context).onComplete(onValue::accept, onFailure::accept);
    }
}
