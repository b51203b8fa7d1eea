package org.borageproxy.control;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import org.borageproxy.vm.VmName;

/**
 * What one VM knows of the leader of the control group. The view of its own member, if it has one, is current within
 * the time of an election; the presumption, which comes from earlier answers, may be older. Thread safe.
 */
final class LeaderView {

    private final Supplier<Optional<VmName>> memberView;

    private final AtomicReference<Optional<VmName>> presumed = new AtomicReference<>(Optional.empty());

    /**
     * Creates a view.
     *
     * @param memberView supplies the leader that this VM's member follows; empty if it knows none or there is no member
     */
    LeaderView(Supplier<Optional<VmName>> memberView) {
        this.memberView = memberView;
    }

    /** Returns the leader that this VM's member follows. */
    Optional<VmName> memberLeader() {
        return memberView.get();
    }

    /** Returns the leader according to earlier answers. */
    Optional<VmName> presumed() {
        return presumed.get();
    }

    void recordReply(VmName target) {
        presumed.set(Optional.of(target));
    }

    /** Records an attempt without a reply. A VM that was presumed to lead is not any more. */
    void recordNoReply(VmName target, Optional<VmName> hint) {
        if (hint.isPresent()) {
            presumed.set(hint);
        } else {
            presumed.updateAndGet(current -> current.filter(vm -> !vm.equals(target)));
        }
    }
}
