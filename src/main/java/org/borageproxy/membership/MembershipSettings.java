package org.borageproxy.membership;

import java.time.Duration;

/**
 * Timeouts of the membership of backend servers. Immutable and thread safe.
 *
 * @param missedHeartbeats the number of missed heartbeats after which a backend server is suspect
 * @param propagationAllowance the additional time for the propagation of a heartbeat between VMs
 * @param hideAfter the silence after which a backend server is no longer listed
 * @param forgetAfter the silence after which the record of a backend server is removed
 */
public record MembershipSettings(
        int missedHeartbeats, Duration propagationAllowance, Duration hideAfter, Duration forgetAfter) {

    /** Settings for a fleet within one region. */
    public static final MembershipSettings DEFAULT =
            new MembershipSettings(3, Duration.ofMillis(750), Duration.ofSeconds(30), Duration.ofMinutes(10));

    /** Returns the silence after which a backend server with an announcement interval is suspect. */
    Duration suspectAfter(int intervalMillis) {
        return propagationAllowance.plusMillis((long) missedHeartbeats * intervalMillis);
    }
}
