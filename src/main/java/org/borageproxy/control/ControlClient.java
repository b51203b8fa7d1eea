package org.borageproxy.control;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.CommandAnswer;
import org.borageproxy.wire.proto.ControlProtocol.CommandRequest;
import org.borageproxy.wire.proto.ControlProtocol.Reply;

/**
 * Submits commands to the control group from any VM. Each attempt of one command carries the same identity, so that the
 * command takes effect once. Safe for use by any thread.
 */
public final class ControlClient {

    /** The longest time that one attempt may take. */
    private static final Duration ATTEMPT = Duration.ofMillis(1000);

    /** The shortest pause between attempts, in milliseconds. */
    private static final int LEAST_PAUSE_MILLIS = 25;

    /** The longest pause between attempts, in milliseconds. */
    private static final int GREATEST_PAUSE_MILLIS = 100;

    /** The number of random bytes that identify this client. */
    private static final int SESSION_BYTES = 12;

    /** The name of this VM. */
    private final VmName self;

    /** The network between VMs. */
    private final VmNetwork network;

    /** Returns the control VMs. */
    private final Supplier<List<VmName>> controlVms;

    /** The clock. */
    private final MonotonicClock clock;

    /** Runs attempts later. */
    private final Timer timer;

    /** Identifies this client among all starts of all VMs. */
    private final String session;

    /** The number of commands so far. */
    private final AtomicLong commands = new AtomicLong();

    /** The control VM to ask first, or {@code null}. */
    private volatile VmName leader;

    /**
     * Creates a client.
     *
     * @param self the name of this VM
     * @param network the network between VMs, which reaches this VM too if it is a control VM
     * @param controlVms returns the control VMs
     * @param clock the clock
     * @param timer runs attempts later
     */
    public ControlClient(
            VmName self, VmNetwork network, Supplier<List<VmName>> controlVms, MonotonicClock clock, Timer timer) {
        this.self = self;
        this.network = network;
        this.controlVms = controlVms;
        this.clock = clock;
        this.timer = timer;
        byte[] random = new byte[SESSION_BYTES];
        new SecureRandom().nextBytes(random);
        this.session = HexFormat.of().formatHex(random);
    }

    /**
     * Returns the name of this VM.
     *
     * @return the name
     */
    public VmName self() {
        return self;
    }

    /**
     * Returns what identifies this client among all starts of all VMs.
     *
     * @return the session
     */
    public String session() {
        return session;
    }

    /**
     * Reads the clock.
     *
     * @return the reading in nanoseconds
     */
    public long nanoTime() {
        return clock.nanoTime();
    }

    /**
     * Returns the deadline that lies a duration from now.
     *
     * @param duration the duration
     * @return the deadline
     */
    public Deadline in(Duration duration) {
        return Deadline.after(clock.nanoTime(), duration);
    }

    /**
     * Submits a command under a new identity.
     *
     * @param body the command; its identity is ignored
     * @param deadline when to give up
     * @return the outcome; never fails
     */
    public CompletionStage<Submission> submit(Command.Builder body, Deadline deadline) {
        return resubmit(identified(body), deadline);
    }

    /**
     * Gives a command a new identity.
     *
     * @param body the command; its identity is ignored
     * @return the command
     */
    public Command identified(Command.Builder body) {
        return body.setIdentity(session + "/" + commands.incrementAndGet()).build();
    }

    /**
     * Submits a command under the identity that it has.
     *
     * @param command the command
     * @param deadline when to give up
     * @return the outcome; never fails
     */
    public CompletionStage<Submission> resubmit(Command command, Deadline deadline) {
        CompletableFuture<Submission> outcome = new CompletableFuture<>();
        new Attempts(command, deadline, outcome).next();
        return outcome;
    }

    /**
     * Submits a command under a new identity and expects a reply.
     *
     * @param body the command; its identity is ignored
     * @param deadline when to give up
     * @return the reply, or a failure with {@link ControlException}
     */
    public CompletionStage<Reply> expect(Command.Builder body, Deadline deadline) {
        return submit(body, deadline).thenApply(submission -> {
            if (submission instanceof Submission.Replied replied) {
                return replied.reply();
            }
            boolean isRefused = submission instanceof Submission.NotLeader;
            throw new ControlException(isRefused ? ResultCode.NOT_LEADER : ResultCode.OUTCOME_UNKNOWN);
        });
    }

    /** The attempts to submit one command; used by one thread at a time. */
    private final class Attempts {

        /** The command. */
        private final Command command;

        /** When to give up. */
        private final Deadline deadline;

        /** Gets the outcome. */
        private final CompletableFuture<Submission> outcome;

        /** The number of attempts so far. */
        private int count;

        /** Whether an attempt may have been applied. */
        private boolean mayBeApplied;

        /**
         * Creates attempts.
         *
         * @param command the command
         * @param deadline when to give up
         * @param outcome gets the outcome
         */
        private Attempts(Command command, Deadline deadline, CompletableFuture<Submission> outcome) {
            this.command = command;
            this.deadline = deadline;
            this.outcome = outcome;
        }

        /** Makes an attempt, or gives up. */
        private void next() {
            long nowNanos = clock.nanoTime();
            List<VmName> candidates = controlVms.get();
            if (deadline.hasPassed(nowNanos) || candidates.isEmpty()) {
                outcome.complete(mayBeApplied ? new Submission.Unknown() : new Submission.NotLeader());
                return;
            }
            VmName hinted = leader;
            int start = Math.floorMod(self.hashCode() + count, candidates.size());
            VmName target = hinted == null ? candidates.get(start) : hinted;
            count++;
            Deadline attempt = deadline.earlierOf(Deadline.after(nowNanos, ATTEMPT));
            ByteString request = CommandRequest.newBuilder()
                    .setCommand(command)
                    .setRemainingMillis(attempt.remainingMillis(nowNanos))
                    .build()
                    .toByteString();
            network.request(target, MessageKind.CONTROL_COMMAND, request, attempt)
                    .whenComplete((body, failure) -> ended(target, body, failure));
        }

        /**
         * Takes the end of an attempt.
         *
         * @param target the control VM that was asked
         * @param body the encoded answer, or {@code null}
         * @param failure why there is no answer, or {@code null}
         */
        private void ended(VmName target, ByteString body, Throwable failure) {
            CommandAnswer answer = failure == null ? decode(body) : CommandAnswer.getDefaultInstance();
            if (answer.hasReply()) {
                leader = target;
                outcome.complete(new Submission.Replied(answer.getReply()));
                return;
            }
            boolean isRefused = answer.getOutcomeCase() == CommandAnswer.OutcomeCase.NOT_LEADER;
            boolean isHinted = isRefused && !answer.getNotLeader().isEmpty();
            mayBeApplied |= !isRefused;
            leader = isHinted && !answer.getNotLeader().equals(target.value())
                    ? new VmName(answer.getNotLeader())
                    : null;
            int pause = ThreadLocalRandom.current().nextInt(LEAST_PAUSE_MILLIS, GREATEST_PAUSE_MILLIS);
            timer.schedule(Duration.ofMillis(isHinted && count == 1 ? 0 : pause), this::next);
        }

        /**
         * Decodes an answer.
         *
         * @param body the encoded answer
         * @return the answer, without an outcome if it is damaged
         */
        private static CommandAnswer decode(ByteString body) {
            try {
                return CommandAnswer.parseFrom(body);
            } catch (InvalidProtocolBufferException exception) {
                return CommandAnswer.getDefaultInstance();
            }
        }
    }
}
