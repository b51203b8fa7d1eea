package org.borageproxy.saturation;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;

/**
 * Decides on the coordinator which saturated VMs withdraw from the load balancer: at most a part of the VMs at once,
 * and none while so many are saturated that the others could not take over their work. A withdrawal has a deadline,
 * which each report of the VM renews. A coordinator grants nothing until the withdrawals of an earlier one have
 * expired. Pure state in the time of the caller; not thread safe.
 */
public final class Withdrawals {

    /** Time from a report for which a withdrawal is valid; entries report several times as often. */
    public static final Duration VALIDITY = Duration.ofMillis(1500);
    /** Part of the VMs that may be withdrawn at once. */
    static final double MAX_WITHDRAWN_PART = 0.1;
    /** Part of the VMs from which saturation is that of the fleet. */
    static final double MAX_SATURATED_PART = 0.3;

    private final Map<VmName, Deadline> saturated = new HashMap<>();
    private final Map<VmName, Deadline> withdrawn = new HashMap<>();
    private long term = -1;
    private Deadline grantsFrom;

    /** Outcomes of a report. */
    public enum Decision {
        /** The VM serves callers. */
        SERVES,
        /** The VM is saturated, but too many others are saturated or withdrawn. */
        REFUSED,
        /** The VM is withdrawn until the deadline. */
        WITHDRAWN
    }

    /**
     * Decides on the report of a VM.
     *
     * @param vm the VM
     * @param isSaturated whether it reports that it is saturated
     * @param vmCount the number of VMs with a recent report, including this one
     * @param currentTerm the term of the coordinator
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return the decision, which is valid until the next report or for {@link #VALIDITY}
     */
    public Decision decide(VmName vm, boolean isSaturated, int vmCount, long currentTerm, long nowNanos) {
        beginTerm(currentTerm, nowNanos);
        removeExpired(nowNanos);
        if (!isSaturated) {
            saturated.remove(vm);
            withdrawn.remove(vm);
            return Decision.SERVES;
        }
        Deadline expiresAt = Deadline.after(nowNanos, VALIDITY);
        saturated.put(vm, expiresAt);
        boolean isGranted = withdrawn.containsKey(vm) || withdrawn.size() + 1 <= vmCount * MAX_WITHDRAWN_PART;
        boolean isOfFleet = saturated.size() > vmCount * MAX_SATURATED_PART;
        if (!isGranted || isOfFleet || !grantsFrom.hasPassed(nowNanos)) {
            withdrawn.remove(vm);
            return Decision.REFUSED;
        }
        withdrawn.put(vm, expiresAt);
        return Decision.WITHDRAWN;
    }

    private void beginTerm(long currentTerm, long nowNanos) {
        if (currentTerm != term) {
            term = currentTerm;
            saturated.clear();
            withdrawn.clear();
            grantsFrom = Deadline.after(nowNanos, VALIDITY);
        }
    }

    private void removeExpired(long nowNanos) {
        saturated.values().removeIf(expiresAt -> expiresAt.hasPassed(nowNanos));
        withdrawn.values().removeIf(expiresAt -> expiresAt.hasPassed(nowNanos));
    }

    /**
     * Returns the number of VMs that are withdrawn.
     *
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return the number
     */
    public int count(long nowNanos) {
        return (int) withdrawn.values().stream()
                .filter(expiresAt -> !expiresAt.hasPassed(nowNanos))
                .count();
    }
}
