package org.borageproxy.membership;

import java.util.List;
import java.util.function.Supplier;

import org.borageproxy.vm.VmName;

/**
 * The VMs with which one VM exchanges the records of backend servers. Immutable; thread safe if the suppliers are.
 *
 * @param peers supplies the VMs that receive all updates and answer digests, without this one
 * @param observers supplies the VMs that receive only changes of presence immediately, and heartbeats in rare batches
 * @param isObserver whether this VM is such an observer of its peers
 */
public record MembershipPeers(Supplier<List<VmName>> peers, Supplier<List<VmName>> observers, boolean isObserver) {

    /**
     * Returns the peers of a VM that exchanges all updates with all other VMs.
     *
     * @param others supplies the other VMs
     * @return the peers
     */
    public static MembershipPeers exchangingWith(Supplier<List<VmName>> others) {
        return new MembershipPeers(others, List::of, false);
    }

    /**
     * Returns the peers of a VM to which backend servers announce themselves.
     *
     * @param others supplies the other VMs that receive announcements
     * @param observers supplies the VMs that receive none
     * @return the peers
     */
    public static MembershipPeers announcingTo(Supplier<List<VmName>> others, Supplier<List<VmName>> observers) {
        return new MembershipPeers(others, observers, false);
    }

    /**
     * Returns the peers of a VM that receives no announcements and does not use the models that they list.
     *
     * @param announced supplies the VMs that receive announcements
     * @return the peers
     */
    public static MembershipPeers observing(Supplier<List<VmName>> announced) {
        return new MembershipPeers(announced, List::of, true);
    }
}
