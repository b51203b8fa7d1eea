package org.borageproxy.server;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.borageproxy.settings.Endpoint;
import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;

/**
 * The settings of a VM whose callers, operators and backend servers speak an outside protocol. VMs are named by their
 * IP addresses and all listen for one another on the same port, so that a seed's address is enough to reach it.
 * Immutable and thread safe.
 *
 * @param vm this VM and the address at which other VMs reach it
 * @param label the VM's name in the outside world, for logs and orders
 * @param callers where callers connect; empty on a VM that serves none
 * @param readiness where the balancer asks whether this VM takes callers
 * @param control where operators and backend servers connect; empty on a VM that serves none
 * @param metrics where metrics are read
 * @param dataFolder the folder of the durable state; empty on a VM outside the control group
 * @param founds whether the whole fleet starts for the first time
 * @param seeds control VMs by which the others are found
 * @param bounds the bounds that the fleet keeps
 */
public record GatewaySettings(
        VmAddress vm,
        String label,
        Optional<Endpoint> callers,
        Optional<Endpoint> readiness,
        Optional<Endpoint> control,
        Optional<Endpoint> metrics,
        Optional<Path> dataFolder,
        boolean founds,
        List<VmName> seeds,
        FleetBounds bounds) {

    /** Copies the seeds. */
    public GatewaySettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * The bounds that the fleet keeps. Immutable and thread safe.
     *
     * @param lostVms how many control VMs may be lost at once
     * @param graceMillis the time from the request to stop to the end of the process, in milliseconds
     * @param retryShare retries allowed for each request
     * @param retrySlack retries allowed beyond the share, over all VMs
     * @param holderTurnMillis the time that a new holder of a duty leaves to the one before, in milliseconds
     */
    public record FleetBounds(
            int lostVms, long graceMillis, double retryShare, double retrySlack, long holderTurnMillis) {

        /**
         * Returns the number of voters that bears the losses.
         *
         * @return an odd number
         */
        public int wantedVoters() {
            return 2 * lostVms + 1;
        }
    }
}
