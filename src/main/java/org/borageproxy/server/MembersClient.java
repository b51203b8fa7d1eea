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
 * Brings an operator's request about the group's members to the leader from any VM. A change is sent to one VM after
 * the other until one takes it; repeating a change that was made is refused by the group and has no effect. Immutable
 * and thread safe.
 */
final class MembersClient {

    /** The time allowed to each VM. */
    private static final Duration ANSWER_TIME = Duration.ofSeconds(6);

    /** Reaches the control VMs. */
    private final VmNetwork network;
    /** The control VMs. */
    private final List<VmName> controlVms;
    /** The clock of the deadlines. */
    private final MonotonicClock clock;

    /**
     * Creates a client.
     *
     * @param network reaches the control VMs
     * @param controlVms the control VMs
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
     * @return the answer of the leader, or for a list of any member; a failure if no VM took the request
     */
    CompletionStage<MembersAnswer> call(MembersRequest request) {
        return call(request.toByteString(), new ArrayList<>(controlVms));
    }

    /**
     * Sends a request to the first VM that takes it.
     *
     * @param request the encoded request
     * @param candidates the VMs not yet asked
     * @return the answer
     */
    private CompletionStage<MembersAnswer> call(ByteString request, List<VmName> candidates) {
        if (candidates.isEmpty()) {
            return CompletableFuture.failedFuture(new UnreachableException("No leader of the control group"));
        }
        VmName asked = candidates.remove(0);
        Deadline deadline = Deadline.after(clock.nanoTime(), ANSWER_TIME);
        return network.request(asked, MessageKind.MEMBERS_CHANGE, request, deadline)
                .handle((body, failure) -> failure == null ? decoded(body) : notLeader())
                .thenCompose(answer -> {
                    boolean refusedForNow = answer.getResult() == MembersAnswer.Result.NOT_LEADER;
                    return refusedForNow ? call(request, candidates) : CompletableFuture.completedFuture(answer);
                });
    }

    /**
     * Decodes an answer.
     *
     * @param body the encoded answer
     * @return the answer; one that leads to the next VM if it is malformed
     */
    private static MembersAnswer decoded(ByteString body) {
        try {
            return MembersAnswer.parseFrom(body);
        } catch (InvalidProtocolBufferException exception) {
            return notLeader();
        }
    }

    /**
     * Returns an answer that leads to the next VM.
     *
     * @return the answer
     */
    private static MembersAnswer notLeader() {
        return MembersAnswer.newBuilder()
                .setResult(MembersAnswer.Result.NOT_LEADER)
                .build();
    }
}
