package org.borageproxy.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import org.borageproxy.control.Timer;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks control VMs for the state, in rounds. A round begins with one request, to the control VM that is watched; while
 * it is unanswered, more and more others are asked too, and it ends with the first useful answer. An answer that comes
 * later is used all the same. At most one request is unanswered at each control VM, until it is overdue. Thread safe;
 * the conversation is called without a lock.
 */
final class StateRequests {

    private static final Logger LOGGER = LoggerFactory.getLogger(StateRequests.class);

    /** Time for an answer, beyond the wait that it may have, after which others are asked too. */
    private static final Duration PATIENCE = Duration.ofMillis(200);

    /** Time for an answer after which a control VM counts as failed and may be asked again. */
    private static final Duration OVERDUE_TIME = Duration.ofMillis(1000);

    /** Time for which an answer is awaited at all. */
    private static final Duration LIFETIME = Duration.ofSeconds(15);

    /** Maximum number of control VMs that are asked at once. */
    private static final int MAXIMUM_FAN_OUT = 8;

    /** Delay after a failure, or while no control VM can be asked. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(50);

    /** Delay between two rounds, so that a burst of changes arrives in one answer. */
    private static final Duration ROUND_DELAY = Duration.ofMillis(10);

    private final VmNetwork network;
    private final Supplier<List<VmName>> controlVms;
    private final ControlVmOrder order;
    private final MonotonicClock clock;
    private final Timer timer;
    private final WatchJournal journal;
    private final Conversation conversation;

    /** Requests that are neither answered nor overdue, by control VM; guarded by this, as the fields below. */
    private final Map<VmName, Request> pending = new HashMap<>();

    private long round;

    /** Number of the task that continues the round; those scheduled before it do nothing. */
    private long continuation;

    private int fanOut;
    private boolean isRunning;

    /** What is asked, and what becomes of the answers. */
    interface Conversation {

        /**
         * Returns what to ask now.
         *
         * @param mayWait whether the answer may wait for a change
         * @return the question
         */
        Question question(boolean mayWait);

        /**
         * Takes an answer.
         *
         * @param source the control VM
         * @param question what it was asked
         * @param sentAtNanos the time of the request
         * @param answer the encoded answer
         * @return what the answer was worth
         */
        Worth receive(VmName source, Question question, long sentAtNanos, ByteString answer);

        /**
         * Is told that a request has been answered or is overdue.
         *
         * @param sentAtNanos the time of the request
         */
        void onSettled(long sentAtNanos);
    }

    /**
     * A question to a control VM.
     *
     * @param body the encoded request
     * @param version the version after which changes are asked for
     * @param answerAt the time until which the answer may wait for a change
     */
    record Question(ByteString body, long version, Deadline answerAt) {}

    /** Worth of an answer. */
    enum Worth {
        /** It was confirmed as current and ends the round. */
        CURRENT,
        /** It was confirmed and there is more to ask for at once. */
        INCOMPLETE,
        /** It brought nothing. */
        NONE
    }

    private record Request(long round, VmName target, Question question, long sentAtNanos) {

        boolean isOverdue(long nowNanos) {
            return Deadline.after(question.answerAt().atNanos(), OVERDUE_TIME).hasPassed(nowNanos);
        }
    }

    StateRequests(
            VmNetwork network,
            Supplier<List<VmName>> controlVms,
            ControlVmOrder order,
            MonotonicClock clock,
            Timer timer,
            WatchJournal journal,
            Conversation conversation) {
        this.network = network;
        this.controlVms = controlVms;
        this.order = order;
        this.clock = clock;
        this.timer = timer;
        this.journal = journal;
        this.conversation = conversation;
    }

    /** Begins the first round. Has no effect while running. */
    synchronized void start() {
        if (!isRunning) {
            isRunning = true;
            scheduleRound(Duration.ZERO);
        }
    }

    /** Sends no further requests. */
    synchronized void stop() {
        isRunning = false;
    }

    private synchronized void scheduleRound(Duration delay) {
        round++;
        fanOut = 1;
        scheduleContinuation(delay);
    }

    private synchronized void scheduleContinuation(Duration delay) {
        long scheduled = ++continuation;
        timer.schedule(delay, () -> continueRound(scheduled));
    }

    /** Sends the next requests of the round; whatever fails, the round goes on. */
    private void continueRound(long scheduled) {
        Duration delay = RETRY_DELAY;
        try {
            delay = ask(scheduled);
        } catch (RuntimeException | Error exception) {
            LOGGER.error("event=state-request-failed", exception);
        }
        synchronized (this) {
            if (isRunning && scheduled == continuation) {
                scheduleContinuation(delay);
            }
        }
    }

    /** Asks the control VMs that are due, and returns the time after which others are. */
    private Duration ask(long scheduled) {
        settleOverdue();
        List<VmName> candidates = controlVms.get();
        List<VmName> targets;
        boolean isFirst;
        synchronized (this) {
            if (!isRunning || scheduled != continuation) {
                return RETRY_DELAY;
            }
            isFirst = fanOut == 1;
            targets = order.sort(candidates).stream()
                    .filter(vm -> !pending.containsKey(vm) && order.mayAsk(vm))
                    .limit(fanOut)
                    .toList();
            if (!targets.isEmpty()) {
                fanOut = Math.min(MAXIMUM_FAN_OUT, fanOut * 2);
            }
        }
        Question question = conversation.question(isFirst);
        targets.forEach(target -> send(target, question));
        if (targets.isEmpty()) {
            return RETRY_DELAY;
        }
        return Duration.ofNanos(question.answerAt().remainingNanos(clock.nanoTime()))
                .plus(PATIENCE);
    }

    private void send(VmName target, Question question) {
        Request request;
        synchronized (this) {
            request = new Request(round, target, question, clock.nanoTime());
            pending.put(target, request);
        }
        journal.recordRequest();
        Deadline deadline = Deadline.after(question.answerAt().atNanos(), LIFETIME);
        network.request(target, MessageKind.STATE_WATCH, question.body(), deadline)
                .whenComplete(
                        (answer, failure) -> timer.schedule(Duration.ZERO, () -> receive(request, answer, failure)));
    }

    /** Settles the requests that are overdue; their answers are used when they come. */
    private void settleOverdue() {
        List<Request> overdue = new ArrayList<>();
        synchronized (this) {
            long nowNanos = clock.nanoTime();
            for (Iterator<Request> requests = pending.values().iterator(); requests.hasNext(); ) {
                Request request = requests.next();
                if (request.isOverdue(nowNanos)) {
                    requests.remove();
                    overdue.add(request);
                }
            }
        }
        for (Request request : overdue) {
            order.recordFailure(request.target());
            journal.recordFailure(request.target(), WatchJournal.Failure.TIMEOUT, request.sentAtNanos());
            conversation.onSettled(request.sentAtNanos());
        }
    }

    private void receive(Request request, ByteString answer, Throwable failure) {
        boolean isPending;
        synchronized (this) {
            isPending = pending.remove(request.target(), request);
        }
        if (failure != null && !isPending) {
            return;
        }
        Worth worth = Worth.NONE;
        try {
            if (failure == null) {
                worth = conversation.receive(request.target(), request.question(), request.sentAtNanos(), answer);
            } else {
                journal.recordFailure(request.target(), WatchJournal.Failure.UNREACHABLE, request.sentAtNanos());
            }
        } catch (RuntimeException | Error exception) {
            LOGGER.error("event=state-answer-failed bytes={}", answer.size(), exception);
        }
        if (worth == Worth.NONE) {
            order.recordFailure(request.target());
        } else {
            order.recordAnswer(request.target());
        }
        conversation.onSettled(request.sentAtNanos());
        continueAfter(request, worth);
    }

    /** Ends the round after a useful answer, or asks others soon if no request of the round is pending. */
    private synchronized void continueAfter(Request request, Worth worth) {
        if (!isRunning || request.round() != round) {
            return;
        }
        if (worth != Worth.NONE) {
            scheduleRound(worth == Worth.CURRENT ? ROUND_DELAY : Duration.ZERO);
        } else if (pending.values().stream().noneMatch(other -> other.round() == round)) {
            scheduleContinuation(RETRY_DELAY);
        }
    }
}
