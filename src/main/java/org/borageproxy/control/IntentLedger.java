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
 * The open intents of orders to backend servers. Numbers rise over all owners of the placement duty, and only the
 * newest owner changes the ledger. Guarded by the lock of {@link ControlState}.
 */
final class IntentLedger {

    /** The leases, which fence the ledger. */
    private final LeaseTable leases;

    /** The open intents by number. */
    private final TreeMap<Long, IntentRecord> intents = new TreeMap<>();

    /** The number given last. */
    private long lastNumber;

    /**
     * Creates an empty ledger.
     *
     * @param leases the leases
     */
    IntentLedger(LeaseTable leases) {
        this.leases = leases;
    }

    /**
     * Records an intent.
     *
     * @param intent the intent; its number is ignored
     * @return the reply
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

    /**
     * Removes intents.
     *
     * @param command the intents
     * @return the reply
     */
    Reply resolve(ResolveIntents command) {
        if (!leases.isCurrent(Duty.PLACEMENT.name(), command.getEpoch())) {
            return fenced();
        }
        command.getNumbersList().forEach(intents::remove);
        return Reply.newBuilder().setDone(Done.getDefaultInstance()).build();
    }

    /**
     * Reads the open intents.
     *
     * @return the reply
     */
    Reply read() {
        return Reply.newBuilder()
                .setIntents(Intents.newBuilder().addAllIntents(intents.values()))
                .build();
    }

    /**
     * Adds the ledger to a snapshot.
     *
     * @param snapshot the snapshot
     */
    void save(ControlSnapshot.Builder snapshot) {
        snapshot.setLastIntentNumber(lastNumber).addAllIntents(intents.values());
    }

    /**
     * Replaces the ledger by that of a snapshot.
     *
     * @param snapshot the snapshot
     */
    void load(ControlSnapshot snapshot) {
        intents.clear();
        lastNumber = snapshot.getLastIntentNumber();
        snapshot.getIntentsList().forEach(intent -> intents.put(intent.getNumber(), intent));
    }

    /**
     * Returns the reply to an owner that was replaced.
     *
     * @return the reply
     */
    private Reply fenced() {
        return Reply.newBuilder()
                .setFenced(Fenced.newBuilder().setCurrentEpoch(leases.epochOf(Duty.PLACEMENT.name())))
                .build();
    }
}
