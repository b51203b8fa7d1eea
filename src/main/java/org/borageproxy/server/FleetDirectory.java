package org.borageproxy.server;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.VmDirectory;

/**
 * Addresses of all VMs: those of the control group and of this VM from the settings, the others from their
 * registrations. An address from the settings takes precedence over a registered one. Thread safe; the table is
 * replaced as a whole.
 */
final class FleetDirectory implements VmDirectory {

    private final Map<VmName, VmAddress> configured = new LinkedHashMap<>();
    private volatile Map<VmName, VmAddress> addresses;

    /**
     * Creates a directory.
     *
     * @param self this VM
     * @param controlVms the VMs of the control group
     */
    FleetDirectory(VmAddress self, List<VmAddress> controlVms) {
        controlVms.forEach(vm -> configured.put(vm.name(), vm));
        configured.putIfAbsent(self.name(), self);
        addresses = Map.copyOf(configured);
    }

    /**
     * Replaces the registered addresses.
     *
     * @param registered the addresses of all registered VMs
     */
    void updateRegistered(List<VmAddress> registered) {
        Map<VmName, VmAddress> merged = new LinkedHashMap<>();
        registered.forEach(vm -> merged.put(vm.name(), vm));
        merged.putAll(configured);
        addresses = Map.copyOf(merged);
    }

    @Override
    public Optional<VmAddress> find(VmName name) {
        return Optional.ofNullable(addresses.get(name));
    }

    /**
     * Returns the names of all VMs.
     *
     * @return the names, sorted
     */
    List<VmName> names() {
        return addresses.keySet().stream().sorted().toList();
    }

    /**
     * Returns the names of all VMs but one.
     *
     * @param excluded the VM to leave out
     * @return the names, sorted
     */
    List<VmName> namesWithout(VmName excluded) {
        List<VmName> names = new ArrayList<>(names());
        names.remove(excluded);
        return List.copyOf(names);
    }
}
