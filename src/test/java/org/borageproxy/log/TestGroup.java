package org.borageproxy.log;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.google.protobuf.ByteString;
import org.borageproxy.event.EventRecorder;
import org.borageproxy.log.consensus.LogSettings;
import org.borageproxy.log.consensus.MemberChange;
import org.borageproxy.log.consensus.MemberId;
import org.borageproxy.log.storage.DiskFile;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A group of members in one process, each with its own data folder on disk. */
final class TestGroup implements AutoCloseable {

    static final MonotonicClock CLOCK = MonotonicClock.ofSystem();

    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(20);

    final InProcessNetwork network = new InProcessNetwork();

    final Map<VmName, GroupMember> members = new ConcurrentHashMap<>();

    final Map<VmName, RecordingStateMachine> stateMachines = new ConcurrentHashMap<>();

    private final Path root;

    private final LogSettings settings;

    TestGroup(Path root, LogSettings settings, String... names) throws IOException {
        this.root = root;
        this.settings = settings;
        List<VmName> voters = List.of(names).stream().map(VmName::new).toList();
        for (VmName name : voters) {
            GroupMember.bootstrap(folder(name), "group", name, voters);
            start(name);
        }
    }

    Path folder(VmName name) {
        return root.resolve(name.value());
    }

    MemberContext context(VmName name) {
        RecordingStateMachine stateMachine = new RecordingStateMachine();
        stateMachines.put(name, stateMachine);
        return new MemberContext(
                network.networkOf(name), stateMachine, CLOCK, System::currentTimeMillis, EventRecorder.NoOp.INSTANCE);
    }

    GroupMember start(VmName name) throws IOException {
        return start(name, DiskFile.ChannelFile::open);
    }

    GroupMember start(VmName name, DiskFile.Opener opener) throws IOException {
        GroupMember member = GroupMember.open(folder(name), settings, context(name), opener);
        members.put(name, member);
        member.start();
        return member;
    }

    /** Stops a member without a leadership transfer, by isolating it first. */
    void kill(VmName name) {
        network.isolate(name);
        members.remove(name).close();
        network.reconnect(name);
    }

    /** Replaces a VM's data folder by that of a new member, as after the loss of its disk. */
    MemberId replaceDisk(VmName name) throws IOException {
        Path lostFolder = root.resolve(name.value() + "-lost");
        java.nio.file.Files.move(folder(name), lostFolder);
        return GroupMember.join(folder(name), "group", name);
    }

    VmName awaitLeader() {
        await(() -> members.values().stream().anyMatch(GroupMember::isLeader));
        return members.entrySet().stream()
                .filter(entry -> entry.getValue().isLeader())
                .findFirst()
                .map(Map.Entry::getKey)
                .orElseGet(this::awaitLeader);
    }

    /** Proposes the command until one proposal is committed; it may be applied more than once. */
    void commit(String command) {
        await(() -> {
            GroupMember leader = members.get(awaitLeader());
            return leader != null && propose(leader, command) instanceof ReplicatedLog.ProposalOutcome.Committed;
        });
    }

    ReplicatedLog.ProposalOutcome propose(GroupMember member, String command) {
        Deadline deadline = Deadline.after(CLOCK.nanoTime(), Duration.ofSeconds(2));
        return join(member.propose(ByteString.copyFromUtf8(command), deadline));
    }

    void changeMembers(MemberChange change) {
        GroupMember leader = members.get(awaitLeader());
        Deadline deadline = Deadline.after(CLOCK.nanoTime(), AWAIT_TIMEOUT);
        assertInstanceOf(ChangeOutcome.Committed.class, join(leader.changeMembers(change, deadline)));
    }

    boolean confirm(VmName name) {
        Deadline deadline = Deadline.after(CLOCK.nanoTime(), Duration.ofSeconds(2));
        return join(members.get(name).confirmRead(deadline));
    }

    static <T> T join(java.util.concurrent.CompletionStage<T> stage) {
        try {
            return stage.toCompletableFuture().get(AWAIT_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        } catch (Exception exception) {
            throw new AssertionError(exception);
        }
    }

    static void await(BooleanSupplier condition) {
        Deadline deadline = Deadline.after(CLOCK.nanoTime(), AWAIT_TIMEOUT);
        while (!condition.getAsBoolean()) {
            assertTrue(!deadline.hasPassed(CLOCK.nanoTime()), "condition not met before the timeout");
            Thread.onSpinWait();
            try {
                Thread.sleep(2);
            } catch (InterruptedException exception) {
                throw new AssertionError(exception);
            }
        }
    }

    @Override
    public void close() {
        members.keySet().forEach(this::kill);
        network.close();
    }
}
