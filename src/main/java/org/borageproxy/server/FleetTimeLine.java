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

/** Merges the time lines of all VMs into one sequence of events. Immutable and thread safe. */
final class FleetTimeLine {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

    private final TimeLine localTimeLine;
    private final VmNetwork network;
    private final Supplier<List<VmName>> vms;
    private final MonotonicClock clock;

    /**
     * Events of all VMs that answered. Immutable and thread safe.
     *
     * @param entries the events in their natural order
     * @param unresponsiveVms the VMs that did not answer in time or sent a malformed answer
     */
    record CollectedEvents(List<TimeLineEntry> entries, List<VmName> unresponsiveVms) {

        CollectedEvents {
            entries = List.copyOf(entries);
            unresponsiveVms = List.copyOf(unresponsiveVms);
        }
    }

    /**
     * Creates a collector and registers the handler for queries of other VMs.
     *
     * @param localTimeLine the time line of this VM
     * @param network the network between VMs
     * @param vms returns the names of all VMs, including this one
     * @param clock the clock of the deadlines
     */
    FleetTimeLine(TimeLine localTimeLine, VmNetwork network, Supplier<List<VmName>> vms, MonotonicClock clock) {
        this.localTimeLine = localTimeLine;
        this.network = network;
        this.vms = vms;
        this.clock = clock;
        network.registerHandler(MessageKind.TIME_LINE, (sender, body) -> handleQuery(body));
    }

    /**
     * Queries all VMs.
     *
     * @param afterMillis the time after which events are returned, in milliseconds since 1970
     * @param maxEntries the maximum number of events from each VM
     * @return the events of all VMs that answered in time
     */
    CompletionStage<CollectedEvents> collect(long afterMillis, int maxEntries) {
        ByteString query = EventProtocol.TimeLineQuery.newBuilder()
                .setAfterMillis(afterMillis)
                .setMost(maxEntries)
                .build()
                .toByteString();
        List<VmName> queriedVms = vms.get();
        List<CompletableFuture<Optional<List<TimeLineEntry>>>> replies =
                queriedVms.stream().map(vm -> queryVm(vm, query)).toList();
        return CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new))
                .thenApply(done -> merge(queriedVms, replies));
    }

    private CompletionStage<ByteString> handleQuery(ByteString body) {
        try {
            EventProtocol.TimeLineQuery query = EventProtocol.TimeLineQuery.parseFrom(body);
            List<TimeLineEntry> entries = localTimeLine.latestAfter(query.getAfterMillis(), query.getMost());
            return CompletableFuture.completedFuture(
                    TimeLineCodec.encode(entries).toByteString());
        } catch (InvalidProtocolBufferException exception) {
            return CompletableFuture.failedFuture(exception);
        }
    }

    /** Returns an empty result if the VM does not answer in time or its answer is malformed. */
    private CompletableFuture<Optional<List<TimeLineEntry>>> queryVm(VmName vm, ByteString query) {
        Deadline deadline = Deadline.after(clock.nanoTime(), REQUEST_TIMEOUT);
        return network.request(vm, MessageKind.TIME_LINE, query, deadline)
                .toCompletableFuture()
                .handle((body, failure) -> failure == null ? decode(body) : Optional.empty());
    }

    private static Optional<List<TimeLineEntry>> decode(ByteString body) {
        try {
            return Optional.of(TimeLineCodec.decode(EventProtocol.TimeLineAnswer.parseFrom(body)));
        } catch (InvalidProtocolBufferException exception) {
            return Optional.empty();
        }
    }

    /** The replies must be complete and in the order of the VMs. */
    private static CollectedEvents merge(
            List<VmName> queriedVms, List<CompletableFuture<Optional<List<TimeLineEntry>>>> replies) {
        List<TimeLineEntry> entries = new ArrayList<>();
        List<VmName> unresponsiveVms = new ArrayList<>();
        for (int index = 0; index < queriedVms.size(); index++) {
            Optional<List<TimeLineEntry>> answer = replies.get(index).join();
            answer.ifPresent(entries::addAll);
            if (answer.isEmpty()) {
                unresponsiveVms.add(queriedVms.get(index));
            }
        }
        entries.sort(null);
        return new CollectedEvents(entries, unresponsiveVms);
    }
}
