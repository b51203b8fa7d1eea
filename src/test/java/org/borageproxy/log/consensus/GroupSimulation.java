package org.borageproxy.log.consensus;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import com.google.protobuf.ByteString;
import org.borageproxy.vm.VmName;

/**
 * Runs a group of members through one seeded schedule of faults in virtual time. Checks after each step that a term has
 * one leader, that all members apply the same entries, that confirmed reads are current, and that at most one member
 * holds the lease.
 */
final class GroupSimulation {

    static final long NANOS_PER_MILLI = 1_000_000L;

    private record TimedAction(long atNanos, long order, Runnable action) {}

    /** One direction of the connection between two VMs. */
    private record Link(VmName from, VmName to) {}

    final LogSettings settings = LogSettings.STANDARD
            .withTimeouts(Duration.ofMillis(50), Duration.ofMillis(200), Duration.ofMillis(400))
            .withSnapshots(12, 4, 24);

    final Map<VmName, SimulatedMember> members = new HashMap<>();

    private final PriorityQueue<TimedAction> events =
            new PriorityQueue<>(Comparator.comparingLong(TimedAction::atNanos).thenComparingLong(TimedAction::order));

    private final Random random;

    private final List<VmName> vmNames = new ArrayList<>();

    private final Map<Long, MemberId> leadersByTerm = new HashMap<>();

    private final Map<Long, Long> checksumsByIndex = new HashMap<>();

    private final Set<Link> brokenLinks = new HashSet<>();

    private long order;

    private long committedIndex;

    private long lastId;

    private long confirmedReads;

    private long syncDelayMillis = 1;

    private double lossRate;

    private double duplicateRate;

    private Optional<Repair> repair = Optional.empty();

    private Optional<SimulatedMember> recovering = Optional.empty();

    MemberChange.Refusal lastRefusal;

    long nowNanos = 1_000_000_000L;

    /** The replacement of a member that lost its disk. */
    private record Repair(MemberId lost, MemberId replacement) {}

    GroupSimulation(long seed, int size) {
        random = new Random(seed);
        for (int number = 0; number < size; number++) {
            vmNames.add(new VmName("vm" + number));
        }
        Members initial = Members.ofVoters(
                vmNames.stream().map(name -> MemberId.initial("group", name)).toList());
        for (MemberId member : initial.voters()) {
            add(member, initial);
        }
    }

    private SimulatedMember add(MemberId id, Members initial) {
        SimulatedMember member = new SimulatedMember(id, new SimulatedDisk("group", id, initial), this, random);
        members.put(id.name(), member);
        member.start(RestoredState.fresh("group", id, initial));
        return member;
    }

    void schedule(long afterNanos, Runnable action) {
        order++;
        events.add(new TimedAction(nowNanos + Math.max(0, afterNanos), order, action));
    }

    long syncDelayNanos() {
        long millis = random.nextInt(20) == 0 ? 60 : syncDelayMillis;
        return millis * NANOS_PER_MILLI + random.nextInt((int) NANOS_PER_MILLI);
    }

    void send(SimulatedMember from, Effect.Send send) {
        if (random.nextDouble() < lossRate) {
            return;
        }
        deliver(from, send);
        if (random.nextDouble() < duplicateRate) {
            deliver(from, send);
        }
    }

    private void deliver(SimulatedMember from, Effect.Send send) {
        boolean isDelayed = random.nextInt(40) == 0;
        long delay = isDelayed ? random.nextInt(400) * NANOS_PER_MILLI : random.nextInt((int) (3 * NANOS_PER_MILLI));
        VmName to = send.recipient().name();
        schedule(delay, () -> {
            if (!brokenLinks.contains(new Link(from.self.name(), to))) {
                members.get(to).handle(new Input.Receive(send.message()));
            }
        });
    }

    /** Injects faults for a time, then removes them and expects the group to recover. */
    void run(long faultNanos) {
        lossRate = random.nextInt(3) * 0.04;
        duplicateRate = random.nextInt(3) * 0.04;
        syncDelayMillis = List.of(1, 1, 15, 40).get(random.nextInt(4));
        advance(500 * NANOS_PER_MILLI);
        long end = nowNanos + faultNanos;
        while (nowNanos < end) {
            injectFault();
            advance(random.nextInt(32) * NANOS_PER_MILLI);
        }
        removeFaults();
        long before = committedIndex;
        for (int attempt = 0; attempt < 200 && !hasRecovered(before); attempt++) {
            proposeAnywhere();
            repairStep();
            advance(50 * NANOS_PER_MILLI);
        }
        if (!hasRecovered(before)) {
            throw new AssertionError("The group did not recover after the faults ended: " + describe());
        }
    }

    private void injectFault() {
        proposeAnywhere();
        repairStep();
        SimulatedMember member = members.get(vmNames.get(random.nextInt(vmNames.size())));
        switch (random.nextInt(30)) {
            case 0 -> crash(member);
            case 1 -> member.suspend((50 + random.nextInt(600)) * NANOS_PER_MILLI);
            case 2 -> isolate(member.self.name());
            case 3 -> brokenLinks.add(new Link(member.self.name(), vmNames.get(random.nextInt(vmNames.size()))));
            case 4 -> healLinksSometimes();
            case 5 -> breakOneLinkOfLeader();
            case 6 -> loseDisk(member);
            case 7 -> member.handle(Input.TransferLeadership.INSTANCE);
            case 8 -> crashLeader();
            case 13 -> failPower();
            case 14, 15 -> isolateLeader();
            case 9, 10, 11, 12 -> {
                lastId++;
                member.read(lastId);
            }
            default -> proposeAnywhere();
        }
    }

    private void healLinksSometimes() {
        if (random.nextInt(4) != 0) {
            brokenLinks.clear();
        }
    }

    private void breakOneLinkOfLeader() {
        VmName to = vmNames.get(random.nextInt(vmNames.size()));
        members.values().stream().filter(SimulatedMember::isLeaseHeld).forEach(leader -> {
            brokenLinks.add(new Link(leader.self.name(), to));
            schedule(random.nextInt(400) * NANOS_PER_MILLI, () -> isolate(leader.self.name()));
        });
    }

    private void isolateLeader() {
        members.values().stream().filter(SimulatedMember::isLeaseHeld).forEach(leader -> isolate(leader.self.name()));
    }

    /** Crashes a random half of the members, or sometimes all of them, at the same moment. */
    private void failPower() {
        boolean isTotalFailure = random.nextInt(3) == 0;
        for (SimulatedMember member : List.copyOf(members.values())) {
            if (isTotalFailure || random.nextBoolean()) {
                crash(member);
            }
        }
    }

    private void proposeAnywhere() {
        for (SimulatedMember member : members.values()) {
            if (member.isRunning() && member.consensus.role() == Role.LEADER) {
                lastId++;
                member.handle(
                        new Input.Propose(lastId, nowNanos / NANOS_PER_MILLI, ByteString.copyFromUtf8("c" + lastId)));
            }
        }
    }

    private void crashLeader() {
        members.values().stream()
                .filter(member -> member.isRunning() && member.consensus.role() == Role.LEADER)
                .findFirst()
                .ifPresent(this::crash);
    }

    private void crash(SimulatedMember member) {
        if (!member.isRunning()) {
            return;
        }
        RestoredState survived = member.disk.crash(random);
        member.crash();
        int generation = member.generation;
        schedule((long) random.nextInt(500) * NANOS_PER_MILLI, () -> {
            if (member.generation == generation && members.get(member.self.name()) == member) {
                member.start(survived);
            }
        });
    }

    private void isolate(VmName name) {
        for (VmName other : vmNames) {
            brokenLinks.add(new Link(name, other));
            brokenLinks.add(new Link(other, name));
        }
    }

    /**
     * Empties a member's disk half of the time, but never while an earlier loss is unrepaired or a member has not
     * caught up. The VM returns with an empty log, either as a new member that the group must add, or sometimes under
     * the identity of the initial voter, as if it had been bootstrapped again.
     */
    private void loseDisk(SimulatedMember member) {
        boolean allCaughtUp = members.values().stream().allMatch(other -> other.disk.isCaughtUp());
        if (repair.isPresent() || !allCaughtUp || random.nextInt(2) == 0) {
            return;
        }
        member.crash();
        boolean isInitialVoter = member.self.equals(MemberId.initial("group", member.self.name()));
        if (isInitialVoter && random.nextInt(3) == 0) {
            Members voters = Members.ofVoters(vmNames.stream()
                    .map(name -> MemberId.initial("group", name))
                    .toList());
            add(member.self, voters);
            return;
        }
        MemberId replacement = new MemberId(member.self.name(), random.nextLong());
        add(replacement, Members.EMPTY);
        repair = Optional.of(new Repair(member.self, replacement));
    }

    /** Requests the next step of a pending repair from each member that holds the lease. */
    private void repairStep() {
        if (repair.isEmpty()) {
            return;
        }
        MemberId replacement = repair.get().replacement();
        for (SimulatedMember member : List.copyOf(members.values())) {
            if (!member.isRunning() || !member.isLeaseHeld()) {
                continue;
            }
            Members current = member.consensus.members();
            MemberChange change = new MemberChange.Remove(repair.get().lost());
            if (!current.all().contains(replacement)) {
                change = new MemberChange.AddLearner(replacement);
            } else if (!current.voters().contains(replacement)) {
                change = new MemberChange.Promote(replacement);
            }
            lastId++;
            lastRefusal = null;
            member.handle(new Input.ChangeMembers(lastId, 0, change));
            if (change instanceof MemberChange.Remove && lastRefusal == MemberChange.Refusal.UNKNOWN_MEMBER) {
                repair = Optional.empty();
                return;
            }
        }
    }

    private void removeFaults() {
        advance(500 * NANOS_PER_MILLI);
        brokenLinks.clear();
        lossRate = 0;
        duplicateRate = 0;
        syncDelayMillis = 1;
        advance(1000 * NANOS_PER_MILLI);
    }

    private String describe() {
        StringBuilder text = new StringBuilder("repair=" + repair + " refusal=" + lastRefusal);
        members.values().forEach(member -> text.append("\n").append(member));
        return text.toString();
    }

    private boolean hasRecovered(long before) {
        return committedIndex > before + 3
                && repair.isEmpty()
                && members.values().stream().allMatch(member -> member.appliedIndex > before);
    }

    private void advance(long nanos) {
        long end = nowNanos + nanos;
        while (!events.isEmpty() && events.peek().atNanos() <= end) {
            TimedAction next = events.remove();
            nowNanos = Math.max(nowNanos, next.atNanos());
            next.action().run();
        }
        nowNanos = end;
    }

    long committedIndex() {
        return committedIndex;
    }

    long confirmedReads() {
        return confirmedReads;
    }

    long elections() {
        return leadersByTerm.size();
    }

    void checkElection(long term, MemberId leader) {
        MemberId earlier = leadersByTerm.putIfAbsent(term, leader);
        if (earlier != null && !earlier.equals(leader)) {
            throw new AssertionError("Two leaders in term " + term + ": " + earlier + " and " + leader);
        }
    }

    void checkState(long index, long checksum) {
        Long earlier = checksumsByIndex.putIfAbsent(index, checksum);
        if (earlier != null && earlier != checksum) {
            throw new AssertionError("Members differ at index " + index);
        }
        committedIndex = Math.max(committedIndex, index);
    }

    void checkRead(Long required, long applied) {
        confirmedReads++;
        if (required == null || applied < required) {
            throw new AssertionError("Stale read: applied " + applied + ", required " + required);
        }
    }

    void checkLeases() {
        List<SimulatedMember> holders =
                members.values().stream().filter(SimulatedMember::isLeaseHeld).toList();
        if (holders.size() > 1) {
            throw new AssertionError("Two members hold the lease");
        }
        for (SimulatedMember holder : holders) {
            if (holder.appliedIndex < committedIndex) {
                throw new AssertionError("Stale state of the lease holder: applied " + holder.appliedIndex
                        + ", committed " + committedIndex);
            }
        }
    }
}
