package org.borageproxy.log;

import java.util.function.LongSupplier;

import org.borageproxy.event.EventRecorder;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.wire.VmNetwork;

/**
 * The environment in which a member of the control group runs. Immutable and thread safe.
 *
 * @param network exchanges messages with the other members
 * @param stateMachine the state machine to which committed commands are applied
 * @param clock the monotonic clock for leases and timeouts
 * @param wallClockMillis the wall clock in milliseconds since 1970
 * @param events records state transitions for operators
 */
public record MemberContext(
        VmNetwork network,
        StateMachine stateMachine,
        MonotonicClock clock,
        LongSupplier wallClockMillis,
        EventRecorder events) {}
