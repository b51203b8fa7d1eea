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

    /** The longest time that one control VM may take. */
    private static final Duration ATTEMPT = Duration.ofMillis(700);

    /** The network between VMs. */
    private final VmNetwork network;

    /** Returns the control VMs. */
    private final Supplier<List<VmName>> controlVms;

    /** The clock. */
    private final MonotonicClock clock;

    /**
     * Creates a reader.
     *
     * @param network the network between VMs, which reaches this VM too if it is a control VM
     * @param controlVms returns the control VMs
     * @param clock the clock
     */
    public StateReader(VmNetwork network, Supplier<List<VmName>> controlVms, MonotonicClock clock) {
        this.network = network;
        this.controlVms = controlVms;
        this.clock = clock;
    }

    /**
     * Reads from the first control VM whose answer is confirmed as current.
     *
     * @param request the request
     * @return the answer, or empty if no control VM can confirm one
     */
    public CompletionStage<Optional<WatchAnswer>> read(WatchRequest request) {
        return readFrom(List.copyOf(controlVms.get()), 0, request);
    }

    /**
     * Reads from all control VMs which VM serves which revision; a VM counts as it was seen last.
     *
     * @return what the VMs serve, in order of their names
     */
    public CompletionStage<List<Served>> readServed() {
        WatchRequest request = WatchRequest.newBuilder()
                .setReadServed(ReadServed.getDefaultInstance())
                .build();
        List<CompletableFuture<WatchAnswer>> answers = new ArrayList<>();
        for (VmName vm : controlVms.get()) {
            answers.add(ask(vm, request).toCompletableFuture());
        }
        return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                .thenApply(ignored -> {
                    Map<String, Served> newest = new TreeMap<>();
                    answers.forEach(answer -> answer.join()
                            .getServedList()
                            .forEach(served -> newest.merge(served.getVm(), served, StateReader::better)));
                    return List.copyOf(newest.values());
                });
    }

    /**
     * Returns what is newer of two sightings of a VM; a sighting that serves nothing counts only if there is no other.
     *
     * @param one a sighting
     * @param two another sighting
     * @return the newer one
     */
    private static Served better(Served one, Served two) {
        if ((one.getRevision() == 0) != (two.getRevision() == 0)) {
            return one.getRevision() == 0 ? two : one;
        }
        return one.getAgeMillis() <= two.getAgeMillis() ? one : two;
    }

    /**
     * Reads from a control VM, or else from those after it.
     *
     * @param vms the control VMs
     * @param position the position of the control VM
     * @param request the request
     * @return the answer, or empty
     */
    private CompletionStage<Optional<WatchAnswer>> readFrom(List<VmName> vms, int position, WatchRequest request) {
        if (position >= vms.size()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return ask(vms.get(position), request)
                .thenCompose(answer -> answer.getConfirmed()
                        ? CompletableFuture.completedFuture(Optional.of(answer))
                        : readFrom(vms, position + 1, request));
    }

    /**
     * Asks one control VM.
     *
     * @param vm the control VM
     * @param request the request
     * @return the answer, the default instance if there is none
     */
    private CompletionStage<WatchAnswer> ask(VmName vm, WatchRequest request) {
        Deadline deadline = Deadline.after(clock.nanoTime(), ATTEMPT);
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
