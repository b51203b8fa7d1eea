package org.borageproxy.vm;

/**
 * Where a VM listens for other VMs. Immutable and thread safe.
 *
 * @param name the VM's name
 * @param zone the availability zone the VM stands in
 * @param host the IP address for messages between VMs
 * @param port the TCP port for messages between VMs
 */
public record VmAddress(VmName name, AvailabilityZone zone, String host, int port) {

    /** The largest TCP port. */
    private static final int LARGEST_PORT = 65_535;

    /** Refuses a port outside the TCP range. */
    public VmAddress {
        if (port < 1 || port > LARGEST_PORT) {
            throw new IllegalArgumentException("Port out of range: " + port);
        }
    }
}
