package org.borageproxy.server;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.UnreachableException;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.MembersProtocol.MembersAnswer;
import org.borageproxy.wire.proto.MembersProtocol.MembersRequest;

/**
 * Forwards membership requests of operators, which may arrive at any VM, to the leader of the control group. The
 * control VMs are tried in turn until one answers with another result than {@code NOT_LEADER}. If a VM does not answer
 * in time, the next one is tried although the first may have executed the request; the group refuses a change that is
 * already in effect. Immutable and thread safe.
 */
final class MembersClient {

    /**
     * The timeout for each VM; longer than that of a change in {@link MembersService}, so that the leader's answer
     * arrives.
     */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(6);

    private final VmNetwork network;
    private final List<VmName> controlVms;
    private final MonotonicClock clock;

    /**
     * Creates a client.
     *
     * @param network the network between VMs
     * @param controlVms the control VMs, in the order in which they are tried
     * @param clock the clock of the deadlines
     */
    MembersClient(VmNetwork network, List<VmName> controlVms, MonotonicClock clock) {
        this.network = network;
        this.controlVms = List.copyOf(controlVms);
        this.clock = clock;
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @return the answer of the leader, or of any member for a request that lists the members; fails if no VM gave one,
     *     in which case a change may have been made nevertheless
     */
    CompletionStage<MembersAnswer> send(MembersRequest request) {
        return send(request.toByteString(), new ArrayList<>(controlVms));
    }

    private CompletionStage<MembersAnswer> send(ByteString request, List<VmName> remaining) {
        if (remaining.isEmpty()) {
            return CompletableFuture.failedFuture(new UnreachableException("No leader of the control group"));
        }
        VmName recipient = remaining.remove(0);
        Deadline deadline = Deadline.after(clock.nanoTime(), REQUEST_TIMEOUT);
        return network.request(recipient, MessageKind.MEMBERS_CHANGE, request, deadline)
                .handle((body, failure) -> failure == null ? decode(body) : notLeader())
                .thenCompose(answer -> {
                    boolean isNotLeader = answer.getResult() == MembersAnswer.Result.NOT_LEADER;
                    return isNotLeader ? send(request, remaining) : CompletableFuture.completedFuture(answer);
                });
    }

    private static MembersAnswer decode(ByteString body) {
        try {
            return MembersAnswer.parseFrom(body);
        } catch (InvalidProtocolBufferException exception) {
            return notLeader();
        }
    }

    /** Returns the answer for which the next VM is tried; it also stands for a failed request or malformed answer. */
    private static MembersAnswer notLeader() {
        return MembersAnswer.newBuilder()
                .setResult(MembersAnswer.Result.NOT_LEADER)
                .build();
    }
}
