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
 * Submits commands to the control group from any VM. All attempts to submit one command carry the same identity, so the
 * command takes effect at most once. Thread safe.
 */
public final class ControlClient {

    /** Maximum time for one attempt. */
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(1000);

    /** Minimum delay between attempts, in milliseconds. */
    private static final int MIN_RETRY_DELAY_MILLIS = 25;

    /** Upper bound of the delay between attempts, in milliseconds. */
    private static final int MAX_RETRY_DELAY_MILLIS = 100;

    /** Number of random bytes of a session. */
    private static final int SESSION_BYTES = 12;

    private final VmName self;
    private final VmNetwork network;
    private final Supplier<List<VmName>> controlVms;
    private final MonotonicClock clock;
    private final Timer timer;

    /** Identifies this client; unique among all VMs and restarts. */
    private final String session;

    /** Number of identities assigned to commands. */
    private final AtomicLong commandCount = new AtomicLong();

    /** Presumed leader, or {@code null} if unknown. */
    private volatile VmName leader;

    /**
     * Creates a client.
     *
     * @param self the name of this VM
     * @param network the network between VMs; must reach this VM too if it is a control VM
     * @param controlVms supplies the control VMs
     * @param clock the monotonic clock
     * @param timer schedules attempts
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
     * Returns the session of this client, which is unique among all VMs and restarts.
     *
     * @return the session
     */
    public String session() {
        return session;
    }

    /**
     * Reads the monotonic clock.
     *
     * @return the reading in nanoseconds
     */
    public long nanoTime() {
        return clock.nanoTime();
    }

    /**
     * Returns the deadline after a duration from now.
     *
     * @param duration the duration
     * @return the deadline
     */
    public Deadline deadlineAfter(Duration duration) {
        return Deadline.after(clock.nanoTime(), duration);
    }

    /**
     * Submits a command under a new identity and retries until the deadline.
     *
     * @param body the command; its identity is replaced
     * @param deadline the time after which no further attempt is made
     * @return the outcome; never fails
     */
    public CompletionStage<Submission> submit(Command.Builder body, Deadline deadline) {
        return resubmit(withNewIdentity(body), deadline);
    }

    /**
     * Assigns a new identity to a command.
     *
     * @param body the command; its identity is replaced
     * @return the command with its identity
     */
    public Command withNewIdentity(Command.Builder body) {
        return body.setIdentity(session + "/" + commandCount.incrementAndGet()).build();
    }

    /**
     * Submits a command under its present identity and retries until the deadline.
     *
     * @param command the command with its identity
     * @param deadline the time after which no further attempt is made
     * @return the outcome; never fails
     */
    public CompletionStage<Submission> resubmit(Command command, Deadline deadline) {
        CompletableFuture<Submission> outcome = new CompletableFuture<>();
        new SubmissionAttempts(command, deadline, outcome).startNext();
        return outcome;
    }

    /**
     * Submits a command under a new identity and requires a reply.
     *
     * @param body the command; its identity is replaced
     * @param deadline the time after which no further attempt is made
     * @return the reply; fails with {@link ControlException} if the command was refused or its outcome is unknown
     */
    public CompletionStage<Reply> submitForReply(Command.Builder body, Deadline deadline) {
        return submit(body, deadline).thenApply(submission -> {
            if (submission instanceof Submission.Replied replied) {
                return replied.reply();
            }
            boolean isRefused = submission instanceof Submission.NotLeader;
            throw new ControlException(isRefused ? ResultCode.NOT_LEADER : ResultCode.OUTCOME_UNKNOWN);
        });
    }

    /** Attempts to submit one command. Used by one thread at a time. */
    private final class SubmissionAttempts {

        private final Command command;

        private final Deadline deadline;

        private final CompletableFuture<Submission> outcome;

        private int count;

        /** Whether an attempt has ended without a refusal, so the command may be applied. */
        private boolean mayBeApplied;

        private SubmissionAttempts(Command command, Deadline deadline, CompletableFuture<Submission> outcome) {
            this.command = command;
            this.deadline = deadline;
            this.outcome = outcome;
        }

        /**
         * Sends the command to the presumed leader or to the next control VM, or completes the outcome if the deadline
         * has passed or no control VM is known.
         */
        private void startNext() {
            long nowNanos = clock.nanoTime();
            List<VmName> candidates = controlVms.get();
            if (deadline.hasPassed(nowNanos) || candidates.isEmpty()) {
                outcome.complete(mayBeApplied ? new Submission.Unknown() : new Submission.NotLeader());
                return;
            }
            VmName presumed = leader;
            int start = Math.floorMod(self.hashCode() + count, candidates.size());
            VmName target = presumed == null ? candidates.get(start) : presumed;
            count++;
            Deadline attemptDeadline = deadline.earlierOf(Deadline.after(nowNanos, ATTEMPT_TIMEOUT));
            ByteString request = CommandRequest.newBuilder()
                    .setCommand(command)
                    .setRemainingMillis(attemptDeadline.remainingMillis(nowNanos))
                    .build()
                    .toByteString();
            network.request(target, MessageKind.CONTROL_COMMAND, request, attemptDeadline)
                    .whenComplete((body, failure) -> handleResult(target, body, failure));
        }

        /**
         * Handles the result of an attempt. If the first attempt is refused with the name of a leader, the retry has no
         * delay.
         */
        private void handleResult(VmName target, ByteString body, Throwable failure) {
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
            int delayMillis = ThreadLocalRandom.current().nextInt(MIN_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS);
            timer.schedule(Duration.ofMillis(isHinted && count == 1 ? 0 : delayMillis), this::startNext);
        }

        /** Decodes an answer; a malformed answer becomes one without an outcome. */
        private static CommandAnswer decode(ByteString body) {
            try {
                return CommandAnswer.parseFrom(body);
            } catch (InvalidProtocolBufferException exception) {
                return CommandAnswer.getDefaultInstance();
            }
        }
    }
}
