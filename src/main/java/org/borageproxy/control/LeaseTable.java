package org.borageproxy.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.borageproxy.wire.proto.ControlProtocol.AcquireLease;
import org.borageproxy.wire.proto.ControlProtocol.ControlSnapshot;
import org.borageproxy.wire.proto.ControlProtocol.Done;
import org.borageproxy.wire.proto.ControlProtocol.Item;
import org.borageproxy.wire.proto.ControlProtocol.LeaseReply;
import org.borageproxy.wire.proto.ControlProtocol.LeaseState;
import org.borageproxy.wire.proto.ControlProtocol.ReleaseLease;
import org.borageproxy.wire.proto.ControlProtocol.Reply;

/**
 * The leases of duties. The table holds no times: a duty changes hands only when it is released, or when a control VM
 * states the renewal that it has seen unrenewed for longer than a lease on its own monotonic clock. Epochs of a duty
 * rise with each change of holder, renewals with each grant. Guarded by the lock of {@link ControlState}.
 */
final class LeaseTable {

    /** The records that every VM holds. */
    private final SpreadTable spread;

    /** The leases by duty, released ones included. */
    private final Map<String, LeaseState> leases = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param spread the records that every VM holds
     */
    LeaseTable(SpreadTable spread) {
        this.spread = spread;
    }

    /**
     * Returns the leases.
     *
     * @return the leases, released ones included
     */
    List<LeaseState> all() {
        return new ArrayList<>(leases.values());
    }

    /**
     * Tells whether an epoch is the newest of a duty.
     *
     * @param duty the duty's name
     * @param epoch the epoch
     * @return {@code true} if no newer holder exists
     */
    boolean isCurrent(String duty, long epoch) {
        LeaseState lease = leases.get(duty);
        return lease != null && !lease.getFree() && lease.getEpoch() == epoch;
    }

    /**
     * Returns the newest epoch of a duty.
     *
     * @param duty the duty's name
     * @return the epoch, zero if the duty was never held
     */
    long epochOf(String duty) {
        LeaseState lease = leases.get(duty);
        return lease == null ? 0 : lease.getEpoch();
    }

    /**
     * Grants, renews or refuses a lease.
     *
     * @param command the request
     * @return the reply
     */
    Reply acquire(AcquireLease command) {
        LeaseState current = leases.get(command.getDuty());
        if (current == null) {
            return grant(
                    command, LeaseState.newBuilder().setDuty(command.getDuty()).build());
        }
        if (current.getFree() || command.getExpiredRenewal() == current.getRenewal()) {
            return grant(command, current);
        }
        if (current.getSession().equals(command.getSession())) {
            LeaseState renewed =
                    current.toBuilder().setRenewal(current.getRenewal() + 1).build();
            leases.put(command.getDuty(), renewed);
            return reply(renewed, true);
        }
        return reply(current, false);
    }

    /**
     * Frees a duty, if the caller still holds it or its newest renewal has run out.
     *
     * @param command the request
     * @return the reply
     */
    Reply release(ReleaseLease command) {
        LeaseState current = leases.get(command.getDuty());
        if (current != null && current.getEpoch() == command.getEpoch() && mayFree(command, current)) {
            put(current.toBuilder().setFree(true).build());
        }
        return Reply.newBuilder().setDone(Done.getDefaultInstance()).build();
    }

    /**
     * Tells whether a request may free a lease of its epoch.
     *
     * @param command the request
     * @param current the lease
     * @return {@code true} if its holder asks, or if nothing was renewed since the leader saw it run out
     */
    private static boolean mayFree(ReleaseLease command, LeaseState current) {
        if (command.getExpiredRenewal() != 0) {
            return command.getExpiredRenewal() == current.getRenewal();
        }
        return current.getSession().equals(command.getSession());
    }

    /**
     * Adds the table to a snapshot.
     *
     * @param snapshot the snapshot
     */
    void save(ControlSnapshot.Builder snapshot) {
        snapshot.addAllLeases(leases.values());
    }

    /**
     * Replaces the table by that of a snapshot.
     *
     * @param snapshot the snapshot
     */
    void load(ControlSnapshot snapshot) {
        leases.clear();
        snapshot.getLeasesList().forEach(lease -> leases.put(lease.getDuty(), lease));
    }

    /**
     * Gives a duty to a new holder.
     *
     * @param command the request
     * @param current the lease until now
     * @return the reply
     */
    private Reply grant(AcquireLease command, LeaseState current) {
        LeaseState granted = current.toBuilder()
                .setHolder(command.getHolder())
                .setSession(command.getSession())
                .setEpoch(current.getEpoch() + 1)
                .setRenewal(current.getRenewal() + 1)
                .setFree(false)
                .build();
        put(granted);
        return reply(granted, true);
    }

    /**
     * Sets a lease and tells every VM of it.
     *
     * @param lease the lease
     */
    private void put(LeaseState lease) {
        leases.put(lease.getDuty(), lease);
        LeaseState told = lease.toBuilder().clearSession().clearRenewal().build();
        spread.put(Item.newBuilder().setName("lease/" + lease.getDuty()).setLease(told));
    }

    /**
     * Returns the reply to a request for a lease.
     *
     * @param lease the lease
     * @param isGranted whether the caller holds it
     * @return the reply
     */
    private static Reply reply(LeaseState lease, boolean isGranted) {
        return Reply.newBuilder()
                .setLease(LeaseReply.newBuilder()
                        .setGranted(isGranted)
                        .setHolder(lease.getHolder())
                        .setEpoch(lease.getEpoch()))
                .build();
    }
}
