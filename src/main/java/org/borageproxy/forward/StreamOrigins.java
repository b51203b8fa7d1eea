package org.borageproxy.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.CoordinationProtocol.BegunStream;
import org.borageproxy.wire.proto.CoordinationProtocol.StreamOriginAnswer;
import org.borageproxy.wire.proto.CoordinationProtocol.StreamOriginQuery;

/**
 * Origins of resumable streams by the identity of the request that began each. The origin of a request never changes
 * once it is known, so that copies on several VMs cannot contradict each other; an origin may be missing here and known
 * elsewhere. An entry records the streams that it begins and reports them to the coordinator, which answers the queries
 * of all entries. Not thread safe; confined to one event loop.
 */
public final class StreamOrigins implements VmNetwork.Handler {

    /** Period for which an origin is kept; exceeds the time in which callers resume a stream. */
    private static final Duration RETENTION = Duration.ofSeconds(60);
    /** Maximum number of origins; the oldest are dropped first. */
    private static final int MAX_ORIGINS = 50_000;
    /** Maximum number of origins in one report. */
    private static final int MAX_REPORTED = 400;

    private final MonotonicClock clock;
    /** Oldest first. */
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    private final Set<String> unreported = new LinkedHashSet<>();
    private List<String> reportInFlight = List.of();
    private long reportedTerm;

    private record Entry(StreamOrigin origin, Deadline expiresAt) {}

    /**
     * Creates an empty table.
     *
     * @param clock the clock
     */
    public StreamOrigins(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Records the origin of a stream that this VM begins.
     *
     * @param request the identity of the request; ignored if empty
     * @param origin the origin
     */
    void recordBegun(String request, StreamOrigin origin) {
        if (!request.isEmpty() && record(request, origin)) {
            unreported.add(request);
        }
    }

    private boolean record(String request, StreamOrigin origin) {
        removeObsolete();
        Entry entry = new Entry(origin, Deadline.after(clock.nanoTime(), RETENTION));
        return entries.putIfAbsent(request, entry) == null;
    }

    private void removeObsolete() {
        long nowNanos = clock.nanoTime();
        Iterator<Map.Entry<String, Entry>> oldest = entries.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<String, Entry> entry = oldest.next();
            if (entries.size() < MAX_ORIGINS && !entry.getValue().expiresAt().hasPassed(nowNanos)) {
                return;
            }
            unreported.remove(entry.getKey());
            oldest.remove();
        }
    }

    /**
     * Returns the origin of a stream as far as this VM knows it.
     *
     * @param request the identity of the request that began the stream
     * @return empty if the origin is not known here
     */
    Optional<StreamOrigin> find(String request) {
        return Optional.ofNullable(entries.get(request)).map(Entry::origin);
    }

    /**
     * Returns the streams to include in the next report to the coordinator. They are included again until
     * {@link #confirmReport} is called.
     *
     * @return the oldest streams that were not reported yet
     */
    public List<BegunStream> collectUnreported() {
        reportInFlight = unreported.stream().limit(MAX_REPORTED).toList();
        List<BegunStream> streams = new ArrayList<>();
        for (String request : reportInFlight) {
            StreamOrigin origin = entries.get(request).origin();
            streams.add(BegunStream.newBuilder()
                    .setRequest(request)
                    .setService(origin.service())
                    .setSoftwareVersion(origin.softwareVersion())
                    .build());
        }
        return streams;
    }

    /**
     * Confirms that the coordinator has received the last report. After a change of the coordinator all origins that
     * are kept here are reported again, since the new one may know none of them.
     *
     * @param term the term of the coordinator, which identifies it
     */
    public void confirmReport(long term) {
        if (term != reportedTerm) {
            reportedTerm = term;
            unreported.addAll(entries.keySet());
        } else {
            reportInFlight.forEach(unreported::remove);
        }
        reportInFlight = List.of();
    }

    /**
     * Records streams that another VM has reported.
     *
     * @param streams the reported streams
     */
    void recordReported(List<BegunStream> streams) {
        streams.forEach(stream ->
                record(stream.getRequest(), new StreamOrigin(stream.getService(), stream.getSoftwareVersion())));
    }

    @Override
    public CompletionStage<ByteString> handle(VmName sender, ByteString body) {
        try {
            StreamOriginAnswer.Builder answer = StreamOriginAnswer.newBuilder();
            find(StreamOriginQuery.parseFrom(body).getRequest()).ifPresent(origin -> answer.setKnown(true)
                    .setService(origin.service())
                    .setSoftwareVersion(origin.softwareVersion()));
            return CompletableFuture.completedFuture(answer.build().toByteString());
        } catch (InvalidProtocolBufferException exception) {
            return CompletableFuture.failedFuture(exception);
        }
    }
}
