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
 * Runs the attempts of one admitted request: chooses a replica, runs the attempt, and follows the retry policy. A
 * request that was running when a backend server ended runs alone from then on, and is given up after the second time.
 * Confined to the request's event loop.
 */
final class AttemptLoop {

    /** Milliseconds between looks for a replica. */
    private static final long POLL_MILLIS = 20;
    /** The largest delay before the first retry, in milliseconds; it doubles with each further one. */
    private static final long FIRST_JITTER_MILLIS = 10;
    /** The largest number of renewals of a claim. */
    private static final int MAXIMUM_RENEWALS = 2;
    /** What the execution needs of its surroundings. */
    private final ExecutionDependencies services;
    /** The request. */
    private final ExecutionRequest request;
    /** What backend servers do for the request. */
    private final BackendTask work;
    /** What the request holds. */
    private final RequestResources admission;
    /** Takes the conclusion. */
    private final Consumer<RequestOutcome> conclude;
    /** Reserves the tokens of a further attempt. */
    private final Consumer<Consumer<Boolean>> reserveAgain;
    /** Claims the request anew and goes on. */
    private final Runnable renewClaim;
    /** The backend servers that failed the request. */
    private final Map<BackendServerName, AvailabilityZone> tried = new HashMap<>();
    /** What is known of the execution over all attempts. */
    private Execution execution = Execution.NOT_RUN;
    /** The attempts so far. */
    private int attempts;
    /** The tokens that were paid. */
    private long paidTokens;
    /** Finds out whether backend servers ended during the request. */
    private final CrashTracker crashes;
    /** Waits for a backend server that runs nothing else. */
    private final ExclusiveReservation exclusiveWait;
    /** When waiting for a place on a full backend server ends, or {@code null} while none was full. */
    private Deadline placeBefore;
    /** The attempts that full backend servers refused. */
    private int waits;
    /** How often the claim was renewed. */
    private int renewals;
    /** Whether an attempt is under way. */
    private boolean running;
    /** Whether the caller went away. */
    private boolean callerGone;
    /** Whether the request was concluded. */
    private boolean stopped;
    /** When waiting for a replica ends, or {@code null} while none is missing. */
    private Deadline replicaBefore;
    /** Why the last attempt failed, or {@code null}. */
    private ResultCode lastFailure;

    /**
     * Creates a loop.
     *
     * @param services what the execution needs of its surroundings
     * @param request the request
     * @param work what backend servers do for the request
     * @param admission what the request holds
     * @param conclude takes the conclusion
     * @param reserveAgain reserves the tokens of a further attempt
     * @param renewClaim claims the request anew and goes on
     */
    AttemptLoop(
            ExecutionDependencies services,
            ExecutionRequest request,
            BackendTask work,
            RequestResources admission,
            Consumer<RequestOutcome> conclude,
            Consumer<Consumer<Boolean>> reserveAgain,
            Runnable renewClaim) {
        this.services = services;
        this.request = request;
        this.work = work;
        this.admission = admission;
        this.conclude = conclude;
        this.reserveAgain = reserveAgain;
        this.renewClaim = renewClaim;
        this.crashes = new CrashTracker(services, request);
        this.exclusiveWait = new ExclusiveReservation(services.table());
    }

    /** Looks for a replica and runs the next attempt on it. */
    void startNextAttempt() {
        if (stopped) {
            return;
        }
        Optional<ResultCode> refusal = admission.dispatchRefusal();
        if (refusal.isPresent()) {
            refused(refusal.get());
            return;
        }
        if (crashes.isQuarantined()) {
            fail(ResultCode.REQUEST_QUARANTINED);
            return;
        }
        boolean exclusive = crashes.mustRunAlone();
        List<BackendServer> servers = services.servers().current();
        long now = services.clock().nanoTime();
        Selection selection = ReplicaSelector.INSTANCE.select(
                work.query(servers, tried, exclusive),
                servers,
                services.table()::usage,
                now,
                ThreadLocalRandom.current());
        if (selection instanceof Selection.Chosen chosen
                && services.table().acquire(chosen.server().name(), exclusive, now)) {
            run(chosen.server(), exclusive);
        } else if (exclusive && selection instanceof Selection.Busy) {
            Optional<BackendServer> idle = exclusiveWait.poll(work.query(servers, tried, true), servers, now);
            idle.ifPresentOrElse(server -> run(server, true), () -> waitForReplica(selection, servers, now));
        } else {
            waitForReplica(selection, servers, now);
        }
    }

    /**
     * Ends the request that may not be dispatched, or renews a claim whose right to dispatch has passed unused.
     *
     * @param code why it may not be dispatched
     */
    private void refused(ResultCode code) {
        boolean lapsed = code == ResultCode.CLAIM_UNAVAILABLE && !admission.isDispatched();
        if (lapsed && renewals < MAXIMUM_RENEWALS) {
            renewals++;
            renewClaim.run();
        } else {
            fail(code);
        }
    }

    /**
     * Waits for a replica, or gives the request up if none was known for too long.
     *
     * @param selection why there is none
     * @param servers all backend servers
     * @param now the reading of the monotonic clock in nanoseconds
     */
    private void waitForReplica(Selection selection, List<BackendServer> servers, long now) {
        if (!(selection instanceof Selection.Missing)) {
            replicaBefore = null;
        } else if (replicaBefore == null) {
            replicaBefore = Deadline.after(now, services.settings().replicaTimeout());
        } else if (replicaBefore.hasPassed(now)) {
            fail(work.noReplicaCode(servers));
            return;
        }
        services.vertx().setTimer(POLL_MILLIS, timer -> startNextAttempt());
    }

    /**
     * Runs an attempt.
     *
     * @param server the backend server
     * @param exclusive whether the attempt runs alone
     */
    private void run(BackendServer server, boolean exclusive) {
        attempts++;
        running = true;
        replicaBefore = null;
        exclusiveWait.onAttemptStarted(server.name());
        long startedNanos = services.clock().nanoTime();
        work.attempt(server, attempts, admission).onComplete(result -> {
            running = false;
            double millis = (services.clock().nanoTime() - startedNanos) / 1e6;
            AttemptOutcome outcome = result.result();
            services.table().release(server.name(), exclusive, observation(outcome, millis));
            ended(server, exclusive, outcome);
        });
    }

    /**
     * Returns what an outcome shows of its backend server.
     *
     * @param outcome the outcome
     * @param millis the time it took, in milliseconds
     * @return the change of the circuit
     */
    private UnaryOperator<CircuitBreaker> observation(AttemptOutcome outcome, double millis) {
        long now = services.clock().nanoTime();
        if (outcome instanceof AttemptOutcome.Answered) {
            double partMillis = millis / work.receivedUnits();
            return circuit -> circuit.afterSuccess(partMillis);
        }
        boolean unreachable =
                outcome instanceof AttemptOutcome.NotRun refused && refused.code() == ResultCode.NO_REPLICA;
        boolean failed =
                outcome instanceof AttemptOutcome.MayHaveRun lost && lost.cause() != AttemptOutcome.Cause.CANCELLED;
        return unreachable || failed ? circuit -> circuit.afterFailure(now) : CircuitBreaker::afterInconclusiveProbe;
    }

    /**
     * Takes the outcome of an attempt.
     *
     * @param server the backend server
     * @param exclusive whether the attempt ran alone
     * @param outcome the outcome
     */
    private void ended(BackendServer server, boolean exclusive, AttemptOutcome outcome) {
        if (outcome.execution() == Execution.MAY_HAVE_RUN) {
            execution = Execution.MAY_HAVE_RUN;
        }
        if (outcome instanceof AttemptOutcome.Answered) {
            execution = Execution.ANSWERED;
            crashes.onAnswered();
        } else {
            tried.put(server.name(), server.zone());
            record(server, outcome);
        }
        if (outcome instanceof AttemptOutcome.MayHaveRun lost && lost.cause() == AttemptOutcome.Cause.CUT) {
            crashes.onConnectionLost(server, exclusive).onComplete(known -> decide(outcome));
        } else {
            decide(outcome);
        }
    }

    /**
     * Records a failed attempt on the time line.
     *
     * @param server the backend server
     * @param outcome the outcome
     */
    private void record(BackendServer server, AttemptOutcome outcome) {
        services.events()
                .record(Event.named("attempt-failed")
                        .with("request", request.identity())
                        .with("server", server.name())
                        .with("attempt", attempts)
                        .with("outcome", outcome.execution().headerValue()));
    }

    /**
     * Follows the retry policy.
     *
     * @param outcome the outcome of the last attempt
     */
    private void decide(AttemptOutcome outcome) {
        if (stopped) {
            return;
        }
        boolean waiting = waitsForPlace(outcome);
        lastFailure = code(outcome);
        RetryDecision decision = decision(outcome, mayTryAgain(outcome, waiting));
        boolean again = decision == RetryDecision.RETRY || decision == RetryDecision.RESUME;
        if (again && !waiting && !services.budget().tryWithdraw()) {
            lastFailure = outcome.execution() == Execution.NOT_RUN ? ResultCode.RETRY_BUDGET_SPENT : lastFailure;
            decision = decision(outcome, false);
        }
        switch (decision) {
            case DELIVER -> conclude.accept(RequestOutcome.Answered.INSTANCE);
            case RETRY, RESUME -> retry();
            default -> fail(lastFailure);
        }
    }

    /**
     * Tells whether the request goes on waiting for a place because a backend server was full. Such a server did no
     * work, so that coming back is no retry; the time for it is bounded.
     *
     * @param outcome the outcome of the last attempt
     * @return {@code true} if the request waits
     */
    private boolean waitsForPlace(AttemptOutcome outcome) {
        if (!isFull(outcome)) {
            return false;
        }
        long now = services.clock().nanoTime();
        if (placeBefore == null) {
            placeBefore = Deadline.after(now, services.settings().replicaTimeout());
        }
        waits++;
        return !placeBefore.hasPassed(now);
    }

    /**
     * Tells whether the limits of one request allow another attempt.
     *
     * @param outcome the outcome of the last attempt
     * @param waiting whether the request waits for a place
     * @return {@code true} if they do
     */
    private boolean mayTryAgain(AttemptOutcome outcome, boolean waiting) {
        boolean permanent =
                outcome instanceof AttemptOutcome.NotRun refused && refused.scope() == AttemptOutcome.Scope.REQUEST;
        boolean attemptsLeft = attempts - waits < services.settings().maximumAttempts();
        return !permanent
                && !callerGone
                && !crashes.hasReachedLossLimit()
                && (waiting || (attemptsLeft && !isFull(outcome)));
    }

    /**
     * Tells whether a backend server was full.
     *
     * @param outcome the outcome of the last attempt
     * @return {@code true} if it was
     */
    private static boolean isFull(AttemptOutcome outcome) {
        return outcome instanceof AttemptOutcome.NotRun refused && refused.code() == ResultCode.OVERLOADED;
    }

    /**
     * Asks the retry policy.
     *
     * @param outcome the outcome of the last attempt
     * @param budgetLeft whether another attempt is allowed
     * @return the decision
     */
    private RetryDecision decision(AttemptOutcome outcome, boolean budgetLeft) {
        boolean timeLeft = !request.deadline().hasPassed(services.clock().nanoTime());
        return RetryPolicy.INSTANCE.decide(new RetryPolicy.Situation(
                outcome.execution(), request.repeatable(), work.sent(), timeLeft, budgetLeft));
    }

    /**
     * Returns the code of an outcome.
     *
     * @param outcome the outcome
     * @return the code
     */
    private static ResultCode code(AttemptOutcome outcome) {
        if (outcome instanceof AttemptOutcome.NotRun refused) {
            return refused.code();
        }
        return outcome instanceof AttemptOutcome.MayHaveRun lost ? lost.code() : ResultCode.OK;
    }

    /** Runs the next attempt after a random delay, once its tokens are reserved. */
    private void retry() {
        long bound =
                FIRST_JITTER_MILLIS << Math.min(attempts, services.settings().maximumAttempts());
        long delay = 1 + ThreadLocalRandom.current().nextLong(bound);
        services.vertx().setTimer(delay, timer -> {
            if (stopped) {
                return;
            }
            if (execution == Execution.NOT_RUN) {
                startNextAttempt();
            } else {
                reserveAgain.accept(granted -> afterReservation(granted));
            }
        });
    }

    /**
     * Goes on once the tokens of a further attempt are decided upon.
     *
     * @param granted whether they are reserved
     */
    private void afterReservation(boolean granted) {
        if (granted) {
            startNextAttempt();
        } else {
            fail(lastFailure);
        }
    }

    /**
     * Concludes without a whole answer.
     *
     * @param code why
     */
    void fail(ResultCode code) {
        if (stopped) {
            return;
        }
        boolean comeBack = code != ResultCode.REQUEST_QUARANTINED
                && code != ResultCode.KEY_REFUSED
                && (execution == Execution.NOT_RUN || request.repeatable());
        boolean quarantined = crashes.isQuarantined();
        Optional<Deadline> retryAt =
                comeBack && !quarantined ? Optional.of(admission.defaultRetryAt()) : Optional.empty();
        ResultCode reason = execution == Execution.MAY_HAVE_RUN && lastFailure != null ? lastFailure : code;
        ResultCode told = quarantined ? ResultCode.REQUEST_QUARANTINED : reason;
        Execution known = quarantined ? Execution.MAY_HAVE_RUN : execution;
        conclude.accept(new RequestOutcome.Failure(told, known, retryAt, work.sent() != SentOutput.NONE));
    }

    /**
     * Cancels the attempt under way because the deadline passed.
     *
     * @return {@code true} if an attempt was under way, whose outcome concludes the request
     */
    boolean cancelAtDeadline() {
        if (running) {
            work.cancel(AttemptOutcome.Cause.TIMEOUT);
            return true;
        }
        return false;
    }

    /**
     * Cancels the attempt under way because the caller went away.
     *
     * @return {@code true} if an attempt was under way, whose outcome concludes the request
     */
    boolean cancelOnDisconnect() {
        callerGone = true;
        if (running) {
            work.cancel(AttemptOutcome.Cause.CANCELLED);
            return true;
        }
        return false;
    }

    /** Ends the loop. */
    void stop() {
        stopped = true;
        exclusiveWait.release();
    }

    /**
     * Returns what is known of the execution over all attempts.
     *
     * @return the execution
     */
    Execution execution() {
        return execution;
    }

    /**
     * Returns the tokens that were used since the last call and marks them as paid.
     *
     * @return the tokens
     */
    long collectUnsettledTokens() {
        long unpaid = work.usedTokens() - paidTokens;
        paidTokens = work.usedTokens();
        return Math.max(0, unpaid);
    }
}
