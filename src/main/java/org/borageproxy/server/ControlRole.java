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
import org.borageproxy.wire.MessageKind;

/** A VM's part in the control group. Immutable and thread safe. */
final class ControlRole implements AutoCloseable {

    /** The time between two sweeps of the leases, in milliseconds. */
    private static final long SWEEP_INTERVAL_MILLIS = 250;

    /** This VM's member of the group. */
    private final GroupMember member;

    /**
     * Creates a role.
     *
     * @param member this VM's member of the group
     */
    private ControlRole(GroupMember member) {
        this.member = member;
    }

    /**
     * Opens the durable state and joins the group, or does nothing on a VM without a data folder.
     *
     * @param foundation what the role stands on
     * @param client submits commands
     * @return the role, empty on a VM without a data folder
     * @throws IOException if the durable state is missing or damaged
     */
    static Optional<ControlRole> start(VmFoundation foundation, ControlClient client) throws IOException {
        if (!foundation.settings().isControl()) {
            return Optional.empty();
        }
        ControlState state = new ControlState();
        MemberContext context = new MemberContext(
                foundation.network(), state, foundation.clock(), System::currentTimeMillis, foundation.timeLine());
        GroupMember member =
                GroupMember.open(foundation.settings().dataFolder().orElseThrow(), LogSettings.STANDARD, context);
        serve(foundation, client, state, member);
        member.start();
        LeaseSweep sweep = new LeaseSweep(member, state, foundation.clock());
        foundation
                .timers()
                .scheduleWithFixedDelay(
                        sweep::sweep, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        return Optional.of(new ControlRole(member));
    }

    /**
     * Registers the handlers of the group's messages.
     *
     * @param foundation what the role stands on
     * @param client submits commands
     * @param state the state machine
     * @param member this VM's member of the group
     */
    private static void serve(VmFoundation foundation, ControlClient client, ControlState state, GroupMember member) {
        foundation.network().handle(MessageKind.CONTROL_COMMAND, new ControlService(member, state, foundation.clock()));
        foundation
                .network()
                .handle(
                        MessageKind.STATE_WATCH,
                        new WatchService(member, state, client, foundation.clock(), foundation.timer()));
        foundation.network().handle(MessageKind.MEMBERS_CHANGE, new MembersService(member, foundation.clock()));
    }

    /**
     * Runs a task when the member has failed for good.
     *
     * @param task the task
     */
    void onFailure(Runnable task) {
        member.failure().thenRun(task);
    }

    /** Hands leadership over and closes the durable state. */
    @Override
    public void close() {
        member.close();
    }
}
