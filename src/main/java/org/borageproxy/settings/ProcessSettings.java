package org.borageproxy.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.borageproxy.vm.VmAddress;

/**
 * The settings of one process. Immutable and thread safe.
 *
 * @param vm the name, availability zone and address of this VM
 * @param callerEndpoint the endpoint for callers; empty if this VM accepts no requests
 * @param operatorEndpoint the endpoint for operators
 * @param announcementEndpoint the endpoint at which backend servers announce themselves
 * @param dataFolder the folder of the control group's durable state; empty if this VM is not in the control group
 * @param controlGroup the identity of the control group; a group that is created anew has a new one
 * @param controlVms the VMs of the control group
 * @param credentials the secrets
 * @param shutdown the time limits of a shutdown
 */
public record ProcessSettings(
        VmAddress vm,
        Optional<Endpoint> callerEndpoint,
        Endpoint operatorEndpoint,
        Endpoint announcementEndpoint,
        Optional<Path> dataFolder,
        String controlGroup,
        List<VmAddress> controlVms,
        Credentials credentials,
        ShutdownSettings shutdown) {

    /** Creates settings from an unmodifiable copy of the list of VMs. */
    public ProcessSettings {
        controlVms = List.copyOf(controlVms);
    }

    /**
     * Returns whether this VM is in the control group.
     *
     * @return {@code true} if it has a folder for durable state
     */
    public boolean isControlVm() {
        return dataFolder.isPresent();
    }
}
