package org.borageproxy.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.borageproxy.vm.VmAddress;

/**
 * The settings of one process. Immutable and thread safe.
 *
 * @param vm the name, availability zone and address of this VM
 * @param callers where callers connect; empty if this VM is no entry
 * @param operators where operators connect
 * @param announcements where backend servers announce themselves
 * @param dataFolder the folder of the durable state; empty if this VM is not in the control group
 * @param group the identity of the control group, which changes when the group is created anew
 * @param controlVms the VMs of the control group
 * @param credentials the secrets
 * @param shutdown the time limits of a shutdown
 */
public record ProcessSettings(
        VmAddress vm,
        Optional<Endpoint> callers,
        Endpoint operators,
        Endpoint announcements,
        Optional<Path> dataFolder,
        String group,
        List<VmAddress> controlVms,
        Credentials credentials,
        ShutdownSettings shutdown) {

    /** Copies the list of VMs. */
    public ProcessSettings {
        controlVms = List.copyOf(controlVms);
    }

    /**
     * Tells whether this VM is in the control group.
     *
     * @return {@code true} if it keeps durable state
     */
    public boolean isControl() {
        return dataFolder.isPresent();
    }
}
