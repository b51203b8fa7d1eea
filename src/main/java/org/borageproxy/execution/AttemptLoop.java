package org.borageproxy.execution;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

import org.borageproxy.event.Event;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.result.Execution;
import org.borageproxy.result.ResultCode;
import org.borageproxy.routing.CircuitBreaker;
import org.borageproxy.routing.ReplicaSelector;
import org.borageproxy.routing.Selection;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.AvailabilityZone;

/**
 * Runs the attempts of one admitted request: selects a replica, runs the attempt and applies the retry policy. After a
 * connection to a backend server is lost, the request runs exclusively on a server; after the second loss it is not run
 * again. Confined to the request's event loop.
 */
final class AttemptLoop {

    private static final long POLL_INTERVAL_MILLIS = 20;
    /** The upper bound of the random retry delay; doubled for each attempt made, so 20 ms before the first retry. */
    private static final long INITIAL_BACKOFF_MILLIS = 10;

    private static final int MAXIMUM_CLAIM_RENEWALS = 2;
    private final ExecutionDependencies dependencies;
    private final ExecutionRequest request;
    private final BackendTask task;
    private final RequestResources resources;
    private final Consumer<RequestOutcome> onOutcome;
    private final Consumer<Consumer<Boolean>> reserveTokens;
    private final Runnable renewClaim;
    private final Map<BackendServerName, AvailabilityZone> tried = new HashMap<>();
    /** The execution state over all attempts. */
    private Execution execution = Execution.NOT_RUN;

    private int attempts;
    private long settledTokens;
    private final CrashTracker crashTracker;
    private final ExclusiveReservation exclusiveReservation;
    /** The end of the wait for capacity on full backend servers, or {@code null} if none has been full. */
    private Deadline capacityDeadline;
    /** Attempts refused by full backend servers, which do not count towards the attempt limit. */
    private int capacityRefusals;

    private int claimRenewals;
    private boolean attemptRunning;
    private boolean callerDisconnected;
    private boolean concluded;
    /** The end of the wait for a replica, or {@code null} while a replica exists. */
    private Deadline replicaDeadline;
    /** The failure of the last attempt, or {@code null}. */
    private ResultCode lastFailure;

    AttemptLoop(
            ExecutionDependencies dependencies,
            ExecutionRequest request,
            BackendTask task,
            RequestResources resources,
            Consumer<RequestOutcome> onOutcome,
            Consumer<Consumer<Boolean>> reserveTokens,
            Runnable renewClaim) {
        this.dependencies = dependencies;
        this.request = request;
        this.task = task;
        this.resources = resources;
        this.onOutcome = onOutcome;
        this.reserveTokens = reserveTokens;
        this.renewClaim = renewClaim;
        this.crashTracker = new CrashTracker(dependencies, request);
        this.exclusiveReservation = new ExclusiveReservation(dependencies.table());
    }

    /** Selects a replica and starts an attempt, or schedules another selection if none is available. */
    void startNextAttempt() {
        if (concluded) {
            return;
        }
        Optional<ResultCode> refusal = resources.dispatchRefusal();
        if (refusal.isPresent()) {
            handleRefusal(refusal.get());
            return;
        }
        if (crashTracker.isQuarantined()) {
            fail(ResultCode.REQUEST_QUARANTINED);
            return;
        }
        boolean exclusive = crashTracker.mustRunAlone();
        List<BackendServer> servers = dependencies.servers().current();
        long now = dependencies.clock().nanoTime();
        Selection selection = ReplicaSelector.INSTANCE.select(
                task.query(servers, tried, exclusive),
                servers,
                dependencies.table()::usage,
                now,
                ThreadLocalRandom.current());
        if (selection instanceof Selection.Chosen chosen
                && dependencies.table().acquire(chosen.server().name(), exclusive, now)) {
            runAttempt(chosen.server(), exclusive);
        } else if (exclusive && selection instanceof Selection.Busy) {
            Optional<BackendServer> idleServer =
                    exclusiveReservation.poll(task.query(servers, tried, true), servers, now);
            idleServer.ifPresentOrElse(
                    server -> runAttempt(server, true), () -> waitForReplica(selection, servers, now));
        } else {
            waitForReplica(selection, servers, now);
        }
    }

    /**
     * Fails a request that must not be dispatched, or renews its claim if the dispatch deadline of the claim passed
     * before anything was sent.
     *
     * @param code the reason for the refusal
     */
    private void handleRefusal(ResultCode code) {
        boolean claimLapsed = code == ResultCode.CLAIM_UNAVAILABLE && !resources.isDispatched();
        if (claimLapsed && claimRenewals < MAXIMUM_CLAIM_RENEWALS) {
            claimRenewals++;
            renewClaim.run();
        } else {
            fail(code);
        }
    }

    /**
     * Schedules another selection, or fails the request if no replica has existed for the replica timeout.
     *
     * @param selection the unsuccessful selection
     * @param servers all backend servers
     * @param now the monotonic time in nanoseconds
     */
    private void waitForReplica(Selection selection, List<BackendServer> servers, long now) {
        if (!(selection instanceof Selection.Missing)) {
            replicaDeadline = null;
        } else if (replicaDeadline == null) {
            replicaDeadline = Deadline.after(now, dependencies.settings().replicaTimeout());
        } else if (replicaDeadline.hasPassed(now)) {
            fail(task.noReplicaCode(servers));
            return;
        }
        dependencies.vertx().setTimer(POLL_INTERVAL_MILLIS, timer -> startNextAttempt());
    }

    private void runAttempt(BackendServer server, boolean exclusive) {
        attempts++;
        attemptRunning = true;
        replicaDeadline = null;
        exclusiveReservation.onAttemptStarted(server.name());
        long startedNanos = dependencies.clock().nanoTime();
        task.attempt(server, attempts, resources).onComplete(result -> {
            attemptRunning = false;
            double millis = (dependencies.clock().nanoTime() - startedNanos) / 1e6;
            AttemptOutcome outcome = result.result();
            dependencies.table().release(server.name(), exclusive, circuitUpdate(outcome, millis));
            handleOutcome(server, exclusive, outcome);
        });
    }

    /**
     * Returns the update of the server's circuit breaker. An unreachable server or a lost response counts as a failure;
     * any other refusal and a cancellation do not.
     *
     * @param outcome the outcome of the attempt
     * @param millis the duration of the attempt in milliseconds
     * @return the update
     */
    private UnaryOperator<CircuitBreaker> circuitUpdate(AttemptOutcome outcome, double millis) {
        long now = dependencies.clock().nanoTime();
        if (outcome instanceof AttemptOutcome.Answered) {
            double unitMillis = millis / task.receivedUnits();
            return circuit -> circuit.afterSuccess(unitMillis);
        }
        boolean unreachable =
                outcome instanceof AttemptOutcome.NotRun refused && refused.code() == ResultCode.NO_REPLICA;
        boolean failed =
                outcome instanceof AttemptOutcome.MayHaveRun lost && lost.cause() != AttemptOutcome.Cause.CANCELLED;
        return unreachable || failed ? circuit -> circuit.afterFailure(now) : CircuitBreaker::afterInconclusiveProbe;
    }

    private void handleOutcome(BackendServer server, boolean exclusive, AttemptOutcome outcome) {
        if (outcome.execution() == Execution.MAY_HAVE_RUN) {
            execution = Execution.MAY_HAVE_RUN;
        }
        if (outcome instanceof AttemptOutcome.Answered) {
            execution = Execution.ANSWERED;
            crashTracker.onAnswered();
        } else {
            tried.put(server.name(), server.zone());
            record(server, outcome);
        }
        if (outcome instanceof AttemptOutcome.MayHaveRun lost && lost.cause() == AttemptOutcome.Cause.CUT) {
            crashTracker.onConnectionLost(server, exclusive).onComplete(probed -> applyRetryPolicy(outcome));
        } else {
            applyRetryPolicy(outcome);
        }
    }

    private void record(BackendServer server, AttemptOutcome outcome) {
        dependencies
                .events()
                .record(Event.named("attempt-failed")
                        .with("request", request.identity())
                        .with("server", server.name())
                        .with("attempt", attempts)
                        .with("outcome", outcome.execution().headerValue()));
    }

    private void applyRetryPolicy(AttemptOutcome outcome) {
        if (concluded) {
            return;
        }
        boolean waitingForCapacity = mayWaitForCapacity(outcome);
        lastFailure = resultCode(outcome);
        RetryDecision decision = retryDecision(outcome, mayRetry(outcome, waitingForCapacity));
        boolean shouldRetry = decision == RetryDecision.RETRY || decision == RetryDecision.RESUME;
        if (shouldRetry && !waitingForCapacity && !dependencies.budget().tryWithdraw()) {
            lastFailure = outcome.execution() == Execution.NOT_RUN ? ResultCode.RETRY_BUDGET_SPENT : lastFailure;
            decision = retryDecision(outcome, false);
        }
        switch (decision) {
            case DELIVER -> onOutcome.accept(RequestOutcome.Answered.INSTANCE);
            case RETRY, RESUME -> scheduleRetry();
            default -> fail(lastFailure);
        }
    }

    /**
     * Counts a refusal by a full backend server and checks whether the request may keep waiting for capacity. Since a
     * full server did no work, such an attempt is not a retry; the total wait is bounded.
     *
     * @param outcome the outcome of the last attempt
     * @return {@code true} if a server was full and the wait has not expired
     */
    private boolean mayWaitForCapacity(AttemptOutcome outcome) {
        if (!isServerFull(outcome)) {
            return false;
        }
        long now = dependencies.clock().nanoTime();
        if (capacityDeadline == null) {
            capacityDeadline = Deadline.after(now, dependencies.settings().replicaTimeout());
        }
        capacityRefusals++;
        return !capacityDeadline.hasPassed(now);
    }

    private boolean mayRetry(AttemptOutcome outcome, boolean waitingForCapacity) {
        boolean permanent =
                outcome instanceof AttemptOutcome.NotRun refused && refused.scope() == AttemptOutcome.Scope.REQUEST;
        boolean attemptsLeft =
                attempts - capacityRefusals < dependencies.settings().maximumAttempts();
        return !permanent
                && !callerDisconnected
                && !crashTracker.hasReachedLossLimit()
                && (waitingForCapacity || (attemptsLeft && !isServerFull(outcome)));
    }

    private static boolean isServerFull(AttemptOutcome outcome) {
        return outcome instanceof AttemptOutcome.NotRun refused && refused.code() == ResultCode.OVERLOADED;
    }

    private RetryDecision retryDecision(AttemptOutcome outcome, boolean budgetLeft) {
        boolean timeLeft = !request.deadline().hasPassed(dependencies.clock().nanoTime());
        return RetryPolicy.INSTANCE.decide(new RetryPolicy.Situation(
                outcome.execution(), request.repeatable(), task.sent(), timeLeft, budgetLeft));
    }

    private static ResultCode resultCode(AttemptOutcome outcome) {
        if (outcome instanceof AttemptOutcome.NotRun refused) {
            return refused.code();
        }
        return outcome instanceof AttemptOutcome.MayHaveRun lost ? lost.code() : ResultCode.OK;
    }

    /**
     * Starts the next attempt after a random delay. If an earlier attempt may have run, tokens are reserved again
     * first.
     */
    private void scheduleRetry() {
        long maximumDelayMillis = INITIAL_BACKOFF_MILLIS
                << Math.min(attempts, dependencies.settings().maximumAttempts());
        long delayMillis = 1 + ThreadLocalRandom.current().nextLong(maximumDelayMillis);
        dependencies.vertx().setTimer(delayMillis, timer -> {
            if (concluded) {
                return;
            }
            if (execution == Execution.NOT_RUN) {
                startNextAttempt();
            } else {
                reserveTokens.accept(granted -> onReservation(granted));
            }
        });
    }

    private void onReservation(boolean granted) {
        if (granted) {
            startNextAttempt();
        } else {
            fail(lastFailure);
        }
    }

    /**
     * Completes the request without a whole response.
     *
     * @param code the reason, replaced by {@code REQUEST_QUARANTINED} if the request is quarantined, or else by the
     *     failure of the last attempt if the request may have run
     */
    void fail(ResultCode code) {
        if (concluded) {
            return;
        }
        boolean retryAllowed = code != ResultCode.REQUEST_QUARANTINED
                && code != ResultCode.KEY_REFUSED
                && (execution == Execution.NOT_RUN || request.repeatable());
        boolean quarantined = crashTracker.isQuarantined();
        Optional<Deadline> retryAt =
                retryAllowed && !quarantined ? Optional.of(resources.defaultRetryAt()) : Optional.empty();
        ResultCode reason = execution == Execution.MAY_HAVE_RUN && lastFailure != null ? lastFailure : code;
        ResultCode reportedCode = quarantined ? ResultCode.REQUEST_QUARANTINED : reason;
        Execution reportedExecution = quarantined ? Execution.MAY_HAVE_RUN : execution;
        onOutcome.accept(
                new RequestOutcome.Failure(reportedCode, reportedExecution, retryAt, task.sent() != SentOutput.NONE));
    }

    /**
     * Cancels the running attempt because the deadline of the request has passed.
     *
     * @return {@code true} if an attempt was running; its outcome then completes the request
     */
    boolean cancelAtDeadline() {
        if (attemptRunning) {
            task.cancel(AttemptOutcome.Cause.TIMEOUT);
            return true;
        }
        return false;
    }

    /**
     * Cancels the running attempt because the caller disconnected.
     *
     * @return {@code true} if an attempt was running; its outcome then completes the request
     */
    boolean cancelOnDisconnect() {
        callerDisconnected = true;
        if (attemptRunning) {
            task.cancel(AttemptOutcome.Cause.CANCELLED);
            return true;
        }
        return false;
    }

    /**
     * Stops the loop and releases a reserved backend server. A running attempt continues, but its outcome is ignored.
     */
    void stop() {
        concluded = true;
        exclusiveReservation.release();
    }

    Execution execution() {
        return execution;
    }

    /**
     * Returns the tokens used since the last call and marks them as settled.
     *
     * @return the number of tokens
     */
    long collectUnsettledTokens() {
        long unsettled = task.usedTokens() - settledTokens;
        settledTokens = task.usedTokens();
        return Math.max(0, unsettled);
    }
}
