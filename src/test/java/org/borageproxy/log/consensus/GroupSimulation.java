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
 * Drives a group of cores through one seeded schedule of faults in virtual time, and checks after each step that a term
 * has one leader, that all members apply the same entries, that confirmed reads are current, and that one member at a
 * time holds the lease.
 */
final class GroupSimulation {

    static final long MILLISECOND = 1_000_000L;

    /**
     * An action at a time.
     *
     * @param atNanos when
     * @param order breaks ties
     * @param action what
     */
    private record Timed(long atNanos, long order, Runnable action) {}

    /**
     * A direction between two VMs.
     *
     * @param from the sender
     * @param to the recipient
     */
    private record Link(VmName from, VmName to) {}

    final LogSettings settings = LogSettings.STANDARD
            .withTimeouts(Duration.ofMillis(50), Duration.ofMillis(200), Duration.ofMillis(400))
            .withSnapshots(12, 4, 24);

    final Map<VmName, SimulatedMember> members = new HashMap<>();

    private final PriorityQueue<Timed> events =
            new PriorityQueue<>(Comparator.comparingLong(Timed::atNanos).thenComparingLong(Timed::order));

    private final Random random;

    private final List<VmName> names = new ArrayList<>();

    private final Map<Long, MemberId> leaders = new HashMap<>();

    private final Map<Long, Long> states = new HashMap<>();

    private final Set<Link> cut = new HashSet<>();

    private long order;

    private long committed;

    private long lastId;

    private long confirmedReads;

    private long slowDiskMillis = 1;

    private double lossRate;

    private double duplicateRate;

    private Optional<Repair> repair = Optional.empty();

    private Optional<SimulatedMember> recovering = Optional.empty();

    MemberChange.Refusal lastRefusal;

    long nowNanos = 1_000_000_000L;

    /**
     * A lost member that is being replaced.
     *
     * @param lost the lost member
     * @param replacement the new member
     */
    private record Repair(MemberId lost, MemberId replacement) {}

    GroupSimulation(long seed, int size) {
        random = new Random(seed);
        for (int number = 0; number < size; number++) {
            names.add(new VmName("vm" + number));
        }
        Members initial = Members.ofVoters(
                names.stream().map(name -> MemberId.initial("group", name)).toList());
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
        events.add(new Timed(nowNanos + Math.max(0, afterNanos), order, action));
    }

    long syncDelayNanos() {
        long millis = random.nextInt(20) == 0 ? 60 : slowDiskMillis;
        return millis * MILLISECOND + random.nextInt((int) MILLISECOND);
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
        boolean late = random.nextInt(40) == 0;
        long delay = late ? random.nextInt(400) * MILLISECOND : random.nextInt((int) (3 * MILLISECOND));
        VmName to = send.recipient().name();
        schedule(delay, () -> {
            if (!cut.contains(new Link(from.self.name(), to))) {
                members.get(to).handle(new Input.Receive(send.message()));
            }
        });
    }

    /** Runs faults for a time, then heals everything and expects the group to work. */
    void run(long faultNanos) {
        lossRate = random.nextInt(3) * 0.04;
        duplicateRate = random.nextInt(3) * 0.04;
        slowDiskMillis = List.of(1, 1, 15, 40).get(random.nextInt(4));
        advance(500 * MILLISECOND);
        long end = nowNanos + faultNanos;
        while (nowNanos < end) {
            act();
            advance(random.nextInt(32) * MILLISECOND);
        }
        heal();
        long before = committed;
        for (int attempt = 0; attempt < 200 && !isSettled(before); attempt++) {
            proposeAnywhere();
            repairStep();
            advance(50 * MILLISECOND);
        }
        if (!isSettled(before)) {
            throw new AssertionError("The healed group does not commit: " + describe());
        }
    }

    private void act() {
        proposeAnywhere();
        repairStep();
        SimulatedMember member = members.get(names.get(random.nextInt(names.size())));
        switch (random.nextInt(30)) {
            case 0 -> crash(member);
            case 1 -> member.freeze((50 + random.nextInt(600)) * MILLISECOND);
            case 2 -> isolate(member.self.name());
            case 3 -> cut.add(new Link(member.self.name(), names.get(random.nextInt(names.size()))));
            case 4 -> healSometimes();
            case 5 -> cutLeaderFromOne();
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

    private void healSometimes() {
        if (random.nextInt(4) != 0) {
            cut.clear();
        }
    }

    private void cutLeaderFromOne() {
        VmName to = names.get(random.nextInt(names.size()));
        members.values().stream().filter(SimulatedMember::isLeaseHeld).forEach(leader -> {
            cut.add(new Link(leader.self.name(), to));
            schedule(random.nextInt(400) * MILLISECOND, () -> isolate(leader.self.name()));
        });
    }

    private void isolateLeader() {
        members.values().stream().filter(SimulatedMember::isLeaseHeld).forEach(leader -> isolate(leader.self.name()));
    }

    /** Crashes about every other member at the same moment, sometimes all of them. */
    private void failPower() {
        boolean all = random.nextInt(3) == 0;
        for (SimulatedMember member : List.copyOf(members.values())) {
            if (all || random.nextBoolean()) {
                crash(member);
            }
        }
    }

    private void proposeAnywhere() {
        for (SimulatedMember member : members.values()) {
            if (member.isRunning() && member.consensus.role() == Role.LEADER) {
                lastId++;
                member.handle(new Input.Propose(lastId, nowNanos / MILLISECOND, ByteString.copyFromUtf8("c" + lastId)));
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
        int process = member.generation;
        schedule((long) random.nextInt(500) * MILLISECOND, () -> {
            if (member.generation == process && members.get(member.self.name()) == member) {
                member.start(survived);
            }
        });
    }

    private void isolate(VmName name) {
        for (VmName other : names) {
            cut.add(new Link(name, other));
            cut.add(new Link(other, name));
        }
    }

    /** Empties a disk, unless an earlier loss is not repaired; the VM comes back empty. */
    private void loseDisk(SimulatedMember member) {
        boolean allCaughtUp = members.values().stream().allMatch(other -> other.disk.isCaughtUp());
        if (repair.isPresent() || !allCaughtUp || random.nextInt(2) == 0) {
            return;
        }
        member.crash();
        boolean initial = member.self.equals(MemberId.initial("group", member.self.name()));
        if (initial && random.nextInt(3) == 0) {
            Members voters = Members.ofVoters(
                    names.stream().map(name -> MemberId.initial("group", name)).toList());
            add(member.self, voters);
            return;
        }
        MemberId replacement = new MemberId(member.self.name(), random.nextLong());
        add(replacement, Members.EMPTY);
        repair = Optional.of(new Repair(member.self, replacement));
    }

    /** Does the next step of the operator's repair at whoever leads. */
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

    private void heal() {
        advance(500 * MILLISECOND);
        cut.clear();
        lossRate = 0;
        duplicateRate = 0;
        slowDiskMillis = 1;
        advance(1000 * MILLISECOND);
    }

    private String describe() {
        StringBuilder text = new StringBuilder("repair=" + repair + " refusal=" + lastRefusal);
        members.values().forEach(member -> text.append("\n").append(member));
        return text.toString();
    }

    private boolean isSettled(long before) {
        return committed > before + 3
                && repair.isEmpty()
                && members.values().stream().allMatch(member -> member.applied > before);
    }

    private void advance(long nanos) {
        long end = nowNanos + nanos;
        while (!events.isEmpty() && events.peek().atNanos() <= end) {
            Timed next = events.remove();
            nowNanos = Math.max(nowNanos, next.atNanos());
            next.action().run();
        }
        nowNanos = end;
    }

    long committedIndex() {
        return committed;
    }

    long confirmedReads() {
        return confirmedReads;
    }

    long elections() {
        return leaders.size();
    }

    void checkElection(long term, MemberId leader) {
        MemberId earlier = leaders.putIfAbsent(term, leader);
        if (earlier != null && !earlier.equals(leader)) {
            throw new AssertionError("Two leaders in term " + term + ": " + earlier + " and " + leader);
        }
    }

    void checkState(long index, long checksum) {
        Long earlier = states.putIfAbsent(index, checksum);
        if (earlier != null && earlier != checksum) {
            throw new AssertionError("Members differ at index " + index);
        }
        committed = Math.max(committed, index);
    }

    void checkRead(Long required, long applied) {
        confirmedReads++;
        if (required == null || applied < required) {
            throw new AssertionError("Stale read: applied " + applied + " of " + required);
        }
    }

    void checkLeases() {
        List<SimulatedMember> holders =
                members.values().stream().filter(SimulatedMember::isLeaseHeld).toList();
        if (holders.size() > 1) {
            throw new AssertionError("Two members hold the lease");
        }
        for (SimulatedMember holder : holders) {
            if (holder.applied < committed) {
                throw new AssertionError("The leader's state is stale: " + holder.applied + " of " + committed);
            }
        }
    }
}
