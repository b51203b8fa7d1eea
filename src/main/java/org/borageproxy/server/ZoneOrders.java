package org.borageproxy.server;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.borageproxy.control.ControlClient;
import org.borageproxy.control.ControlState;
import org.borageproxy.control.Submission;
import org.borageproxy.log.ReplicatedLog;
import org.borageproxy.server.ControlPlane.ZoneOrderResult;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.Served;
import org.borageproxy.wire.proto.ControlProtocol.VmRecord;
import org.borageproxy.wire.proto.ControlProtocol.ZoneOrder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes operators' orders to drain and return zones on a control VM. An order is proposed only if all control VMs
 * know it, since a member that ignores a command computes another state, and a drain only if also all other VMs in
 * contact with the control group obey it. Immutable and thread safe.
 */
final class ZoneOrders {

    private static final Logger LOGGER = LoggerFactory.getLogger(ZoneOrders.class);
    /** Time for one order; an operator that gets no answer repeats it. */
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(1500);
    /** A VM that is in contact asks for the state more often than this. */
    private static final Duration CONTACT_PERIOD = Duration.ofSeconds(5);

    private final Environment environment;

    /**
     * The collaborators of the orders.
     *
     * @param zones supplies the zones that the settings name
     * @param log this VM's member of the control group
     * @param state the state that the log replicates
     * @param client submits the commands
     * @param lastContacts reads when each VM was last in contact with a control VM
     */
    record Environment(
            Supplier<Set<AvailabilityZone>> zones,
            ReplicatedLog log,
            ControlState state,
            ControlClient client,
            Supplier<CompletionStage<List<Served>>> lastContacts) {}

    ZoneOrders(Environment environment) {
        this.environment = environment;
    }

    /**
     * Executes an order.
     *
     * @param zone the zone
     * @param isDrain {@code false} to return the zone
     * @return the outcome; never fails
     */
    CompletionStage<ZoneOrderResult> execute(String zone, boolean isDrain) {
        long receivedAtNanos = environment.client().nanoTime();
        return decide(zone, isDrain)
                .exceptionally(failure -> ZoneOrderResult.UNKNOWN)
                .thenApply(result -> {
                    LOGGER.info(
                            "event=zone-order zone={} drain={} outcome={} took_ms={}",
                            zone,
                            isDrain,
                            result,
                            TimeUnit.NANOSECONDS.toMillis(environment.client().nanoTime() - receivedAtNanos));
                    return result;
                });
    }

    private CompletionStage<ZoneOrderResult> decide(String zone, boolean isDrain) {
        if (zone.isBlank() || !environment.zones().get().contains(new AvailabilityZone(zone))) {
            return CompletableFuture.completedFuture(ZoneOrderResult.UNKNOWN_ZONE);
        }
        if (environment.log().leader().isEmpty()) {
            return CompletableFuture.completedFuture(ZoneOrderResult.UNAVAILABLE);
        }
        Deadline deadline = environment.client().deadlineAfter(ORDER_TIMEOUT);
        return environment
                .log()
                .confirmRead(deadline)
                .thenCompose(isCurrent -> isCurrent
                        ? findDisobedient(isDrain)
                        : CompletableFuture.completedFuture(List.of("unconfirmed state")))
                .thenCompose(obstacles -> {
                    if (!obstacles.isEmpty()) {
                        LOGGER.info(
                                "event=zone-order-withheld zone={} drain={} obstacles={}", zone, isDrain, obstacles);
                        return CompletableFuture.completedFuture(ZoneOrderResult.UNAVAILABLE);
                    }
                    return submit(zone, isDrain, deadline);
                });
    }

    /** Returns the VMs whose builds keep the order from being obeyed. */
    private CompletionStage<List<String>> findDisobedient(boolean isDrain) {
        List<VmRecord> disobedient = environment.state().vms().stream()
                .filter(vm -> !vm.getObeysDrains())
                .toList();
        List<String> members = disobedient.stream()
                .filter(VmRecord::getControl)
                .map(VmRecord::getName)
                .toList();
        if (disobedient.isEmpty() || !members.isEmpty() || !isDrain) {
            return CompletableFuture.completedFuture(members);
        }
        List<String> names = disobedient.stream().map(VmRecord::getName).toList();
        return environment.lastContacts().get().thenApply(contacts -> contacts.stream()
                .filter(contact -> contact.getAgeMillis() < CONTACT_PERIOD.toMillis())
                .map(Served::getVm)
                .filter(names::contains)
                .toList());
    }

    private CompletionStage<ZoneOrderResult> submit(String zone, boolean isDrain, Deadline deadline) {
        ZoneOrder order = ZoneOrder.newBuilder().setZone(zone).build();
        Command.Builder command = isDrain
                ? Command.newBuilder().setDrainZone(order)
                : Command.newBuilder().setReturnZone(order);
        return environment.client().submit(command, deadline).thenApply(submission -> {
            if (submission instanceof Submission.NotLeader) {
                return ZoneOrderResult.UNAVAILABLE;
            }
            boolean isDone = submission instanceof Submission.Replied replied
                    && replied.reply().hasDone();
            return isDone ? ZoneOrderResult.ACCEPTED : ZoneOrderResult.UNKNOWN;
        });
    }
}
