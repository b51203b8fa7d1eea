package org.borageproxy.wire;

import java.util.Optional;

import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;

/** Resolves the addresses of VMs. Implementations are thread safe. */
@FunctionalInterface
public interface VmDirectory {

    /**
     * Returns the current address of a VM.
     *
     * @param name the VM's name
     * @return the address, empty if the VM is unknown
     */
    Optional<VmAddress> find(VmName name);
}
