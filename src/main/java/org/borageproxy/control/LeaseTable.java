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
 * Leases of duties. The table holds no times: a duty gets a new holder only when it is released, or when a request
 * names the renewal that a control VM observed to be expired on its own monotonic clock. The epoch of a duty, its
 * fencing token, increases with each grant, its renewal number with each grant or renewal. Guarded by the lock of
 * {@link ControlState}.
 */
final class LeaseTable {

    private final WatchedRecords records;

    /** Leases by duty, including released ones. */
    private final Map<String, LeaseState> leases = new HashMap<>();

    LeaseTable(WatchedRecords records) {
        this.records = records;
    }

    /** Lists the leases, including released ones. */
    List<LeaseState> all() {
        return new ArrayList<>(leases.values());
    }

    /** Whether an epoch is the latest of a duty and its lease has not been released. */
    boolean isCurrent(String duty, long epoch) {
        LeaseState lease = leases.get(duty);
        return lease != null && !lease.getFree() && lease.getEpoch() == epoch;
    }

    /** Returns the latest epoch of a duty, zero if it has never been leased. */
    long epochOf(String duty) {
        LeaseState lease = leases.get(duty);
        return lease == null ? 0 : lease.getEpoch();
    }

    /**
     * Grants, renews or refuses a lease. A session that holds the lease renews it under the same epoch; a renewal is
     * not published to the watching VMs.
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
     * Releases a duty if its holder asks, or if its latest renewal is the one that was observed to be expired.
     * Idempotent.
     */
    Reply release(ReleaseLease command) {
        LeaseState current = leases.get(command.getDuty());
        if (current != null && current.getEpoch() == command.getEpoch() && mayRelease(command, current)) {
            put(current.toBuilder().setFree(true).build());
        }
        return Reply.newBuilder().setDone(Done.getDefaultInstance()).build();
    }

    /**
     * Whether a request may release a lease: its holder may, and the leader may if the lease has not been renewed since
     * the leader observed its expiry.
     */
    private static boolean mayRelease(ReleaseLease command, LeaseState current) {
        if (command.getExpiredRenewal() != 0) {
            return command.getExpiredRenewal() == current.getRenewal();
        }
        return current.getSession().equals(command.getSession());
    }

    /** Adds the table to a snapshot. */
    void save(ControlSnapshot.Builder snapshot) {
        snapshot.addAllLeases(leases.values());
    }

    /** Replaces the table with the content of a snapshot. */
    void load(ControlSnapshot snapshot) {
        leases.clear();
        snapshot.getLeasesList().forEach(lease -> leases.put(lease.getDuty(), lease));
    }

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

    /** Stores a lease and publishes it to the watching VMs, without its session and renewal number. */
    private void put(LeaseState lease) {
        leases.put(lease.getDuty(), lease);
        LeaseState published = lease.toBuilder().clearSession().clearRenewal().build();
        records.put(Item.newBuilder().setName("lease/" + lease.getDuty()).setLease(published));
    }

    private static Reply reply(LeaseState lease, boolean isGranted) {
        return Reply.newBuilder()
                .setLease(LeaseReply.newBuilder()
                        .setGranted(isGranted)
                        .setHolder(lease.getHolder())
                        .setEpoch(lease.getEpoch()))
                .build();
    }
}
