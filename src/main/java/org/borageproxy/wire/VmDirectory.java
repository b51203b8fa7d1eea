package org.borageproxy.wire;

import java.util.Optional;

import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;

/** Finds the addresses of VMs. Implementations are safe for use by any thread. */
@FunctionalInterface
public interface VmDirectory {

    /**
     * Finds the address of a VM.
     *
     * @param name the VM's name
     * @return the address, empty if the VM is unknown
     */
    Optional<VmAddress> find(VmName name);
}
