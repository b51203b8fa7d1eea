package org.borageproxy.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.control.ControlClient;
import org.borageproxy.control.Timer;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.transfer.ChunkFetch;
import org.borageproxy.transfer.Manifest;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.ControlProtocol.ReadServed;
import org.borageproxy.wire.proto.ControlProtocol.Served;
import org.borageproxy.wire.proto.ControlProtocol.WatchAnswer;
import org.borageproxy.wire.proto.ControlProtocol.WatchRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the control group's state for operators, from any VM. Large answers come in chunks, if there is a timer.
 * Stateless and thread safe.
 */
public final class StateReader {

    private static final Logger LOGGER = LoggerFactory.getLogger(StateReader.class);

    /** Maximum time for the answer of one control VM, and for its chunks beyond the time that their bytes may need. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(700);

    private final VmNetwork network;
    private final Supplier<List<VmName>> controlVms;
    private final MonotonicClock clock;
    private final Optional<Timer> timer;

    /**
     * Creates a reader of answers that arrive whole.
     *
     * @param network the network between VMs; must reach this VM too if it is a control VM
     * @param controlVms supplies the control VMs
     * @param clock the monotonic clock
     */
    public StateReader(VmNetwork network, Supplier<List<VmName>> controlVms, MonotonicClock clock) {
        this(network, controlVms, clock, Optional.empty());
    }

    /**
     * Creates a reader.
     *
     * @param network the network between VMs; must reach this VM too if it is a control VM
     * @param controlVms supplies the control VMs
     * @param clock the monotonic clock
     * @param timer schedules the requests for chunks
     */
    public StateReader(VmNetwork network, Supplier<List<VmName>> controlVms, MonotonicClock clock, Timer timer) {
        this(network, controlVms, clock, Optional.of(timer));
    }

    private StateReader(
            VmNetwork network, Supplier<List<VmName>> controlVms, MonotonicClock clock, Optional<Timer> timer) {
        this.network = network;
        this.controlVms = controlVms;
        this.clock = clock;
        this.timer = timer;
    }

    /**
     * Reads from the first control VM that confirms its answer as current. Control VMs are asked in order.
     *
     * @param request the request
     * @return the answer, empty if no control VM confirms one
     */
    public CompletionStage<Optional<WatchAnswer>> read(WatchRequest request) {
        WatchRequest accepting =
                request.toBuilder().setAcceptsChunks(timer.isPresent()).build();
        return readFrom(List.copyOf(controlVms.get()), 0, accepting);
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
        VmName vm = vms.get(position);
        return request(vm, request)
                .thenCompose(answer ->
                        answer.hasAnswerChunks() ? fetch(vm, answer) : CompletableFuture.completedFuture(answer))
                .thenCompose(answer -> answer.getConfirmed()
                        ? CompletableFuture.completedFuture(Optional.of(answer))
                        : readFrom(vms, position + 1, request));
    }

    /**
     * Fetches the answer that another one names by its chunks. It becomes the default instance, which is unconfirmed,
     * if it does not arrive in the time that it may need on a slow link.
     */
    private CompletionStage<WatchAnswer> fetch(VmName vm, WatchAnswer named) {
        CompletableFuture<WatchAnswer> whole = new CompletableFuture<>();
        Timer ticks = timer.orElseThrow();
        try {
            Manifest manifest = Manifest.decode(named.getAnswerChunks());
            ChunkFetch fetch = new ChunkFetch(
                    manifest,
                    Map.of(),
                    new ChunkFetch.Environment(network, () -> List.of(vm), clock, ticks),
                    new Receiver(whole));
            Duration timeout = ANSWER_TIMEOUT.plus(ControlClient.transferTime((int) manifest.missingBytes(Set.of())));
            ticks.schedule(timeout, () -> {
                fetch.cancel();
                whole.complete(WatchAnswer.getDefaultInstance());
            });
            fetch.start();
        } catch (IllegalArgumentException exception) {
            LOGGER.warn("event=chunks-malformed source={}", vm, exception);
            whole.complete(WatchAnswer.getDefaultInstance());
        }
        return whole;
    }

    private record Receiver(CompletableFuture<WatchAnswer> whole) implements ChunkFetch.Listener {

        @Override
        public void onComplete(ByteString content) {
            try {
                whole.complete(WatchAnswer.parseFrom(content));
            } catch (InvalidProtocolBufferException exception) {
                LOGGER.warn("event=chunks-malformed", exception);
                whole.complete(WatchAnswer.getDefaultInstance());
            }
        }

        @Override
        public void onUnavailable() {
            whole.complete(WatchAnswer.getDefaultInstance());
        }
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
