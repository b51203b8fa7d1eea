package org.borageproxy.control;

import java.util.TreeMap;

import org.borageproxy.lease.Duty;
import org.borageproxy.wire.proto.ControlProtocol.ControlSnapshot;
import org.borageproxy.wire.proto.ControlProtocol.Done;
import org.borageproxy.wire.proto.ControlProtocol.Fenced;
import org.borageproxy.wire.proto.ControlProtocol.IntentRecord;
import org.borageproxy.wire.proto.ControlProtocol.Intents;
import org.borageproxy.wire.proto.ControlProtocol.Reply;
import org.borageproxy.wire.proto.ControlProtocol.ResolveIntents;

/**
 * Open intents of orders to backend servers. Numbers increase across all holders of the placement duty, and only the
 * current holder changes the ledger. Guarded by the lock of {@link ControlState}.
 */
final class IntentLedger {

    /** Leases whose epochs fence changes. */
    private final LeaseTable leases;

    /** Open intents by number. */
    private final TreeMap<Long, IntentRecord> intents = new TreeMap<>();

    /** Number assigned last. */
    private long lastNumber;

    IntentLedger(LeaseTable leases) {
        this.leases = leases;
    }

    /**
     * Records an intent under a new number; the number of the argument is ignored. Replies that the caller is fenced if
     * its epoch is not current.
     */
    Reply record(IntentRecord intent) {
        if (!leases.isCurrent(Duty.PLACEMENT.name(), intent.getEpoch())) {
            return fenced();
        }
        lastNumber++;
        IntentRecord numbered = intent.toBuilder().setNumber(lastNumber).build();
        intents.put(lastNumber, numbered);
        return Reply.newBuilder().setIntent(numbered).build();
    }

    /** Removes resolved intents. Idempotent; replies that the caller is fenced if its epoch is not current. */
    Reply resolve(ResolveIntents command) {
        if (!leases.isCurrent(Duty.PLACEMENT.name(), command.getEpoch())) {
            return fenced();
        }
        command.getNumbersList().forEach(intents::remove);
        return Reply.newBuilder().setDone(Done.getDefaultInstance()).build();
    }

    /** Replies with the open intents in order of their numbers. */
    Reply read() {
        return Reply.newBuilder()
                .setIntents(Intents.newBuilder().addAllIntents(intents.values()))
                .build();
    }

    /** Adds the ledger to a snapshot. */
    void save(ControlSnapshot.Builder snapshot) {
        snapshot.setLastIntentNumber(lastNumber).addAllIntents(intents.values());
    }

    /** Replaces the ledger with that of a snapshot. */
    void load(ControlSnapshot snapshot) {
        intents.clear();
        lastNumber = snapshot.getLastIntentNumber();
        snapshot.getIntentsList().forEach(intent -> intents.put(intent.getNumber(), intent));
    }

    private Reply fenced() {
        return Reply.newBuilder()
                .setFenced(Fenced.newBuilder().setCurrentEpoch(leases.epochOf(Duty.PLACEMENT.name())))
                .build();
    }
}
