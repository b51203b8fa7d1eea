package org.borageproxy.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.ControlProtocol.ReadServed;
import org.borageproxy.wire.proto.ControlProtocol.Served;
import org.borageproxy.wire.proto.ControlProtocol.WatchAnswer;
import org.borageproxy.wire.proto.ControlProtocol.WatchRequest;

/** Reads the control group's state for operators, from any VM. Stateless and thread safe. */
public final class StateReader {

    /** Maximum time for the answer of one control VM. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(700);

    private final VmNetwork network;
    private final Supplier<List<VmName>> controlVms;
    private final MonotonicClock clock;

    /**
     * Creates a reader.
     *
     * @param network the network between VMs; must reach this VM too if it is a control VM
     * @param controlVms supplies the control VMs
     * @param clock the monotonic clock
     */
    public StateReader(VmNetwork network, Supplier<List<VmName>> controlVms, MonotonicClock clock) {
        this.network = network;
        this.controlVms = controlVms;
        this.clock = clock;
    }

    /**
     * Reads from the first control VM that confirms its answer as current. Control VMs are asked in order.
     *
     * @param request the request
     * @return the answer, empty if no control VM confirms one
     */
    public CompletionStage<Optional<WatchAnswer>> read(WatchRequest request) {
        return readFrom(List.copyOf(controlVms.get()), 0, request);
    }

    /**
     * Reads from all control VMs which revision each VM serves. The most recent report of a VM counts.
     *
     * @return the reports in order of the VM names
     */
    public CompletionStage<List<Served>> readServed() {
        WatchRequest request = WatchRequest.newBuilder()
                .setReadServed(ReadServed.getDefaultInstance())
                .build();
        List<CompletableFuture<WatchAnswer>> answers = new ArrayList<>();
        for (VmName vm : controlVms.get()) {
            answers.add(request(vm, request).toCompletableFuture());
        }
        return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                .thenApply(ignored -> {
                    Map<String, Served> latest = new TreeMap<>();
                    answers.forEach(answer -> answer.join()
                            .getServedList()
                            .forEach(served -> latest.merge(served.getVm(), served, StateReader::moreRecent)));
                    return List.copyOf(latest.values());
                });
    }

    /**
     * Returns the more recent of two reports on a VM. A report without a served revision counts only if there is no
     * other.
     */
    private static Served moreRecent(Served one, Served two) {
        if ((one.getRevision() == 0) != (two.getRevision() == 0)) {
            return one.getRevision() == 0 ? two : one;
        }
        return one.getAgeMillis() <= two.getAgeMillis() ? one : two;
    }

    private CompletionStage<Optional<WatchAnswer>> readFrom(List<VmName> vms, int position, WatchRequest request) {
        if (position >= vms.size()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return request(vms.get(position), request)
                .thenCompose(answer -> answer.getConfirmed()
                        ? CompletableFuture.completedFuture(Optional.of(answer))
                        : readFrom(vms, position + 1, request));
    }

    /**
     * Sends a request to one control VM. Failures and malformed answers become the default instance, which is
     * unconfirmed.
     */
    private CompletionStage<WatchAnswer> request(VmName vm, WatchRequest request) {
        Deadline deadline = Deadline.after(clock.nanoTime(), ANSWER_TIMEOUT);
        return network.request(vm, MessageKind.STATE_WATCH, request.toByteString(), deadline)
                .thenApply(body -> {
                    try {
                        return WatchAnswer.parseFrom(body);
                    } catch (InvalidProtocolBufferException exception) {
                        return WatchAnswer.getDefaultInstance();
                    }
                })
                .exceptionally(failure -> WatchAnswer.getDefaultInstance());
    }
}
