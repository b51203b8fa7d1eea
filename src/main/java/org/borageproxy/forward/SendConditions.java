package org.borageproxy.forward;

import java.util.Optional;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;

/**
 * Conditions that are checked between the choice of a server and the moment at which the request is sent, since servers
 * leave, restart or refuse, and zones are drained, while a connection is opened. Stateless; called on the event loop of
 * the requests.
 */
final class SendConditions {

    private SendConditions() {}

    /**
     * Returns what keeps a request from being sent.
     *
     * @param context the collaborators of forwarding
     * @param buffered the request
     * @param stream the stream that the request begins or continues
     * @param server the selected server
     * @param relay the VM through which the connection leads; empty for a direct connection
     * @return the reason, for logs; empty if the request may be sent
     */
    static Optional<String> obstacle(
            ForwardContext context,
            BufferedRequest buffered,
            ResumableStream stream,
            BackendServer server,
            Optional<VmName> relay) {
        if (!stream.mayRunAt(server)) {
            return Optional.of("server runs another version");
        }
        if (!context.refusals().accepts(server, relay)) {
            return Optional.of("server refused the VM before the request was sent");
        }
        return context.pool()
                .availability()
                .obstacle(server, buffered.allowedRegions(), relay)
                .or(() -> ServerWrites.obstacle(context, buffered, server));
    }

    /**
     * Returns why a request must not be sent by a VM that stops: a request that no server can have started is refused
     * as not run, and another attempt has to bring its answer before the connections are closed.
     *
     * @param context the collaborators of forwarding
     * @param buffered the request
     * @param priorAttempts the attempts so far
     * @return empty if the request may be sent
     */
    static Optional<String> stopObstacle(
            ForwardContext context, BufferedRequest buffered, PriorAttempts priorAttempts) {
        long nowNanos = context.clock().nanoTime();
        return priorAttempts
                .answersEnd()
                .filter(end -> !priorAttempts.mayHaveRun() || !buffered.mayBeAnsweredBy(end, nowNanos))
                .map(end -> "VM stops");
    }

    /**
     * Returns why the slot for a request must not be used, as in a VM that was frozen after the slot was granted: the
     * coordinator may have given it to another request. The server may then be selected again.
     *
     * @param context the collaborators of forwarding
     * @param server the server of the slot
     * @param slotValidUntil the end of the slot; empty if this VM selected the server itself
     * @param priorAttempts records that the slot has expired
     * @return empty if there is no slot or it may be used
     */
    static Optional<String> slotObstacle(
            ForwardContext context,
            BackendServer server,
            Optional<Deadline> slotValidUntil,
            PriorAttempts priorAttempts) {
        boolean isExpired = slotValidUntil
                .filter(until -> until.hasPassed(context.clock().nanoTime()))
                .isPresent();
        if (!isExpired) {
            return Optional.empty();
        }
        priorAttempts.recordSlotExpired(server.name());
        return Optional.of("slot expired before the request was sent");
    }

    /**
     * Returns what keeps a request from another attempt; withdraws a retry of one that was sent if nothing does.
     *
     * @param context the collaborators of forwarding
     * @param buffered the request
     * @param priorAttempts the attempts so far
     * @param crashEvidence whether the request may crash servers
     * @return the reason, for logs; empty if the request may be sent again
     */
    static Optional<String> retryObstacle(
            ForwardContext context,
            BufferedRequest buffered,
            PriorAttempts priorAttempts,
            CrashEvidence crashEvidence) {
        if (buffered.deadline().hasPassed(context.clock().nanoTime())) {
            return Optional.of("deadline");
        }
        if (!priorAttempts.allowAnother(buffered.route().maxAttempts())) {
            return Optional.of("attempts");
        }
        if (crashEvidence.isQuarantined()) {
            return Optional.of("quarantine");
        }
        boolean isPaid = priorAttempts.sends() == 0
                || context.retryBudgets().apply(buffered.service()).tryWithdraw();
        return isPaid ? Optional.empty() : Optional.of("budget");
    }
}
