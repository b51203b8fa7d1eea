package org.borageproxy.control;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
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
 * Applies for this VM's membership of the control group, and admits the applicants while this VM leads. Guarded by its
 * own lock.
 */
public final class AdmissionService {

    private static final Logger LOGGER = LoggerFactory.getLogger(AdmissionService.class);
    /** The time between two applications, and between two looks at the group. */
    private static final Duration INTERVAL = Duration.ofMillis(500);
    /** The time allowed to a change; a learner may have to catch up. */
    private static final Duration CHANGE_TIME = Duration.ofMillis(1500);

    private final GroupMember member;
    private final AdmissionPolicy policy;
    private final VmNetwork network;
    private final Supplier<List<VmName>> controlVms;
    private final MonotonicClock clock;
    private final Timer timer;
    private final AtomicBoolean isChanging = new AtomicBoolean();
    private volatile boolean isRunning;

    /**
     * Creates a service.
     *
     * @param member this VM's member
     * @param policy decides on changes
     * @param network reaches the other control VMs
     * @param controlVms the other control VMs
     * @param clock the clock
     * @param timer runs tasks later
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

    /** Begins to apply and to admit. */
    public void start() {
        isRunning = true;
        network.handle(MessageKind.ADMISSION, this::apply);
        timer.schedule(Duration.ZERO, this::tick);
    }

    /** Ends both. */
    public void stop() {
        isRunning = false;
    }

    private CompletionStage<ByteString> apply(VmName sender, ByteString body) {
        MemberId applicant = MemberId.parse(body.toStringUtf8());
        if (applicant.name().equals(sender)) {
            synchronized (policy) {
                policy.applied(applicant, clock.nanoTime());
            }
        }
        return CompletableFuture.completedFuture(ByteString.EMPTY);
    }

    private void tick() {
        if (!isRunning) {
            return;
        }
        ByteString application = ByteString.copyFromUtf8(member.status().self().toString());
        Optional<VmName> leader = member.leader();
        List<VmName> recipients = leader.map(List::of).orElseGet(controlVms);
        recipients.forEach(recipient -> network.send(recipient, MessageKind.ADMISSION, application));
        if (member.isLeader()) {
            admit();
        }
        timer.schedule(INTERVAL, this::tick);
    }

    private void admit() {
        MemberStatus status = member.status();
        Optional<MemberChange> next;
        synchronized (policy) {
            next = policy.next(status.members(), status.responsiveMembers(), clock.nanoTime());
        }
        if (next.isEmpty() || !isChanging.compareAndSet(false, true)) {
            return;
        }
        MemberChange change = next.get();
        member.changeMembers(change, Deadline.after(clock.nanoTime(), CHANGE_TIME))
                .thenAccept(outcome -> {
                    isChanging.set(false);
                    report(change, status, outcome);
                });
    }

    private static void report(MemberChange change, MemberStatus status, ChangeOutcome outcome) {
        LOGGER.info(
                "event=members-change change={} member={} voters={} answering={} outcome={}",
                change.getClass().getSimpleName(),
                change.member(),
                status.members().voters().size(),
                status.responsiveMembers().size(),
                outcome);
    }
}
