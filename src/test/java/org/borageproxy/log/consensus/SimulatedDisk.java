package org.borageproxy.log.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

import org.borageproxy.wire.proto.LogProtocol.Entry;
import org.borageproxy.wire.proto.LogProtocol.HardState;
import org.borageproxy.wire.proto.LogProtocol.Snapshot;

/** A disk that loses writes that were not synced when its member crashes. */
final class SimulatedDisk {

    private final String group;

    private final MemberId self;

    private final Members initial;

    private final Deque<Effect.Persist> unsynced = new ArrayDeque<>();

    private final List<Entry> entries = new ArrayList<>();

    private HardState hardState = HardState.getDefaultInstance();

    private Snapshot snapshot = Snapshot.getDefaultInstance();

    SimulatedDisk(String group, MemberId self, Members initial) {
        this.group = group;
        this.self = self;
        this.initial = initial;
    }

    void write(Effect.Persist write) {
        unsynced.add(write);
    }

    /** Makes the oldest write durable and returns its number. */
    long sync() {
        Effect.Persist write = unsynced.remove();
        store(write);
        return write.writeNumber();
    }

    boolean isCaughtUp() {
        return hardState.getCaughtUp();
    }

    private void store(Effect.Persist write) {
        write.hardState().ifPresent(state -> hardState = state);
        write.snapshot().ifPresent(taken -> {
            snapshot = taken;
            if (write.replacesLog()) {
                entries.clear();
            }
            entries.removeIf(entry -> entry.getIndex() <= taken.getIndex());
        });
        write.entries().forEach(this::store);
    }

    private void store(Entry entry) {
        entries.removeIf(stored -> stored.getIndex() >= entry.getIndex());
        if (entry.getIndex() > snapshot.getIndex()) {
            entries.add(entry);
        }
    }

    /**
     * Crashes: a random number of the oldest unsynced writes survives; of the next one, the term and vote may survive.
     */
    RestoredState crash(Random random) {
        while (!unsynced.isEmpty() && random.nextInt(3) == 0) {
            store(unsynced.remove());
        }
        if (!unsynced.isEmpty() && random.nextBoolean()) {
            unsynced.remove().hardState().ifPresent(state -> hardState = state);
        }
        unsynced.clear();
        return new RestoredState(group, self, initial, hardState, snapshot, entries);
    }
}
