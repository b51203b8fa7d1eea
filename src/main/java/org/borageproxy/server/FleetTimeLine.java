package org.borageproxy.server;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.event.TimeLine;
import org.borageproxy.event.TimeLineCodec;
import org.borageproxy.event.TimeLineEntry;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.EventProtocol;

/** Collects the time lines of all VMs into one order. Immutable and thread safe. */
final class FleetTimeLine {

    /** The time allowed to each VM. */
    private static final Duration ANSWER_TIME = Duration.ofSeconds(2);

    /** The time line of this VM. */
    private final TimeLine own;
    /** Reaches other VMs. */
    private final VmNetwork network;
    /** The names of all VMs, this one included. */
    private final Supplier<List<VmName>> vms;
    /** The clock of the deadlines. */
    private final MonotonicClock clock;

    /**
     * The events of all VMs that answered.
     *
     * @param entries the events in one order
     * @param silent the VMs that did not answer
     */
    record Collected(List<TimeLineEntry> entries, List<VmName> silent) {

        /**
         * Copies the lists.
         *
         * @param entries the events in one order
         * @param silent the VMs that did not answer
         */
        Collected {
            entries = List.copyOf(entries);
            silent = List.copyOf(silent);
        }
    }

    /**
     * Creates a collector and answers the queries of other VMs.
     *
     * @param own the time line of this VM
     * @param network reaches other VMs
     * @param vms the names of all VMs, this one included
     * @param clock the clock of the deadlines
     */
    FleetTimeLine(TimeLine own, VmNetwork network, Supplier<List<VmName>> vms, MonotonicClock clock) {
        this.own = own;
        this.network = network;
        this.vms = vms;
        this.clock = clock;
        network.handle(MessageKind.TIME_LINE, (sender, body) -> answer(body));
    }

    /**
     * Collects events.
     *
     * @param afterMillis the time after which events are wanted, in milliseconds since 1970
     * @param most the largest number of events from each VM
     * @return the events of all VMs that answered in time
     */
    CompletionStage<Collected> collect(long afterMillis, int most) {
        ByteString query = EventProtocol.TimeLineQuery.newBuilder()
                .setAfterMillis(afterMillis)
                .setMost(most)
                .build()
                .toByteString();
        List<VmName> asked = vms.get();
        List<CompletableFuture<Optional<List<TimeLineEntry>>>> answers =
                asked.stream().map(vm -> ask(vm, query)).toList();
        return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                .thenApply(done -> merge(asked, answers));
    }

    /**
     * Answers the query of another VM.
     *
     * @param body the encoded query
     * @return the encoded answer
     */
    private CompletionStage<ByteString> answer(ByteString body) {
        try {
            EventProtocol.TimeLineQuery query = EventProtocol.TimeLineQuery.parseFrom(body);
            List<TimeLineEntry> entries = own.after(query.getAfterMillis(), query.getMost());
            return CompletableFuture.completedFuture(
                    TimeLineCodec.encode(entries).toByteString());
        } catch (InvalidProtocolBufferException exception) {
            return CompletableFuture.failedFuture(exception);
        }
    }

    /**
     * Asks one VM.
     *
     * @param vm the VM
     * @param query the encoded query
     * @return the events, empty if the VM did not answer
     */
    private CompletableFuture<Optional<List<TimeLineEntry>>> ask(VmName vm, ByteString query) {
        Deadline deadline = Deadline.after(clock.nanoTime(), ANSWER_TIME);
        return network.request(vm, MessageKind.TIME_LINE, query, deadline)
                .toCompletableFuture()
                .handle((body, failure) -> failure == null ? decoded(body) : Optional.empty());
    }

    /**
     * Decodes an answer.
     *
     * @param body the encoded answer
     * @return the events, empty if the answer is malformed
     */
    private static Optional<List<TimeLineEntry>> decoded(ByteString body) {
        try {
            return Optional.of(TimeLineCodec.decode(EventProtocol.TimeLineAnswer.parseFrom(body)));
        } catch (InvalidProtocolBufferException exception) {
            return Optional.empty();
        }
    }

    /**
     * Merges the answers.
     *
     * @param asked the VMs that were asked
     * @param answers their answers in the same order
     * @return the events in one order
     */
    private static Collected merge(List<VmName> asked, List<CompletableFuture<Optional<List<TimeLineEntry>>>> answers) {
        List<TimeLineEntry> entries = new ArrayList<>();
        List<VmName> silent = new ArrayList<>();
        for (int index = 0; index < asked.size(); index++) {
            Optional<List<TimeLineEntry>> answer = answers.get(index).join();
            answer.ifPresent(entries::addAll);
            if (answer.isEmpty()) {
                silent.add(asked.get(index));
            }
        }
        entries.sort(null);
        return new Collected(entries, silent);
    }
}
