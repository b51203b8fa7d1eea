package org.borageproxy.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import com.google.protobuf.ByteString;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.borageproxy.event.EventRecorder;
import org.borageproxy.log.GroupMember;
import org.borageproxy.log.MemberContext;
import org.borageproxy.log.ReplicatedLog;
import org.borageproxy.log.StateMachine;
import org.borageproxy.log.consensus.Effect;
import org.borageproxy.log.consensus.LogSettings;
import org.borageproxy.log.consensus.MemberId;
import org.borageproxy.log.consensus.Members;
import org.borageproxy.log.storage.DiskStorage;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.LogProtocol.Entry;

/**
 * Benchmarks the replicated log with three members and real files in one process: commit throughput and latency, syncs
 * per commit, the time without a leader after a leader is lost, and recovery time by log length. Used by one thread.
 */
public final class LogBenchmark {

    private static final MonotonicClock CLOCK = MonotonicClock.ofSystem();

    private static final int COMMAND_BYTES = 200;

    private static final Duration MEASUREMENT_PERIOD = Duration.ofSeconds(3);

    private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(5);

    private static final int LEADER_LOSS_ROUNDS = 12;

    private static final double NANOS_PER_MILLISECOND = 1e6;

    private static final long POLL_NANOS = 200_000;

    private final Path root;

    private LogBenchmark(Path root) {
        this.root = root;
    }

    /**
     * Runs all benchmarks and prints one line of results for each configuration.
     *
     * @param arguments the existing folder in which a temporary folder is created, the working directory by default
     * @throws IOException if a folder cannot be written
     */
    public static void main(String[] arguments) throws IOException {
        Path root = Files.createTempDirectory(Path.of(arguments.length > 0 ? arguments[0] : "."), "log-benchmark");
        LogBenchmark benchmark = new LogBenchmark(root);
        for (int callers : new int[] {1, 16, 256}) {
            benchmark.measureCommits(callers);
        }
        benchmark.measureLeaderLoss();
        for (int entries : new int[] {1_000, 10_000, 100_000}) {
            benchmark.measureRecovery(entries);
        }
    }

    /** A log group of three members in this process. Used by one thread. */
    private final class Group implements AutoCloseable {

        private final InProcessNetwork network = new InProcessNetwork();

        private final Map<VmName, GroupMember> members = new HashMap<>();

        private final Map<VmName, DiskStorage> storages = new HashMap<>();

        private Group(String name) throws IOException {
            List<VmName> voters = List.of(new VmName("a"), new VmName("b"), new VmName("c"));
            for (VmName voter : voters) {
                Path folder = root.resolve(name).resolve(voter.value());
                GroupMember.bootstrap(folder, name, voter, voters);
                DiskStorage storage = DiskStorage.open(folder, LogSettings.STANDARD.segmentBytes());
                MemberContext context = new MemberContext(
                        network.endpoint(voter),
                        new CountingStateMachine(),
                        CLOCK,
                        System::currentTimeMillis,
                        EventRecorder.NoOp.INSTANCE);
                GroupMember member = GroupMember.withStorage(storage, LogSettings.STANDARD, context);
                storages.put(voter, storage);
                members.put(voter, member);
                member.start();
            }
        }

        private VmName awaitLeader() {
            while (true) {
                for (Map.Entry<VmName, GroupMember> member : members.entrySet()) {
                    if (member.getValue().isLeader()) {
                        return member.getKey();
                    }
                }
                LockSupport.parkNanos(POLL_NANOS);
            }
        }

        @Override
        public void close() {
            members.keySet().forEach(network::disconnect);
            members.values().forEach(GroupMember::close);
            network.close();
        }
    }

    /**
     * Measures commits under a constant number of concurrent proposals.
     *
     * @param callers the number of concurrent proposals
     */
    private void measureCommits(int callers) throws IOException {
        try (Group group = new Group("commits-" + callers)) {
            VmName leader = group.awaitLeader();
            GroupMember member = group.members.get(leader);
            Histogram nanos = new ConcurrentHistogram(3);
            AtomicLong refused = new AtomicLong();
            Semaphore free = new Semaphore(callers);
            long syncsBefore = group.storages.get(leader).syncCount();
            long start = CLOCK.nanoTime();
            Deadline end = Deadline.after(start, MEASUREMENT_PERIOD);
            while (!end.hasPassed(CLOCK.nanoTime())) {
                free.acquireUninterruptibly();
                propose(member, nanos, refused, free);
            }
            free.acquireUninterruptibly(callers);
            double seconds = (CLOCK.nanoTime() - start) / NANOS_PER_MILLISECOND / 1000;
            long commits = nanos.getTotalCount();
            long syncs = group.storages.get(leader).syncCount() - syncsBefore;
            System.out.printf(
                    "measure=commits callers=%d commits_per_second=%.0f syncs_per_commit=%.3f median_millis=%.2f"
                            + " p99_millis=%.2f refused=%d%n",
                    callers,
                    commits / seconds,
                    (double) syncs / commits,
                    nanos.getValueAtPercentile(50) / NANOS_PER_MILLISECOND,
                    nanos.getValueAtPercentile(99) / NANOS_PER_MILLISECOND,
                    refused.get());
        }
    }

    /**
     * Proposes a command and records the time to its commit.
     *
     * @param nanos receives the commit time
     * @param refused counts the proposals that were not committed, or whose outcome is unknown
     * @param free receives a permit when the outcome is available
     */
    private static void propose(GroupMember member, Histogram nanos, AtomicLong refused, Semaphore free) {
        long start = CLOCK.nanoTime();
        ByteString command = ByteString.copyFrom(new byte[COMMAND_BYTES]);
        member.propose(command, Deadline.after(start, PROPOSAL_TIMEOUT)).thenAccept(proposal -> {
            if (proposal instanceof ReplicatedLog.ProposalOutcome.Committed) {
                nanos.recordValue(CLOCK.nanoTime() - start);
            } else {
                refused.incrementAndGet();
            }
            free.release();
        });
    }

    /** Measures the time from the silent loss of a leader until another member is leader and holds a lease. */
    private void measureLeaderLoss() throws IOException {
        Histogram nanos = new Histogram(3);
        for (int round = 0; round < LEADER_LOSS_ROUNDS; round++) {
            try (Group group = new Group("loss-" + round)) {
                VmName lost = group.awaitLeader();
                LockSupport.parkNanos(MEASUREMENT_PERIOD.toNanos() / LEADER_LOSS_ROUNDS);
                long start = CLOCK.nanoTime();
                group.network.disconnect(lost);
                GroupMember gone = group.members.remove(lost);
                group.awaitLeader();
                nanos.recordValue(CLOCK.nanoTime() - start);
                gone.close();
            }
        }
        System.out.printf(
                "measure=loss-of-leader rounds=%d median_millis=%.0f max_millis=%.0f%n",
                LEADER_LOSS_ROUNDS,
                nanos.getValueAtPercentile(50) / NANOS_PER_MILLISECOND,
                nanos.getMaxValue() / NANOS_PER_MILLISECOND);
    }

    /** Measures the time to open the storage of a log with the given number of entries. */
    private void measureRecovery(int count) throws IOException {
        Path folder = root.resolve("recovery-" + count);
        MemberId self = MemberId.initial("recovery", new VmName("a"));
        DiskStorage.create(folder, "recovery", self, Members.ofVoters(List.of(self)));
        try (DiskStorage storage = DiskStorage.open(folder, LogSettings.STANDARD.segmentBytes())) {
            List<Entry> batch = new ArrayList<>();
            for (int index = 1; index <= count; index++) {
                batch.add(Entry.newBuilder()
                        .setIndex(index)
                        .setTerm(1)
                        .setKind(Entry.Kind.COMMAND)
                        .setCommand(ByteString.copyFrom(new byte[COMMAND_BYTES]))
                        .build());
                if (batch.size() == LogSettings.STANDARD.maximumMessageEntries() || index == count) {
                    storage.write(List.of(new Effect.Persist(index, Optional.empty(), Optional.empty(), false, batch)));
                    batch.clear();
                }
            }
        }
        long start = CLOCK.nanoTime();
        DiskStorage reopened = DiskStorage.open(folder, LogSettings.STANDARD.segmentBytes());
        double millis = (CLOCK.nanoTime() - start) / NANOS_PER_MILLISECOND;
        System.out.printf(
                "measure=recovery entries=%d millis=%.1f%n",
                reopened.restoredState().entries().size(), millis);
        reopened.close();
    }

    /** Counts commands. Used by one thread at a time. */
    private static final class CountingStateMachine implements StateMachine {

        private long count;

        @Override
        public ByteString apply(long index, long stateMillis, ByteString command) {
            count++;
            return ByteString.EMPTY;
        }

        @Override
        public ByteString snapshot() {
            return ByteString.copyFromUtf8(Long.toString(count));
        }

        @Override
        public void restore(ByteString snapshot) {
            count = Long.parseLong(snapshot.toStringUtf8());
        }
    }
}
