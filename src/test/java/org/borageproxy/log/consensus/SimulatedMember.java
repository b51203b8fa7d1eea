package org.borageproxy.log.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import com.google.protobuf.ByteString;
import org.borageproxy.time.Deadline;
import org.borageproxy.wire.proto.LogProtocol.Entry;

/** A member in a simulated process: it can crash, freeze and lose its disk, and its clock drifts. */
final class SimulatedMember {

    final MemberId self;

    final SimulatedDisk disk;

    /** How many local nanoseconds pass in a thousand. */
    private final long clockRate;

    private final GroupSimulation simulation;

    private final Random random;

    private final List<Effect.Send> held = new ArrayList<>();

    private final Map<Long, Long> reads = new HashMap<>();

    private final List<Input> delayed = new ArrayList<>();

    Consensus consensus;

    /** Rises with each start, so that events of an earlier process are dropped. */
    int generation;

    long applied;

    private long appliedSinceSnapshot;

    private long durableTicket;

    private long frozenUntil;

    private long checksum;

    SimulatedMember(MemberId self, SimulatedDisk disk, GroupSimulation simulation, Random random) {
        this.self = self;
        this.disk = disk;
        this.simulation = simulation;
        this.random = random;
        this.clockRate = 980 + random.nextInt(41);
    }

    long localNanos() {
        return simulation.nowNanos / 1000 * clockRate;
    }

    void start(RestoredState state) {
        generation++;
        held.clear();
        reads.clear();
        delayed.clear();
        durableTicket = 0;
        applied = 0;
        checksum = 0;
        appliedSinceSnapshot = 0;
        frozenUntil = 0;
        consensus = new Consensus(state, simulation.settings, new Random(random.nextLong()), localNanos());
        handle(Input.Tick.INSTANCE);
    }

    void crash() {
        generation++;
        consensus = null;
    }

    boolean isRunning() {
        return consensus != null;
    }

    void freeze(long nanos) {
        frozenUntil = simulation.nowNanos + nanos;
        int frozen = generation;
        simulation.schedule(nanos, () -> {
            if (frozen == generation) {
                handle(Input.Tick.INSTANCE);
            }
        });
    }

    boolean isLeaseHeld() {
        if (consensus == null) {
            return false;
        }
        Optional<Deadline> lease = consensus.leaseDeadline();
        return lease.isPresent() && !lease.get().hasPassed(localNanos());
    }

    void read(long id) {
        if (isRunning()) {
            reads.put(id, simulation.committedIndex());
            handle(new Input.ConfirmRead(id));
        }
    }

    void handle(Input input) {
        if (consensus == null) {
            return;
        }
        delayed.add(input);
        if (simulation.nowNanos < frozenUntil) {
            return;
        }
        List<Input> inputs = List.copyOf(delayed);
        delayed.clear();
        List<Effect> effects = consensus.handle(localNanos(), inputs);
        effects.forEach(this::execute);
        simulation.checkLeases();
        scheduleTick();
        if (appliedSinceSnapshot >= simulation.settings.snapshotThresholdEntries()) {
            appliedSinceSnapshot = 0;
            handle(new Input.SnapshotTaken(applied, ByteString.copyFromUtf8(applied + ":" + checksum)));
        }
    }

    private void scheduleTick() {
        int current = generation;
        Deadline wake = consensus.wakeDeadline();
        long wait = wake.remainingNanos(localNanos()) * 1000 / clockRate + 1000;
        simulation.schedule(wait, () -> {
            boolean due = current == generation && consensus.wakeDeadline().hasPassed(localNanos());
            if (due) {
                handle(Input.Tick.INSTANCE);
            }
        });
    }

    private void execute(Effect effect) {
        if (effect instanceof Effect.Send send) {
            if (send.requiredWrite() <= durableTicket) {
                simulation.send(this, send);
            } else {
                held.add(send);
            }
        } else if (effect instanceof Effect.Persist persist) {
            disk.write(persist);
            scheduleSync();
        } else if (effect instanceof Effect.Apply apply) {
            apply(apply.entry());
        } else if (effect instanceof Effect.Restore restore) {
            String[] state = restore.snapshot().getState().toStringUtf8().split(":");
            applied = Long.parseLong(state[0]);
            checksum = Long.parseLong(state[1]);
            simulation.checkState(applied, checksum);
        } else if (effect instanceof Effect.RoleChanged changed && changed.role() == Role.LEADER) {
            simulation.checkElection(changed.term(), self);
        } else if (effect instanceof Effect.ReadConfirmed confirmed) {
            simulation.checkRead(reads.remove(confirmed.id()), applied);
        } else if (effect instanceof Effect.ChangeRefused refused) {
            simulation.lastRefusal = refused.refusal();
        }
    }

    private void scheduleSync() {
        int current = generation;
        simulation.schedule(simulation.syncDelayNanos(), () -> {
            if (current == generation) {
                durableTicket = disk.sync();
                List<Effect.Send> released = held.stream()
                        .filter(send -> send.requiredWrite() <= durableTicket)
                        .toList();
                held.removeAll(released);
                released.forEach(send -> simulation.send(this, send));
                handle(new Input.Synced(durableTicket));
            }
        });
    }

    private void apply(Entry entry) {
        if (entry.getIndex() != applied + 1) {
            throw new AssertionError("Applied " + entry.getIndex() + " after " + applied);
        }
        applied = entry.getIndex();
        appliedSinceSnapshot++;
        checksum = checksum * 31 + entry.toByteString().hashCode();
        simulation.checkState(applied, checksum);
    }

    @Override
    public String toString() {
        if (consensus == null) {
            return self + " down";
        }
        return self + " " + consensus.role() + " term=" + consensus.term() + " commit=" + consensus.commitIndex()
                + " last="
                + consensus.lastIndex() + " caughtUp=" + disk.isCaughtUp() + " leader=" + consensus.leader()
                + " members=" + consensus.members();
    }
}
