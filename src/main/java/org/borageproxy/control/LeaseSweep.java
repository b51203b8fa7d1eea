package org.borageproxy.control;

import java.time.Duration;

import org.borageproxy.log.ReplicatedLog;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.LeaseState;
import org.borageproxy.wire.proto.ControlProtocol.ReleaseLease;

/**
 * Frees on the leader the duties whose holders have stopped to renew, so that every VM hears that they are free. A
 * renewal that is applied first makes the release have no effect. Safe for use by any thread.
 */
public final class LeaseSweep {

    /** The time allowed to a release. */
    private static final Duration PATIENCE = Duration.ofMillis(1000);

    /** This VM's member of the control group. */
    private final ReplicatedLog log;

    /** The state that the log replicates. */
    private final ControlState state;

    /** The clock. */
    private final MonotonicClock clock;

    /** Measures for how long leases were not renewed. */
    private final LeaseObserver observer = new LeaseObserver();

    /**
     * Creates a sweep.
     *
     * @param log this VM's member of the control group
     * @param state the state that the log replicates
     * @param clock the clock
     */
    public LeaseSweep(ReplicatedLog log, ControlState state, MonotonicClock clock) {
        this.log = log;
        this.state = state;
        this.clock = clock;
    }

    /** Frees the duties whose leases have run out; does nothing on a VM that does not lead. */
    public void sweep() {
        if (!log.isLeader()) {
            return;
        }
        long nowNanos = clock.nanoTime();
        for (LeaseState lease : state.leases()) {
            if (!lease.getFree() && observer.hasRunOut(lease.getDuty(), lease.getRenewal(), nowNanos)) {
                log.propose(release(lease).toByteString(), Deadline.after(nowNanos, PATIENCE));
            }
        }
    }

    /**
     * Returns the command that frees a duty unless its lease was renewed meanwhile.
     *
     * @param lease the lease
     * @return the command
     */
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
