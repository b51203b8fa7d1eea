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

/** A member in a simulated process, which can crash, be suspended and lose its disk, and whose clock drifts. */
final class SimulatedMember {

    final MemberId self;

    final SimulatedDisk disk;

    /** Local nanoseconds per 1000 nanoseconds of virtual time. */
    private final long clockRate;

    private final GroupSimulation simulation;

    private final Random random;

    private final List<Effect.Send> deferredSends = new ArrayList<>();

    private final Map<Long, Long> reads = new HashMap<>();

    private final List<Input> pendingInputs = new ArrayList<>();

    Consensus consensus;

    /** Incremented at each start and crash, so that events scheduled for an earlier process are dropped. */
    int generation;

    long appliedIndex;

    private long appliedSinceSnapshot;

    private long durableWriteNumber;

    private long suspendedUntilNanos;

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
        deferredSends.clear();
        reads.clear();
        pendingInputs.clear();
        durableWriteNumber = 0;
        appliedIndex = 0;
        checksum = 0;
        appliedSinceSnapshot = 0;
        suspendedUntilNanos = 0;
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

    void suspend(long nanos) {
        suspendedUntilNanos = simulation.nowNanos + nanos;
        int suspendedGeneration = generation;
        simulation.schedule(nanos, () -> {
            if (suspendedGeneration == generation) {
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
        pendingInputs.add(input);
        if (simulation.nowNanos < suspendedUntilNanos) {
            return;
        }
        List<Input> inputs = List.copyOf(pendingInputs);
        pendingInputs.clear();
        List<Effect> effects = consensus.handle(localNanos(), inputs);
        effects.forEach(this::execute);
        simulation.checkLeases();
        scheduleTick();
        if (appliedSinceSnapshot >= simulation.settings.snapshotThresholdEntries()) {
            appliedSinceSnapshot = 0;
            handle(new Input.SnapshotTaken(appliedIndex, ByteString.copyFromUtf8(appliedIndex + ":" + checksum)));
        }
    }

    private void scheduleTick() {
        int current = generation;
        Deadline nextDeadline = consensus.wakeDeadline();
        long waitNanos = nextDeadline.remainingNanos(localNanos()) * 1000 / clockRate + 1000;
        simulation.schedule(waitNanos, () -> {
            boolean isDue = current == generation && consensus.wakeDeadline().hasPassed(localNanos());
            if (isDue) {
                handle(Input.Tick.INSTANCE);
            }
        });
    }

    private void execute(Effect effect) {
        if (effect instanceof Effect.Send send) {
            if (send.requiredWrite() <= durableWriteNumber) {
                simulation.send(this, send);
            } else {
                deferredSends.add(send);
            }
        } else if (effect instanceof Effect.Persist persist) {
            disk.write(persist);
            scheduleSync();
        } else if (effect instanceof Effect.Apply apply) {
            apply(apply.entry());
        } else if (effect instanceof Effect.Restore restore) {
            String[] state = restore.snapshot().getState().toStringUtf8().split(":");
            appliedIndex = Long.parseLong(state[0]);
            checksum = Long.parseLong(state[1]);
            simulation.checkState(appliedIndex, checksum);
        } else if (effect instanceof Effect.RoleChanged changed && changed.role() == Role.LEADER) {
            simulation.checkElection(changed.term(), self);
        } else if (effect instanceof Effect.ReadConfirmed confirmed) {
            simulation.checkRead(reads.remove(confirmed.id()), appliedIndex);
        } else if (effect instanceof Effect.ChangeRefused refused) {
            simulation.lastRefusal = refused.refusal();
        }
    }

    private void scheduleSync() {
        int current = generation;
        simulation.schedule(simulation.syncDelayNanos(), () -> {
            if (current == generation) {
                durableWriteNumber = disk.sync();
                List<Effect.Send> released = deferredSends.stream()
                        .filter(send -> send.requiredWrite() <= durableWriteNumber)
                        .toList();
                deferredSends.removeAll(released);
                released.forEach(send -> simulation.send(this, send));
                handle(new Input.Synced(durableWriteNumber));
            }
        });
    }

    private void apply(Entry entry) {
        if (entry.getIndex() != appliedIndex + 1) {
            throw new AssertionError("Applied " + entry.getIndex() + " after " + appliedIndex);
        }
        appliedIndex = entry.getIndex();
        appliedSinceSnapshot++;
        checksum = checksum * 31 + entry.toByteString().hashCode();
        simulation.checkState(appliedIndex, checksum);
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
