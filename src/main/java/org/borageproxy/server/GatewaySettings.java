package org.borageproxy.server;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.borageproxy.settings.Endpoint;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;
import org.borageproxy.warmup.WarmUpShares;

/**
 * Settings of a VM that communicates with callers, operators and backend servers over an external protocol. VMs are
 * named by their IP addresses and all listen for other VMs on the same port, so that a seed's IP address is enough to
 * reach it. Immutable and thread safe.
 *
 * @param vm the name of this VM and the address at which other VMs reach it
 * @param label the name that the deployment gives this VM, used in logs and orders
 * @param callerEndpoint the address for callers; empty on a VM that serves none
 * @param readinessEndpoint the address for readiness checks of the load balancer; empty to serve none
 * @param controlEndpoint the address for operators and backend servers; empty on a VM that serves none
 * @param metricsEndpoint the address at which metrics are read; empty to serve none
 * @param dataFolder the folder of the durable state; empty on a VM outside the control group
 * @param isFirstStart whether the whole fleet starts for the first time
 * @param seeds the control VMs from which this VM discovers the others
 * @param bounds limits that apply to the whole fleet
 * @param zones the region of each availability zone; empty if the deployment names none
 */
public record GatewaySettings(
        VmAddress vm,
        String label,
        Optional<Endpoint> callerEndpoint,
        Optional<Endpoint> readinessEndpoint,
        Optional<Endpoint> controlEndpoint,
        Optional<Endpoint> metricsEndpoint,
        Optional<Path> dataFolder,
        boolean isFirstStart,
        List<VmName> seeds,
        FleetBounds bounds,
        Map<AvailabilityZone, String> zones) {

    /** Copies the seeds and the zones. */
    public GatewaySettings {
        seeds = List.copyOf(seeds);
        zones = Map.copyOf(zones);
    }

    /**
     * Limits that apply to the whole fleet. Immutable and thread safe.
     *
     * @param toleratedVmFailures the number of simultaneous failures of control VMs to tolerate
     * @param gracePeriodMillis the maximum time from the request to stop until the process exits, in milliseconds
     * @param retryRatio the number of permitted retries for each request
     * @param retryBurst the number of permitted retries beyond the ratio, over all VMs
     * @param handoverDelayMillis the time after an election before the new leader sends orders to engines, reserved for
     *     orders of the previous leader, in milliseconds
     * @param catchUpMillis the time after its start within which the successor of a lost control VM replaces it, in
     *     milliseconds
     * @param publicationDelayMillis the time after the acknowledgement of a publication from which entries obey it, in
     *     milliseconds
     * @param coldOverage the factor by which the requests to a cold server may exceed its rate in a second
     * @param coldSlack the number of requests beyond that factor which a cold server may get in a second
     */
    public record FleetBounds(
            int toleratedVmFailures,
            long gracePeriodMillis,
            double retryRatio,
            double retryBurst,
            long handoverDelayMillis,
            long catchUpMillis,
            long publicationDelayMillis,
            double coldOverage,
            double coldSlack) {

        /**
         * Returns how the requests that cold servers take are divided.
         *
         * @return the shares of the coordinator and of the entries
         */
        public WarmUpShares warmUpShares() {
            return WarmUpShares.within(coldOverage, coldSlack);
        }

        /**
         * Returns the number of voters that keeps a quorum through the tolerated failures.
         *
         * @return an odd number
         */
        public int targetVoterCount() {
            return 2 * toleratedVmFailures + 1;
        }
    }
}
