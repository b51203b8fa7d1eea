package org.borageproxy.vm;

/**
 * The address at which a VM accepts connections of other VMs. Immutable and thread safe.
 *
 * @param name the VM's name
 * @param zone the availability zone in which the VM runs
 * @param host the IP address for messages between VMs
 * @param port the TCP port for messages between VMs, from 1 to 65535
 */
public record VmAddress(VmName name, AvailabilityZone zone, String host, int port) {

    private static final int MAX_PORT = 65_535;

    /** Rejects a port outside the TCP range with an {@link IllegalArgumentException}. */
    public VmAddress {
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("Port is not between 1 and 65535: " + port);
        }
    }
}
