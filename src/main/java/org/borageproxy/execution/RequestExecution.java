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
 * Executes one request: quarantine check, quota, claim, queue, attempts and settlement. It completes exactly once, at
 * the latest shortly after the deadline of the request, and then releases its resources; resources granted after that
 * are released immediately. Confined to the request's event loop.
 */
public final class RequestExecution {

    private final ExecutionDependencies dependencies;
    private final ExecutionRequest request;
    private final BackendTask task;
    private final Context context;
    private final RequestResources resources;
    private final AttemptLoop attemptLoop;
    private final Promise<RequestOutcome> outcome = Promise.promise();
    private long deadlineTimer;
    private boolean concluded;

    /**
     * Creates an execution.
     *
     * @param dependencies the dependencies
     * @param request the request
     * @param task the backend part of the request
     * @param context the event loop of the request
     */
    public RequestExecution(
            ExecutionDependencies dependencies, ExecutionRequest request, BackendTask task, Context context) {
        this.dependencies = dependencies;
        this.request = request;
        this.task = task;
        this.context = context;
        this.resources = new RequestResources(dependencies, request);
        this.attemptLoop = new AttemptLoop(
                dependencies, request, task, resources, this::conclude, this::reserveRetryTokens, this::renewClaim);
    }

    /**
     * Starts the execution.
     *
     * @return the outcome; never fails
     */
    public Future<RequestOutcome> start() {
        long remaining = request.deadline().remainingMillis(dependencies.clock().nanoTime());
        deadlineTimer = dependencies.vertx().setTimer(Math.max(1, remaining), timer -> onDeadline());
        dependencies.budget().deposit();
        if (dependencies.crashes().suspicion(request.fingerprint()) == Suspicion.QUARANTINED) {
            fail(ResultCode.REQUEST_QUARANTINED, Execution.MAY_HAVE_RUN, Optional.empty());
        } else {
            reserveTokens();
        }
        return outcome.future();
    }

    /**
     * Cancels the request because its caller disconnected. A dispatched request that must not be repeated continues,
     * and its response is stored if it holds a claim.
     */
    public void onCallerDisconnected() {
        if (concluded) {
            return;
        }
        boolean mustRunOn = resources.isDispatched() && !request.repeatable();
        if (!mustRunOn && !attemptLoop.cancelOnDisconnect()) {
            fail(ResultCode.BACKEND_FAILED, attemptLoop.execution(), Optional.empty());
        }
    }

    private void reserveTokens() {
        if (!hasTokenCost()) {
            acquireClaim();
            return;
        }
        await(
                dependencies.quota().reserve(request.workspace(), request.tokens(), request.deadline()),
                this::onReservation,
                failure -> refuse(ResultCode.QUOTA_OWNER_UNREACHABLE));
    }

    private boolean hasTokenCost() {
        return request.caller().isPresent() && request.tokens() > 0;
    }

    private void onReservation(TokenQuota.Decision decision) {
        if (decision instanceof TokenQuota.Decision.Reserved granted) {
            resources.attach(granted.reservation());
            if (concluded) {
                resources.refund();
            } else {
                acquireClaim();
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
     * Settles the tokens used by the earlier attempts and reserves the tokens of a further one.
     *
     * @param onDecision receives whether the tokens are reserved
     */
    private void reserveRetryTokens(Consumer<Boolean> onDecision) {
        if (!hasTokenCost()) {
            onDecision.accept(true);
            return;
        }
        resources.settle(attemptLoop.collectUnsettledTokens());
        await(
                dependencies.quota().reserve(request.workspace(), request.tokens(), request.deadline()),
                decision -> {
                    boolean granted = decision instanceof TokenQuota.Decision.Reserved;
                    if (decision instanceof TokenQuota.Decision.Reserved reserved) {
                        resources.attach(reserved.reservation());
                    }
                    if (concluded) {
                        resources.refund();
                    } else {
                        onDecision.accept(granted);
                    }
                },
                failure -> onDecision.accept(false));
    }

    /** Claims the request if it must run at most once across resends. */
    private void acquireClaim() {
        if (request.claim().isEmpty()) {
            enterQueue();
            return;
        }
        ClaimRequest claimRequest = request.claim().get();
        await(
                dependencies
                        .claims()
                        .claim(
                                claimRequest.key(),
                                claimRequest.digest(),
                                claimRequest.createdAtMillis(),
                                request.deadline()),
                this::onClaimDecision,
                failure -> refuse(ResultCode.CLAIM_UNAVAILABLE));
    }

    private void onClaimDecision(ClaimDecision decision) {
        if (decision instanceof ClaimDecision.Granted granted) {
            resources.attach(granted);
            if (concluded) {
                resources.releaseClaim();
            } else if (resources.hasSlot()) {
                attemptLoop.startNextAttempt();
            } else {
                enterQueue();
            }
        } else if (decision instanceof ClaimDecision.Answered answered) {
            conclude(new RequestOutcome.Replayed(answered.response()));
        } else if (decision instanceof ClaimDecision.InProgress inProgress) {
            fail(ResultCode.IN_PROGRESS, Execution.MAY_HAVE_RUN, Optional.of(inProgress.retryAt()));
        } else if (decision instanceof ClaimDecision.Conflict) {
            fail(ResultCode.IDEMPOTENCY_CONFLICT, Execution.NOT_RUN, Optional.empty());
        } else if (decision instanceof ClaimDecision.Unavailable unavailable) {
            fail(ResultCode.CLAIM_UNAVAILABLE, Execution.NOT_RUN, Optional.of(unavailable.retryAt()));
        } else {
            boolean tooOld = decision instanceof ClaimDecision.TooOld;
            fail(
                    tooOld ? ResultCode.REQUEST_TOO_OLD : ResultCode.MAY_HAVE_RUN,
                    Execution.MAY_HAVE_RUN,
                    Optional.empty());
        }
    }

    /** Replaces a claim whose dispatch deadline passed before anything was sent. */
    private void renewClaim() {
        await(resources.releaseClaim(), released -> acquireClaim(), failure -> refuse(ResultCode.CLAIM_UNAVAILABLE));
    }

    private void enterQueue() {
        DispatchQueue.QueuedRequest queuedRequest = new DispatchQueue.QueuedRequest(
                request.workspace(), request.pool(), request.tokens(), request.priority(), request.deadline());
        await(
                dependencies.queue().enqueue(queuedRequest),
                this::onQueueDecision,
                failure -> refuse(ResultCode.OVERLOADED));
    }

    private void onQueueDecision(DispatchQueue.Decision decision) {
        if (decision instanceof DispatchQueue.Decision.Dispatchable dispatchable) {
            resources.attach(dispatchable.slot());
            if (concluded) {
                resources.releaseSlot();
            } else {
                attemptLoop.startNextAttempt();
            }
        } else if (decision instanceof DispatchQueue.Decision.Shed shed) {
            fail(shed.code(), Execution.NOT_RUN, Optional.ofNullable(shed.retryAt()));
        }
    }

    private void onDeadline() {
        if (!concluded && !attemptLoop.cancelAtDeadline()) {
            attemptLoop.fail(ResultCode.DEADLINE_PASSED);
        }
    }

    /**
     * Fails a request that did not run and may be resent.
     *
     * @param code the reason
     */
    private void refuse(ResultCode code) {
        fail(code, Execution.NOT_RUN, Optional.of(resources.defaultRetryAt()));
    }

    /**
     * Fails the request before any byte of a response was sent.
     *
     * @param code the reason
     * @param execution whether the request ran
     * @param retryAt when to retry, empty if a retry is of no use
     */
    private void fail(ResultCode code, Execution execution, Optional<Deadline> retryAt) {
        conclude(new RequestOutcome.Failure(code, execution, retryAt, false));
    }

    /**
     * Completes the request once and releases its resources.
     *
     * @param result the outcome
     */
    private void conclude(RequestOutcome result) {
        if (concluded) {
            return;
        }
        concluded = true;
        dependencies.vertx().cancelTimer(deadlineTimer);
        attemptLoop.stop();
        resources.releaseSlot();
        if (result instanceof RequestOutcome.Answered) {
            resources.settle(attemptLoop.collectUnsettledTokens());
            storeResponse().onComplete(stored -> outcome.complete(result));
            return;
        }
        if (attemptLoop.execution() == Execution.NOT_RUN) {
            resources.refund();
            resources.releaseClaim();
        } else {
            resources.settle(attemptLoop.collectUnsettledTokens());
            resources.abandonClaim();
        }
        outcome.complete(result);
    }

    /**
     * Stores the response of a claimed request before it is delivered to the caller.
     *
     * @return completes when the response is durable, when storing fails or when its timeout expires
     */
    private Future<Void> storeResponse() {
        Optional<ClaimDecision.Granted> claim = resources.grantedClaim();
        Optional<StoredResponse> response =
                task.storedResponse(dependencies.settings().maximumStoredResponseBytes());
        if (claim.isEmpty() || request.claim().isEmpty()) {
            return Future.succeededFuture();
        }
        if (response.isEmpty()) {
            resources.abandonClaim();
            return Future.succeededFuture();
        }
        Promise<Void> stored = Promise.promise();
        long timer = dependencies
                .vertx()
                .setTimer(dependencies.settings().responseStorageTimeout().toMillis(), id -> stored.tryComplete());
        CompletionStage<Void> stage = dependencies
                .claims()
                .complete(request.claim().get().key(), claim.get().epoch(), response.get());
        Future.fromCompletionStage(stage, context).onComplete(done -> {
            dependencies.vertx().cancelTimer(timer);
            stored.tryComplete();
        });
        return stored.future();
    }

    /**
     * Handles the result of a stage on the event loop of the request.
     *
     * @param stage the stage
     * @param onValue receives the value
     * @param onFailure receives the failure
     * @param <T> the type of the value
     */
    private <T> void await(CompletionStage<T> stage, Consumer<T> onValue, Consumer<Throwable> onFailure) {
        Future.fromCompletionStage(stage, context).onComplete(onValue::accept, onFailure::accept);
    }
}
