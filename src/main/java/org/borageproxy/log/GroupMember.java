package org.borageproxy.log;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.borageproxy.log.consensus.LogSettings;
import org.borageproxy.log.consensus.MemberChange;
import org.borageproxy.log.consensus.MemberId;
import org.borageproxy.log.consensus.Members;
import org.borageproxy.log.consensus.RestoredState;
import org.borageproxy.log.consensus.Role;
import org.borageproxy.log.storage.DiskFile;
import org.borageproxy.log.storage.DiskStorage;
import org.borageproxy.log.storage.LogStorage;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This VM's member of the control group. Commands are proposed through {@link ReplicatedLog}; operators change the
 * membership through {@link #changeMembers}. Stages may complete on the member's core thread, so dependent actions must
 * not block. After a failed write or sync the member stops, and its folder is reopened until that succeeds, as after a
 * restart of the process: meanwhile it neither votes nor acknowledges entries, and afterwards it holds what is durable
 * and catches up. A member on a given storage, and one whose consensus core fails, stops permanently. Thread safe.
 */
public final class GroupMember implements ReplicatedLog, AutoCloseable {

    /** The maximum size of a command in bytes, well below the maximum size of a message between VMs. */
    public static final int MAXIMUM_COMMAND_BYTES = 8 << 20;

    private static final Duration TRANSFER_POLL_INTERVAL = Duration.ofMillis(5);

    private static final Logger LOGGER = LoggerFactory.getLogger(GroupMember.class);

    /** Delay before each attempt to reopen the storage. */
    private static final Duration REOPEN_DELAY = Duration.ofMillis(250);

    private final Optional<Reopening> reopening;

    private final LogSettings settings;

    private final MemberContext context;

    private final AppliedState applied;

    private final CompletableFuture<Throwable> failure = new CompletableFuture<>();

    private final CountDownLatch closed = new CountDownLatch(1);

    /** The threads of the member; replaced when the storage is reopened. */
    private volatile CoreThread core;

    /** Opens the storage of a member again after a failed write. */
    @FunctionalInterface
    private interface Reopening {

        /**
         * Opens the storage.
         *
         * @return the storage, whose content is durable
         * @throws IOException if the storage cannot be read, or the disk still refuses writes
         */
        LogStorage open() throws IOException;
    }

    private GroupMember(
            LogStorage storage, Optional<Reopening> reopening, LogSettings settings, MemberContext context) {
        this.reopening = reopening;
        this.settings = settings;
        this.context = context;
        this.applied = new AppliedState(context.stateMachine());
        this.core = createCore(storage);
    }

    private CoreThread createCore(LogStorage storage) {
        return new CoreThread(storage, settings, context, applied, new SecureRandom().nextLong());
    }

    /**
     * Creates the data folder of an initial voter. Each initial voter runs this once, with the same group and voters. A
     * VM that has lost its disk must run {@link #join} instead, since it may have acknowledged entries and cast votes
     * that it no longer has.
     *
     * @param folder the data folder
     * @param group the identity of the group
     * @param self the name of this VM
     * @param voters the names of all initial voters
     * @return the identity of this VM's member
     * @throws IOException if the folder already holds a member or cannot be written
     * @throws IllegalArgumentException if this VM is not among the voters
     */
    public static MemberId bootstrap(Path folder, String group, VmName self, Collection<VmName> voters)
            throws IOException {
        List<MemberId> members =
                voters.stream().map(name -> MemberId.initial(group, name)).toList();
        MemberId member = MemberId.initial(group, self);
        if (!members.contains(member)) {
            throw new IllegalArgumentException("This VM is not among the initial voters: " + self);
        }
        DiskStorage.create(folder, group, member, Members.ofVoters(members));
        return member;
    }

    /**
     * Creates the data folder of a new member, which neither votes nor campaigns until the leader has added it.
     *
     * @param folder the data folder
     * @param group the identity of the group
     * @param self the name of this VM
     * @return the identity under which the leader must add the member
     * @throws IOException if the folder already holds a member or cannot be written
     */
    public static MemberId join(Path folder, String group, VmName self) throws IOException {
        MemberId member = MemberId.random(self);
        DiskStorage.create(folder, group, member, Members.EMPTY);
        return member;
    }

    /**
     * Turns a surviving member into the only voter of a new group after a majority of the old group's disks was
     * permanently lost. Entries that only the lost members stored are lost. Messages from members of the old group are
     * ignored; the other VMs join the new group as learners.
     *
     * @param folder the data folder of the survivor, not in use
     * @param newGroup the identity of the new group, never used before
     * @return the identity of the survivor's member
     * @throws IOException if the folder holds no member, is damaged, or cannot be written
     */
    public static MemberId recoverFromLostMajority(Path folder, String newGroup) throws IOException {
        return DiskStorage.recoverAsOnlyVoter(folder, newGroup);
    }

    /**
     * Opens the member stored in a data folder.
     *
     * @param folder the data folder
     * @param settings the timing, batching and storage settings
     * @param context the environment of the member
     * @return the member, not started
     * @throws IOException if the folder holds no member, is damaged, or is in use by another process
     */
    public static GroupMember open(Path folder, LogSettings settings, MemberContext context) throws IOException {
        return open(folder, settings, context, DiskFile.ChannelFile::open);
    }

    /** Opens the member stored in a data folder, with a given way to open the files that it writes. */
    static GroupMember open(Path folder, LogSettings settings, MemberContext context, DiskFile.Opener opener)
            throws IOException {
        DiskStorage storage = DiskStorage.open(folder, settings.segmentBytes(), opener);
        Reopening reopening = () -> DiskStorage.reopen(folder, settings.segmentBytes(), opener);
        return new GroupMember(storage, Optional.of(reopening), settings, context);
    }

    /**
     * Creates a member on an already open storage.
     *
     * @param storage the storage, closed with the member
     * @param settings the timing, batching and storage settings
     * @param context the environment of the member
     * @return the member, not started
     */
    public static GroupMember withStorage(LogStorage storage, LogSettings settings, MemberContext context) {
        return new GroupMember(storage, Optional.empty(), settings, context);
    }

    /**
     * Creates the only member of a group whose state is lost when the process ends.
     *
     * @param self the name of this VM
     * @param context the environment of the member
     * @return the member, not started
     */
    public static GroupMember inMemory(VmName self, MemberContext context) {
        MemberId member = MemberId.initial("memory", self);
        RestoredState state = RestoredState.fresh("memory", member, Members.ofVoters(List.of(member)));
        return withStorage(new LogStorage.InMemory(state), LogSettings.IN_PROCESS, context);
    }

    /** Starts the member's threads and registers it with the network. */
    public void start() {
        start(core);
    }

    private void start(CoreThread started) {
        started.failure().thenAccept(exception -> onFailure(started, exception));
        started.start();
    }

    /** Reopens the storage on a thread of its own, since the failed thread must end first. */
    private void onFailure(CoreThread failed, Throwable exception) {
        boolean isStorageFailure = exception instanceof IOException
                || exception instanceof UncheckedIOException
                || exception instanceof Error;
        if (reopening.isEmpty() || !isStorageFailure) {
            failure.complete(exception);
            return;
        }
        Thread thread = new Thread(
                () -> reopen(failed, reopening.get()),
                "log-reopen-" + status().self().name());
        thread.setDaemon(true);
        thread.start();
    }

    private void reopen(CoreThread failed, Reopening storage) {
        try {
            while (!closed.await(REOPEN_DELAY.toNanos(), TimeUnit.NANOSECONDS)) {
                if (tryReopen(failed, storage)) {
                    return;
                }
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Starts new threads on the reopened storage, unless it cannot be opened or the member has been closed. */
    private synchronized boolean tryReopen(CoreThread failed, Reopening storage) {
        if (closed.getCount() == 0) {
            return true;
        }
        try {
            failed.close();
            core = createCore(storage.open());
            LOGGER.info("event=log-member-reopened member={}", status().self());
            start(core);
            return true;
        } catch (IOException | RuntimeException exception) {
            LOGGER.warn(
                    "event=log-member-reopen-failed member={} reason=\"{}\"", status().self(), exception.toString());
            return false;
        }
    }

    @Override
    public CompletionStage<ProposalOutcome> propose(ByteString command, Deadline deadline) {
        if (command.size() > MAXIMUM_COMMAND_BYTES) {
            throw new IllegalArgumentException("Command exceeds the maximum size, bytes: " + command.size());
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
     * Changes one member of the group; only the leader accepts changes. While a learner is still catching up or an
     * earlier change is uncommitted, the change is retried until the deadline.
     *
     * @param change the change
     * @param deadline the time after which the outcome is reported as unknown
     * @return the outcome; never completes exceptionally
     */
    public CompletionStage<ChangeOutcome> changeMembers(MemberChange change, Deadline deadline) {
        CompletableFuture<ChangeOutcome> outcome = new CompletableFuture<>();
        core.changeMembers(change, deadline, outcome);
        return outcome;
    }

    /** Transfers leadership to another voter; has no effect if this member is not the leader. */
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
     * Returns whether the member takes part in the group.
     *
     * @return {@code false} after a failure, until the member is reopened, and after a close
     */
    public boolean isRunning() {
        return core.isRunning();
    }

    /**
     * Returns the member's current view of itself and the group.
     *
     * @return a snapshot of the status, up to one batch of inputs old
     */
    public MemberStatus status() {
        return core.status();
    }

    /**
     * Returns a stage that completes when a failure has stopped the member permanently.
     *
     * @return completes with the failure; stays incomplete after a normal close
     */
    public CompletionStage<Throwable> failure() {
        return failure;
    }

    /**
     * Stops the member. If it leads a group with further voters, leadership is transferred first, for at most the
     * minimum election timeout. The member runs on until it follows its successor, which may need its vote.
     */
    @Override
    public void close() {
        Deadline transferDeadline = Deadline.after(context.clock().nanoTime(), settings.electionTimeoutMinimum());
        MemberStatus before = status();
        boolean isTransferNeeded =
                before.role() == Role.LEADER && before.members().voters().size() > 1;
        if (isTransferNeeded) {
            core.transferLeadership();
        }
        while (isTransferNeeded
                && core.isRunning()
                && !followsAnother()
                && !transferDeadline.hasPassed(context.clock().nanoTime())) {
            try {
                Thread.sleep(TRANSFER_POLL_INTERVAL.toMillis());
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        closeCore();
    }

    private synchronized void closeCore() {
        closed.countDown();
        try {
            core.close();
        } catch (IOException exception) {
            LOGGER.warn(
                    "event=log-storage-close-failed member={} reason=\"{}\"", status().self(), exception.getMessage());
        }
    }

    private boolean followsAnother() {
        MemberStatus status = status();
        return status.leader().filter(leader -> !leader.equals(status.self())).isPresent();
    }
}
