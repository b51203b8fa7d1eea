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

/** Takes commands from any VM on a control VM and proposes them to the replicated log. Safe for use by any thread. */
public final class ControlService implements VmNetwork.Handler {

    /** The longest time that a proposal may take. */
    private static final Duration GREATEST_PATIENCE = Duration.ofSeconds(5);

    /** This VM's member of the control group. */
    private final ReplicatedLog log;

    /** The state of the control group. */
    private final ControlState state;

    /** The clock. */
    private final MonotonicClock clock;

    /** Measures for how long leases were not renewed. */
    private final LeaseObserver observer = new LeaseObserver();

    /**
     * Creates a service.
     *
     * @param log this VM's member of the control group
     * @param state the state that the log replicates
     * @param clock the clock
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
        Duration patience = Duration.ofMillis(Math.min(GREATEST_PATIENCE.toMillis(), request.getRemainingMillis()));
        ByteString command = observed(request.getCommand(), nowNanos).toByteString();
        return log.propose(command, Deadline.after(nowNanos, patience))
                .thenApply(proposal -> answerTo(proposal).toByteString());
    }

    /**
     * States in a request for a lease which renewal of another holder has run out.
     *
     * @param command the command as it arrived
     * @param nowNanos the reading of the clock in nanoseconds
     * @return the command to propose
     */
    private Command observed(Command command, long nowNanos) {
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
            if (isContended && log.isLeader() && observer.hasRunOut(lease.getDuty(), lease.getRenewal(), nowNanos)) {
                request.setExpiredRenewal(lease.getRenewal());
            }
        }
        return command.toBuilder().setAcquireLease(request).build();
    }

    /**
     * Turns the outcome of a proposal into an answer.
     *
     * @param proposal the outcome
     * @return the answer
     */
    private static CommandAnswer answerTo(ReplicatedLog.ProposalOutcome proposal) {
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
