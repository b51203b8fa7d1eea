package org.borageproxy.control;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import org.borageproxy.log.ChangeOutcome;
import org.borageproxy.log.GroupMember;
import org.borageproxy.log.MemberStatus;
import org.borageproxy.log.consensus.MemberChange;
import org.borageproxy.log.consensus.MemberId;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies periodically for this VM's membership of the control group, at all members, and admits applicants while this
 * VM is the leader. Thread safe: the policy is guarded by its own monitor, and at most one change is in progress.
 */
public final class AdmissionService {

    private static final Logger LOGGER = LoggerFactory.getLogger(AdmissionService.class);
    /** Interval of applications and of decisions on changes. */
    private static final Duration INTERVAL = Duration.ofMillis(500);
    /** Maximum time for a change; a learner may have to catch up first. */
    private static final Duration CHANGE_TIMEOUT = Duration.ofMillis(1500);
    /** Delay of the next decision after a committed change; the member publishes its new status meanwhile. */
    private static final Duration NEXT_CHANGE_DELAY = Duration.ofMillis(20);

    private final GroupMember member;
    private final AdmissionPolicy policy;
    private final VmNetwork network;
    private final Supplier<List<VmName>> controlVms;
    private final MonotonicClock clock;
    private final Timer timer;
    private final AtomicBoolean isChangeInProgress = new AtomicBoolean();
    private final List<Consumer<VmName>> removalListeners = new CopyOnWriteArrayList<>();
    private volatile boolean isRunning;

    /**
     * Creates a service.
     *
     * @param member this VM's member
     * @param policy decides on changes; not used by others
     * @param network the network to the other control VMs
     * @param controlVms supplies the other control VMs
     * @param clock the monotonic clock
     * @param timer schedules the periodic tasks
     */
    public AdmissionService(
            GroupMember member,
            AdmissionPolicy policy,
            VmNetwork network,
            Supplier<List<VmName>> controlVms,
            MonotonicClock clock,
            Timer timer) {
        this.member = member;
        this.policy = policy;
        this.network = network;
        this.controlVms = controlVms;
        this.clock = clock;
        this.timer = timer;
    }

    /**
     * Registers a listener that is called on the leader after it has removed the member of a VM that is gone.
     *
     * @param listener receives the name of the VM
     */
    public void onRemoved(Consumer<VmName> listener) {
        removalListeners.add(listener);
    }

    /** Starts applying for membership and admitting applicants. */
    public void start() {
        isRunning = true;
        network.registerHandler(MessageKind.ADMISSION, this::handleApplication);
        RepeatedTask.start("admission", timer, Duration.ZERO, INTERVAL, this::tick);
    }

    /** Stops applying and admitting applicants; a change in progress continues. */
    public void stop() {
        isRunning = false;
    }

    private CompletionStage<ByteString> handleApplication(VmName sender, ByteString body) {
        MemberId applicant = MemberId.parse(body.toStringUtf8());
        if (applicant.name().equals(sender)) {
            synchronized (policy) {
                policy.recordApplication(applicant, clock.nanoTime());
            }
        }
        return CompletableFuture.completedFuture(ByteString.EMPTY);
    }

    /** Returns whether the service still runs. */
    private boolean tick() {
        if (!isRunning) {
            return false;
        }
        ByteString application = ByteString.copyFromUtf8(member.status().self().toString());
        if (member.isRunning()) {
            recipients().forEach(recipient -> network.send(recipient, MessageKind.ADMISSION, application));
        }
        admit();
        return true;
    }

    /**
     * Returns the VMs that learn that this one is alive: all members, since any of them may lead next, or all control
     * VMs while this VM's member follows no leader.
     */
    private Set<VmName> recipients() {
        Set<VmName> recipients = new LinkedHashSet<>();
        member.status().members().all().forEach(other -> recipients.add(other.name()));
        member.leader().ifPresentOrElse(recipients::add, () -> recipients.addAll(controlVms.get()));
        return recipients;
    }

    /** Makes the next change if this VM is the leader. */
    private void admit() {
        MemberStatus status = member.status();
        Optional<MemberChange> next = Optional.empty();
        synchronized (policy) {
            policy.recordStatus(status, clock.nanoTime());
            if (isRunning && member.isLeader()) {
                next = policy.nextChange(status, clock.nanoTime());
            }
        }
        if (next.isEmpty() || !isChangeInProgress.compareAndSet(false, true)) {
            return;
        }
        MemberChange change = next.get();
        member.changeMembers(change, Deadline.after(clock.nanoTime(), CHANGE_TIMEOUT))
                .thenAccept(outcome -> {
                    isChangeInProgress.set(false);
                    logChange(change, status, outcome);
                    if (outcome instanceof ChangeOutcome.Committed) {
                        announceRemoval(change, status);
                        timer.schedule(NEXT_CHANGE_DELAY, this::admit);
                    }
                });
    }

    private void announceRemoval(MemberChange change, MemberStatus before) {
        boolean isVmGone;
        synchronized (policy) {
            isVmGone = policy.isVmGoneAfter(change, before.members());
        }
        if (isVmGone) {
            removalListeners.forEach(listener -> listener.accept(change.member().name()));
        }
    }

    private static void logChange(MemberChange change, MemberStatus status, ChangeOutcome outcome) {
        LOGGER.info(
                "event=members-change change={} member={} voters={} answering={} outcome={}",
                change.getClass().getSimpleName(),
                change.member(),
                status.members().voters().size(),
                status.responsiveMembers().size(),
                outcome);
    }
}
