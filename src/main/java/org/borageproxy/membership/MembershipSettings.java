package org.borageproxy.membership;

import java.time.Duration;

/**
 * The times from which the deadlines of backend servers are computed. Immutable and thread safe.
 *
 * @param missedHeartbeats the number of missed heartbeats after which a backend server is suspect
 * @param spreadAllowance the time added for the way of a heartbeat over other VMs
 * @param hideAfter the silence after which a suspect backend server is shown no more
 * @param forgetAfter the silence after which nothing of a backend server is kept
 */
public record MembershipSettings(
        int missedHeartbeats, Duration spreadAllowance, Duration hideAfter, Duration forgetAfter) {

    /** Settings for fleets within one region. */
    public static final MembershipSettings DEFAULT =
            new MembershipSettings(3, Duration.ofMillis(750), Duration.ofSeconds(30), Duration.ofMinutes(10));

    /**
     * Returns the silence after which a backend server is suspect.
     *
     * @param intervalMillis the time between its announcements, in milliseconds
     * @return the silence
     */
    Duration suspectAfter(int intervalMillis) {
        return spreadAllowance.plusMillis((long) missedHeartbeats * intervalMillis);
    }
}
