package org.borageproxy.control;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.log.ReplicatedLog;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.ControlProtocol.AcquireLease;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.CommandAnswer;
import org.borageproxy.wire.proto.ControlProtocol.CommandRequest;
import org.borageproxy.wire.proto.ControlProtocol.LeaseState;
import org.borageproxy.wire.proto.ControlProtocol.Reply;

/** Accepts commands from any VM on a control VM and proposes them to the replicated log. Thread safe. */
public final class ControlService implements VmNetwork.Handler {

    /** Maximum time for a proposal. */
    private static final Duration MAX_PROPOSAL_TIMEOUT = Duration.ofSeconds(5);

    private final ReplicatedLog log;
    private final ControlState state;
    private final MonotonicClock clock;

    /** Detects expired leases. */
    private final LeaseObserver observer = new LeaseObserver();

    /**
     * Creates a service.
     *
     * @param log this VM's member of the control group
     * @param state the state that the log replicates
     * @param clock the monotonic clock
     */
    public ControlService(ReplicatedLog log, ControlState state, MonotonicClock clock) {
        this.log = log;
        this.state = state;
        this.clock = clock;
    }

    @Override
    public CompletionStage<ByteString> handle(VmName sender, ByteString body) {
        CommandRequest request;
        try {
            request = CommandRequest.parseFrom(body);
        } catch (InvalidProtocolBufferException exception) {
            return CompletableFuture.failedFuture(exception);
        }
        long nowNanos = clock.nanoTime();
        Duration timeout = Duration.ofMillis(Math.min(MAX_PROPOSAL_TIMEOUT.toMillis(), request.getRemainingMillis()));
        ByteString command = withExpiredRenewal(request.getCommand(), nowNanos).toByteString();
        return log.propose(command, Deadline.after(nowNanos, timeout))
                .thenApply(proposal -> toAnswer(proposal).toByteString());
    }

    /**
     * Returns the command to propose. The renewal number of an expired lease is set only here: it is removed from
     * arriving commands, and added to a request for a lease of another session that this VM, as leader, has observed to
     * be expired.
     */
    private Command withExpiredRenewal(Command command, long nowNanos) {
        if (command.hasReleaseLease()) {
            return command.toBuilder()
                    .setReleaseLease(command.getReleaseLease().toBuilder().clearExpiredRenewal())
                    .build();
        }
        if (!command.hasAcquireLease()) {
            return command;
        }
        AcquireLease.Builder request = command.getAcquireLease().toBuilder().clearExpiredRenewal();
        for (LeaseState lease : state.leases()) {
            boolean isContended = lease.getDuty().equals(request.getDuty())
                    && !lease.getFree()
                    && !lease.getSession().equals(request.getSession());
            if (isContended && log.isLeader() && observer.detectExpiry(lease.getDuty(), lease.getRenewal(), nowNanos)) {
                request.setExpiredRenewal(lease.getRenewal());
            }
        }
        return command.toBuilder().setAcquireLease(request).build();
    }

    private static CommandAnswer toAnswer(ReplicatedLog.ProposalOutcome proposal) {
        CommandAnswer.Builder answer = CommandAnswer.newBuilder();
        if (proposal instanceof ReplicatedLog.ProposalOutcome.Committed committed) {
            try {
                return answer.setReply(Reply.parseFrom(committed.reply())).build();
            } catch (InvalidProtocolBufferException exception) {
                return answer.setUnknown(true).build();
            }
        }
        if (proposal instanceof ReplicatedLog.ProposalOutcome.NotLeader notLeader) {
            return answer.setNotLeader(notLeader.leader().map(VmName::value).orElse(""))
                    .build();
        }
        return answer.setUnknown(true).build();
    }
}
