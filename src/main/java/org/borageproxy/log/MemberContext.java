package org.borageproxy.log;

import java.util.function.LongSupplier;

import org.borageproxy.event.EventRecorder;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.wire.VmNetwork;

/**
 * What a member of the control group works with. Immutable and thread safe.
 *
 * @param network sends messages to the other members
 * @param stateMachine what the log replicates
 * @param clock the clock of leases and timeouts
 * @param wallClockMillis the wall clock in milliseconds since 1970
 * @param events takes the events of note
 */
public record MemberContext(
        VmNetwork network,
        StateMachine stateMachine,
        MonotonicClock clock,
        LongSupplier wallClockMillis,
        EventRecorder events) {}
