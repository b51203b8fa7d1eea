package org.borageproxy.control;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
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
 * command takes effect at most once. At most one attempt for a command is pending at each control VM, so a slow leader
 * never holds more copies of a command than one. While the leader does not answer, further attempts ask other control
 * VMs for the leader; one client makes them at most once in {@link #PROBE_INTERVAL}, however many commands wait. Thread
 * safe.
 */
public final class ControlClient {

    /** Maximum time for one attempt, beyond the time that its bytes may need. */
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(1000);

    /** Rate of a slow link: an attempt that ends earlier would send the command again from its start. */
    private static final int SLOW_BYTES_PER_MILLI = 100;

    /**
     * Time without an answer after which another control VM is asked, and minimum interval of such attempts of this
     * client. A quarter of the second for which operators wait: a leader that answers later than this is as good as
     * frozen for them, and its successor is found in time to use it.
     */
    static final Duration PROBE_INTERVAL = Duration.ofMillis(250);

    /** Interval of the checks whether a pending attempt went to a VM that is no longer presumed to lead. */
    static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

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

    private final LeaderView leaders;

    /** Submissions without an outcome. */
    private final Set<SubmissionAttempts> active = ConcurrentHashMap.newKeySet();

    /** Whether a check of the active submissions is scheduled. */
    private final AtomicBoolean isCheckScheduled = new AtomicBoolean();

    /** Number of probes of this client, which ask the control VMs in turn. */
    private final AtomicInteger probeCount = new AtomicInteger();

    /** Time from which the next probe is permitted. */
    private final AtomicReference<Deadline> nextProbeAt;

    /**
     * Creates a client on a VM outside the control group.
     *
     * @param self the name of this VM
     * @param network the network between VMs
     * @param controlVms supplies the control VMs
     * @param clock the monotonic clock
     * @param timer schedules attempts
     */
    public ControlClient(
            VmName self, VmNetwork network, Supplier<List<VmName>> controlVms, MonotonicClock clock, Timer timer) {
        this(self, network, controlVms, clock, timer, Optional::empty);
    }

    /**
     * Creates a client.
     *
     * @param self the name of this VM
     * @param network the network between VMs; must reach this VM too if it is a control VM
     * @param controlVms supplies the control VMs
     * @param clock the monotonic clock
     * @param timer schedules attempts
     * @param memberView supplies the leader that this VM's member of the control group follows, or this VM if it leads;
     *     empty if the member knows none or this VM has no member
     */
    public ControlClient(
            VmName self,
            VmNetwork network,
            Supplier<List<VmName>> controlVms,
            MonotonicClock clock,
            Timer timer,
            Supplier<Optional<VmName>> memberView) {
        this.self = self;
        this.network = network;
        this.controlVms = controlVms;
        this.clock = clock;
        this.timer = timer;
        this.leaders = new LeaderView(memberView);
        this.nextProbeAt = new AtomicReference<>(new Deadline(clock.nanoTime()));
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
     * Returns the time that a command may need on a slow link.
     *
     * @param bytes the size of the command
     * @return the time
     */
    public static Duration transferTime(int bytes) {
        return Duration.ofMillis(bytes / SLOW_BYTES_PER_MILLI);
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
        SubmissionAttempts attempts = new SubmissionAttempts(command, deadline, outcome);
        active.add(attempts);
        outcome.whenComplete((submission, failure) -> active.remove(attempts));
        attempts.startNext();
        scheduleCheck();
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

    /** Schedules a check of the active submissions, unless there are none or a check is scheduled. */
    private void scheduleCheck() {
        if (!active.isEmpty() && isCheckScheduled.compareAndSet(false, true)) {
            timer.schedule(CHECK_INTERVAL, () -> {
                isCheckScheduled.set(false);
                try {
                    active.forEach(SubmissionAttempts::review);
                } finally {
                    scheduleCheck();
                }
            });
        }
    }

    /** Returns whether a probe is permitted now; if so, the next one is permitted after the interval. */
    private boolean acquireProbe(long nowNanos) {
        Deadline permittedAt = nextProbeAt.get();
        return permittedAt.hasPassed(nowNanos)
                && nextProbeAt.compareAndSet(permittedAt, Deadline.after(nowNanos, PROBE_INTERVAL));
    }

    /** What a pending attempt is for. */
    private enum Purpose {
        /** Its result decides on the next attempt. A submission has at most one such attempt. */
        AWAITED,
        /** Asks another VM for the leader while the awaited attempt is unanswered. */
        PROBE,
        /** Went to a VM that is no longer presumed to lead; a late reply is still the outcome. */
        ABANDONED
    }

    /**
     * Attempts to submit one command. Fields are guarded by the monitor of the object; requests are sent, and the
     * outcome is completed, without it. Thread safe.
     */
    private final class SubmissionAttempts {

        private final Command command;

        private final Deadline deadline;

        private final CompletableFuture<Submission> outcome;

        /** Pending attempts by the VM that was asked. */
        private final Map<VmName, Purpose> pending = new HashMap<>();

        private int count;

        /** Whether an attempt has ended without a refusal, so the command may be applied. */
        private boolean mayBeApplied;

        private boolean isRetryScheduled;

        /** Time from which the awaited attempt is overdue. */
        private Deadline overdueAt;

        /** Presumption when the awaited attempt began, which may be older than what the member knows. */
        private Optional<VmName> presumedBefore = Optional.empty();

        /** VM whose awaited attempt ended last without a reply. */
        private Optional<VmName> avoided = Optional.empty();

        /** Time until which other VMs are preferred to the avoided one. */
        private Deadline avoidedUntil;

        private SubmissionAttempts(Command command, Deadline deadline, CompletableFuture<Submission> outcome) {
            this.command = command;
            this.deadline = deadline;
            this.outcome = outcome;
            this.overdueAt = deadline;
            this.avoidedUntil = deadline;
        }

        /**
         * Sends the command to the presumed leader or to the next control VM, or completes the outcome if the deadline
         * has passed or no control VM is known. Has no effect while an attempt is awaited.
         */
        private void startNext() {
            Optional<VmName> target = Optional.empty();
            Optional<Submission> end = Optional.empty();
            synchronized (this) {
                isRetryScheduled = false;
                if (outcome.isDone() || pending.containsValue(Purpose.AWAITED)) {
                    return;
                }
                long nowNanos = clock.nanoTime();
                List<VmName> candidates = controlVms.get();
                if (deadline.hasPassed(nowNanos) || candidates.isEmpty()) {
                    boolean isUncertain = mayBeApplied || !pending.isEmpty();
                    end = Optional.of(isUncertain ? new Submission.Unknown() : new Submission.NotLeader());
                } else {
                    target = awaitPendingLeader(nowNanos) ? Optional.empty() : select(candidates, nowNanos);
                    target.ifPresent(vm -> begin(vm, Purpose.AWAITED, nowNanos));
                }
            }
            end.ifPresent(outcome::complete);
            target.ifPresent(this::send);
        }

        /**
         * Awaits a pending attempt at the presumed leader again, instead of asking others meanwhile, if it was
         * abandoned for a VM that turned out not to lead.
         *
         * @return {@code false} if no attempt is pending there
         */
        private boolean awaitPendingLeader(long nowNanos) {
            Optional<VmName> leader =
                    leaders.memberLeader().or(leaders::presumed).filter(pending::containsKey);
            leader.ifPresent(vm -> markAwaited(vm, nowNanos));
            return leader.isPresent();
        }

        /**
         * Abandons an awaited attempt if this VM's member follows another leader. If the attempt is overdue, asks the
         * leader that another submission of this client has found since, or else any other control VM as a probe.
         */
        private void review() {
            Optional<VmName> target;
            synchronized (this) {
                if (outcome.isDone() || !pending.containsValue(Purpose.AWAITED)) {
                    return;
                }
                long nowNanos = clock.nanoTime();
                boolean isOverdue = overdueAt.hasPassed(nowNanos);
                target = leaders.memberLeader()
                        .filter(vm -> isEligible(vm, nowNanos))
                        .or(() -> leaders.presumed()
                                .filter(vm -> isOverdue && isEligible(vm, nowNanos))
                                .filter(vm -> !presumedBefore.equals(Optional.of(vm))));
                if (target.isPresent()) {
                    abandonAwaited();
                    begin(target.get(), Purpose.AWAITED, nowNanos);
                } else if (isOverdue) {
                    target = selectProbed(nowNanos);
                    target.ifPresent(vm -> begin(vm, Purpose.PROBE, nowNanos));
                }
            }
            target.ifPresent(this::send);
        }

        /**
         * Returns the VM to ask next, without those at which an attempt is pending: the leader that this VM's member
         * follows, else the presumed one, else the next control VM. The avoided VM comes after all others.
         */
        private Optional<VmName> select(List<VmName> candidates, long nowNanos) {
            int start = Math.floorMod(self.hashCode() + count, candidates.size());
            List<VmName> preferred = new ArrayList<>();
            leaders.memberLeader().ifPresent(preferred::add);
            leaders.presumed().ifPresent(preferred::add);
            preferred.addAll(candidates.subList(start, candidates.size()));
            preferred.addAll(candidates.subList(0, start));
            return preferred.stream()
                    .filter(vm -> isEligible(vm, nowNanos))
                    .findFirst()
                    .or(() -> avoided.filter(vm -> !pending.containsKey(vm)));
        }

        /** Returns the VM to probe, if a probe is permitted: the other control VMs in turn. */
        private Optional<VmName> selectProbed(long nowNanos) {
            List<VmName> others = controlVms.get().stream()
                    .filter(vm -> !vm.equals(self) && isEligible(vm, nowNanos))
                    .toList();
            if (others.isEmpty() || !acquireProbe(nowNanos)) {
                return Optional.empty();
            }
            return Optional.of(others.get(Math.floorMod(probeCount.getAndIncrement(), others.size())));
        }

        private boolean isEligible(VmName vm, long nowNanos) {
            boolean isAvoided = avoided.equals(Optional.of(vm)) && !avoidedUntil.hasPassed(nowNanos);
            return !isAvoided && !pending.containsKey(vm);
        }

        private void abandonAwaited() {
            pending.replaceAll((vm, purpose) -> purpose == Purpose.AWAITED ? Purpose.ABANDONED : purpose);
        }

        private void begin(VmName target, Purpose purpose, long nowNanos) {
            pending.put(target, purpose);
            count++;
            if (purpose == Purpose.AWAITED) {
                markAwaited(target, nowNanos);
            }
        }

        private void markAwaited(VmName target, long nowNanos) {
            pending.put(target, Purpose.AWAITED);
            overdueAt = Deadline.after(nowNanos, PROBE_INTERVAL);
            presumedBefore = leaders.presumed();
        }

        private void send(VmName target) {
            long nowNanos = clock.nanoTime();
            Duration timeout = ATTEMPT_TIMEOUT.plus(transferTime(command.getSerializedSize()));
            Deadline attemptDeadline = deadline.earlierOf(Deadline.after(nowNanos, timeout));
            ByteString request = CommandRequest.newBuilder()
                    .setCommand(command)
                    .setRemainingMillis(attemptDeadline.remainingMillis(nowNanos))
                    .build()
                    .toByteString();
            network.request(target, MessageKind.CONTROL_COMMAND, request, attemptDeadline)
                    .whenComplete((body, failure) -> handleResult(target, body, failure));
        }

        private void handleResult(VmName target, ByteString body, Throwable failure) {
            CommandAnswer answer = failure == null ? decode(body) : CommandAnswer.getDefaultInstance();
            if (answer.hasReply()) {
                synchronized (this) {
                    if (pending.remove(target) != Purpose.ABANDONED) {
                        leaders.recordReply(target);
                    }
                }
                outcome.complete(new Submission.Replied(answer.getReply()));
                return;
            }
            boolean isRefused = answer.getOutcomeCase() == CommandAnswer.OutcomeCase.NOT_LEADER;
            String named = isRefused ? answer.getNotLeader() : "";
            boolean isHinted = !named.isEmpty() && !named.equals(target.value());
            handleFailedAttempt(target, isRefused, isHinted ? Optional.of(new VmName(named)) : Optional.empty());
        }

        /**
         * Handles an attempt without a reply. If the first attempt is refused with the name of a leader, the retry has
         * no delay. A leader that is named in the refusal of a probe is asked at once, unless it has been asked.
         */
        private void handleFailedAttempt(VmName target, boolean isRefused, Optional<VmName> hint) {
            Optional<VmName> redirect = Optional.empty();
            Optional<Duration> retryDelay = Optional.empty();
            synchronized (this) {
                Purpose purpose = pending.remove(target);
                long nowNanos = clock.nanoTime();
                mayBeApplied |= !isRefused;
                if (purpose != Purpose.ABANDONED) {
                    leaders.recordNoReply(target, hint);
                }
                if (purpose == Purpose.AWAITED) {
                    avoided = Optional.of(target);
                    avoidedUntil = Deadline.after(nowNanos, Duration.ofMillis(MAX_RETRY_DELAY_MILLIS));
                }
                boolean isAwaiting = pending.containsValue(Purpose.AWAITED);
                if (purpose == Purpose.PROBE && isAwaiting) {
                    redirect = hint.filter(vm -> !pending.containsKey(vm));
                    redirect.ifPresent(vm -> {
                        abandonAwaited();
                        begin(vm, Purpose.AWAITED, nowNanos);
                    });
                } else if (!isAwaiting && !isRetryScheduled) {
                    isRetryScheduled = true;
                    int delayMillis =
                            ThreadLocalRandom.current().nextInt(MIN_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS);
                    retryDelay = Optional.of(Duration.ofMillis(hint.isPresent() && count == 1 ? 0 : delayMillis));
                }
            }
            redirect.ifPresent(this::send);
            retryDelay.ifPresent(delay -> timer.schedule(delay, this::startNext));
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
