package org.borageproxy.log;

import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import org.borageproxy.log.consensus.LogSettings;
import org.borageproxy.log.consensus.MemberChange;
import org.borageproxy.log.consensus.MemberId;
import org.borageproxy.log.consensus.Members;
import org.borageproxy.log.consensus.RestoredState;
import org.borageproxy.log.consensus.Role;
import org.borageproxy.log.storage.DiskStorage;
import org.borageproxy.log.storage.LogStorage;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;

/**
 * This VM's member of the control group. Commands are proposed through {@link ReplicatedLog}; operators change the
 * members through {@link #changeMembers}. Stages complete on the member's core thread, so what depends on them must not
 * block. After a failure of the disk or the state machine the member never acts again. Safe for use by any thread.
 */
public final class GroupMember implements ReplicatedLog, AutoCloseable {

    /** The most bytes of a command, well below the largest message between VMs. */
    public static final int MAXIMUM_COMMAND_BYTES = 8 << 20;

    /** The time between two looks at whether leadership has ended at a shutdown. */
    private static final Duration TRANSFER_POLL = Duration.ofMillis(5);

    /** The member's thread. */
    private final CoreThread core;

    /** The bounds. */
    private final LogSettings settings;

    /** What the member works with. */
    private final MemberContext context;

    /**
     * Creates a member.
     *
     * @param storage what the member must not forget
     * @param settings the bounds
     * @param context what the member works with
     */
    private GroupMember(LogStorage storage, LogSettings settings, MemberContext context) {
        this.settings = settings;
        this.context = context;
        this.core = new CoreThread(storage, settings, context, new SecureRandom().nextLong());
    }

    /**
     * Makes the folder of an initial voter. Each initial voter runs this once, with equal group and voters. A VM that
     * lost its disk must not run it again, but {@link #join}.
     *
     * @param folder the folder
     * @param group the identity of the group
     * @param self this VM
     * @param voters all initial voters
     * @return the identity of this VM's member
     * @throws IOException if the folder holds a member already, or cannot be written
     */
    public static MemberId bootstrap(Path folder, String group, VmName self, Collection<VmName> voters)
            throws IOException {
        List<MemberId> members =
                voters.stream().map(name -> MemberId.initial(group, name)).toList();
        MemberId member = MemberId.initial(group, self);
        if (!members.contains(member)) {
            throw new IllegalArgumentException("Not among the voters: " + self);
        }
        DiskStorage.create(folder, group, member, Members.ofVoters(members));
        return member;
    }

    /**
     * Makes the folder of a new member, which does nothing until the leader adds it.
     *
     * @param folder the folder
     * @param group the identity of the group
     * @param self this VM
     * @return the identity under which the leader must add the member
     * @throws IOException if the folder holds a member already, or cannot be written
     */
    public static MemberId join(Path folder, String group, VmName self) throws IOException {
        MemberId member = MemberId.random(self);
        DiskStorage.create(folder, group, member, Members.EMPTY);
        return member;
    }

    /**
     * Makes the member of a folder the only voter of a new group, after a majority of the old group's disks was lost
     * for good. What only the lost members held is gone, and members of the old group are not heard any more. The other
     * VMs join the new group as learners.
     *
     * @param folder the folder of the survivor, not in use
     * @param newGroup the identity of the new group, never used before
     * @return the identity of the survivor's member
     * @throws IOException if the folder holds no member, is damaged, or cannot be written
     */
    public static MemberId recoverFromLostMajority(Path folder, String newGroup) throws IOException {
        return DiskStorage.recoverAsOnlyVoter(folder, newGroup);
    }

    /**
     * Opens the member of a folder.
     *
     * @param folder the folder
     * @param settings the bounds
     * @param context what the member works with
     * @return the member, not started
     * @throws IOException if the folder holds no member, is damaged, or another process uses it
     */
    public static GroupMember open(Path folder, LogSettings settings, MemberContext context) throws IOException {
        return new GroupMember(DiskStorage.open(folder, settings.segmentBytes()), settings, context);
    }

    /**
     * Returns a member with a given storage.
     *
     * @param storage what the member must not forget
     * @param settings the bounds
     * @param context what the member works with
     * @return the member, not started
     */
    public static GroupMember withStorage(LogStorage storage, LogSettings settings, MemberContext context) {
        return new GroupMember(storage, settings, context);
    }

    /**
     * Returns the only member of a group that forgets all when the process ends.
     *
     * @param self this VM
     * @param context what the member works with
     * @return the member, not started
     */
    public static GroupMember inMemory(VmName self, MemberContext context) {
        MemberId member = MemberId.initial("memory", self);
        RestoredState state = RestoredState.fresh("memory", member, Members.ofVoters(List.of(member)));
        return new GroupMember(new LogStorage.InMemory(state), LogSettings.IN_PROCESS, context);
    }

    /** Starts the member's threads and registers it with the network. */
    public void start() {
        core.start();
    }

    @Override
    public CompletionStage<ProposalOutcome> propose(ByteString command, Deadline deadline) {
        if (command.size() > MAXIMUM_COMMAND_BYTES) {
            throw new IllegalArgumentException("Command too large: " + command.size());
        }
        CompletableFuture<ProposalOutcome> outcome = new CompletableFuture<>();
        core.propose(command, deadline, outcome);
        return outcome;
    }

    @Override
    public CompletionStage<Boolean> confirmRead(Deadline deadline) {
        CompletableFuture<Boolean> outcome = new CompletableFuture<>();
        core.confirmRead(deadline, outcome);
        return outcome;
    }

    /**
     * Changes one member of the group; only the leader does. A learner that is still catching up, or an earlier change
     * under way, is waited for.
     *
     * @param change the change
     * @param deadline when to give up
     * @return the outcome; never fails
     */
    public CompletionStage<ChangeOutcome> changeMembers(MemberChange change, Deadline deadline) {
        CompletableFuture<ChangeOutcome> outcome = new CompletableFuture<>();
        core.changeMembers(change, deadline, outcome);
        return outcome;
    }

    /** Hands leadership to another voter, if this member leads. */
    public void transferLeadership() {
        core.transferLeadership();
    }

    @Override
    public Optional<VmName> leader() {
        return status().leader().map(MemberId::name);
    }

    @Override
    public boolean isLeader() {
        return core.isLeaseHeld();
    }

    /**
     * Returns what this member knows.
     *
     * @return the status
     */
    public MemberStatus status() {
        return core.status();
    }

    /**
     * Returns a stage that completes when the member stopped for good after a failure.
     *
     * @return completes with the failure
     */
    public CompletionStage<Exception> failure() {
        return core.failure();
    }

    /** Hands leadership over, if this member leads and another voter can take it, and stops. */
    @Override
    public void close() {
        Deadline patience = Deadline.after(context.clock().nanoTime(), settings.electionTimeoutMinimum());
        boolean alone = status().members().voters().size() == 1;
        if (!alone) {
            core.transferLeadership();
        }
        while (!alone
                && core.isRunning()
                && status().role() == Role.LEADER
                && !patience.hasPassed(context.clock().nanoTime())) {
            try {
                Thread.sleep(TRANSFER_POLL.toMillis());
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        core.close();
    }
}
