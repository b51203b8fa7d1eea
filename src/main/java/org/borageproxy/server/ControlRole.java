package org.borageproxy.server;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.borageproxy.control.ControlClient;
import org.borageproxy.control.ControlService;
import org.borageproxy.control.ControlState;
import org.borageproxy.control.LeaseSweep;
import org.borageproxy.log.GroupMember;
import org.borageproxy.log.MemberContext;
import org.borageproxy.log.consensus.LogSettings;
import org.borageproxy.spread.WatchService;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;

/** Control role of a VM: a member of the control group with its services. Immutable and thread safe. */
final class ControlRole implements AutoCloseable {

    private static final long LEASE_SWEEP_INTERVAL_MILLIS = 250;

    private final VmRuntime runtime;

    private final ControlState state;

    private final GroupMember member;

    private ControlRole(VmRuntime runtime, ControlState state, GroupMember member) {
        this.runtime = runtime;
        this.state = state;
        this.member = member;
    }

    /**
     * Opens the durable state.
     *
     * @param runtime the shared resources of the VM
     * @return the role, or empty on a VM without a data folder
     * @throws IOException if the durable state is missing or damaged
     */
    static Optional<ControlRole> open(VmRuntime runtime) throws IOException {
        if (!runtime.settings().isControlVm()) {
            return Optional.empty();
        }
        ControlState state = new ControlState();
        MemberContext context = new MemberContext(
                runtime.network(), state, runtime.clock(), System::currentTimeMillis, runtime.timeLine());
        GroupMember member =
                GroupMember.open(runtime.settings().dataFolder().orElseThrow(), LogSettings.STANDARD, context);
        return Optional.of(new ControlRole(runtime, state, member));
    }

    /**
     * Starts the member, its services and the sweeps of expired leases. Called once.
     *
     * @param client submits commands to the control group
     */
    void start(ControlClient client) {
        registerHandlers(client);
        member.start();
        LeaseSweep sweep = new LeaseSweep(member, state, runtime.clock());
        runtime.scheduler()
                .scheduleWithFixedDelay(
                        sweep::sweep, LEASE_SWEEP_INTERVAL_MILLIS, LEASE_SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the leader of the control group that this VM's member follows. */
    Optional<VmName> leader() {
        return member.leader();
    }

    private void registerHandlers(ControlClient client) {
        runtime.network()
                .registerHandler(MessageKind.CONTROL_COMMAND, new ControlService(member, state, runtime.clock()));
        runtime.network()
                .registerHandler(
                        MessageKind.STATE_WATCH,
                        new WatchService(member, state, client, runtime.clock(), runtime.timer()));
        runtime.network().registerHandler(MessageKind.MEMBERS_CHANGE, new MembersService(member, runtime.clock()));
    }

    /**
     * Runs a task when the member fails permanently.
     *
     * @param task the task; runs at once if the member has already failed
     */
    void onFailure(Runnable task) {
        member.failure().thenRun(task);
    }

    /** Transfers leadership and closes the durable state. */
    @Override
    public void close() {
        member.close();
    }
}
