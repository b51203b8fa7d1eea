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
 * The addresses of all VMs: those of the control group from the settings, the others as they registered. An address
 * from the settings holds against a registered one. Safe for use by any thread; the table is replaced as a whole.
 */
final class FleetDirectory implements VmDirectory {

    /** The addresses from the settings by name. */
    private final Map<VmName, VmAddress> configured = new LinkedHashMap<>();
    /** All addresses by name. */
    private volatile Map<VmName, VmAddress> all;

    /**
     * Creates a directory.
     *
     * @param self this VM
     * @param controlVms the VMs of the control group
     */
    FleetDirectory(VmAddress self, List<VmAddress> controlVms) {
        controlVms.forEach(vm -> configured.put(vm.name(), vm));
        configured.putIfAbsent(self.name(), self);
        all = Map.copyOf(configured);
    }

    /**
     * Takes the VMs that have registered.
     *
     * @param registered their addresses
     */
    void update(List<VmAddress> registered) {
        Map<VmName, VmAddress> merged = new LinkedHashMap<>();
        registered.forEach(vm -> merged.put(vm.name(), vm));
        merged.putAll(configured);
        all = Map.copyOf(merged);
    }

    @Override
    public Optional<VmAddress> find(VmName name) {
        return Optional.ofNullable(all.get(name));
    }

    /**
     * Returns the names of all VMs.
     *
     * @return the names in order
     */
    List<VmName> names() {
        return all.keySet().stream().sorted().toList();
    }

    /**
     * Returns the names of all VMs but one.
     *
     * @param excluded the VM to leave out
     * @return the names in order
     */
    List<VmName> namesWithout(VmName excluded) {
        List<VmName> names = new ArrayList<>(names());
        names.remove(excluded);
        return List.copyOf(names);
    }
}
