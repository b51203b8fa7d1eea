package org.borageproxy.control;

import java.time.Duration;

import org.borageproxy.log.ReplicatedLog;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.LeaseState;
import org.borageproxy.wire.proto.ControlProtocol.ReleaseLease;

/**
 * Releases expired leases on the leader, so that all VMs are notified of free duties. The release names the renewal
 * that expired and has no effect if the lease has been renewed before it is applied. Thread safe.
 */
public final class LeaseSweep {

    /** Maximum time for a proposal. */
    private static final Duration PROPOSAL_TIMEOUT = Duration.ofMillis(1000);

    private final ReplicatedLog log;
    private final ControlState state;
    private final MonotonicClock clock;

    /** Detects expired leases. */
    private final LeaseObserver observer = new LeaseObserver();

    /**
     * Creates a sweep.
     *
     * @param log this VM's member of the control group
     * @param state the state that the log replicates
     * @param clock the monotonic clock
     */
    public LeaseSweep(ReplicatedLog log, ControlState state, MonotonicClock clock) {
        this.log = log;
        this.state = state;
        this.clock = clock;
    }

    /** Proposes the release of expired leases. Does nothing on a VM that is not the leader. */
    public void sweep() {
        if (!log.isLeader()) {
            return;
        }
        long nowNanos = clock.nanoTime();
        for (LeaseState lease : state.leases()) {
            if (!lease.getFree() && observer.detectExpiry(lease.getDuty(), lease.getRenewal(), nowNanos)) {
                log.propose(release(lease).toByteString(), Deadline.after(nowNanos, PROPOSAL_TIMEOUT));
            }
        }
    }

    private static Command release(LeaseState lease) {
        ReleaseLease.Builder body = ReleaseLease.newBuilder()
                .setDuty(lease.getDuty())
                .setEpoch(lease.getEpoch())
                .setExpiredRenewal(lease.getRenewal());
        return Command.newBuilder()
                .setIdentity("expired/" + lease.getDuty() + "/" + lease.getEpoch() + "/" + lease.getRenewal())
                .setReleaseLease(body)
                .build();
    }
}
