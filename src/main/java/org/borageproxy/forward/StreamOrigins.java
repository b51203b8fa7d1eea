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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Origins of resumable streams by the identity of each request that began or resumed one. Origins are recorded, never
 * derived from the servers that are announced. A request with two different origins, as of a caller that uses one
 * identity twice, has none: which of the two streams the caller resumes is not known. An origin may be missing here and
 * known elsewhere. An entry records the streams that it relays and reports them to the coordinator, which answers the
 * queries of all entries. Not thread safe; confined to one event loop.
 */
public final class StreamOrigins implements VmNetwork.Handler {

    private static final Logger LOGGER = LoggerFactory.getLogger(StreamOrigins.class);
    /** Period for which an origin is kept; exceeds the time in which callers resume a stream. */
    private static final Duration RETENTION = Duration.ofSeconds(60);
    /** Maximum number of origins; the oldest are dropped first. */
    private static final int MAX_ORIGINS = 50_000;
    /** Maximum number of origins in one report. */
    private static final int MAX_REPORTED = 400;

    private final MonotonicClock clock;
    private final Archive archive;
    /** Oldest first. */
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    private final Set<String> unreported = new LinkedHashSet<>();
    private List<String> reportInFlight = List.of();
    private long reportedTerm;

    /** Keeps origins beyond the end of this process. Confined to the event loop of the origins. */
    public interface Archive {

        /** Keeps nothing. */
        Archive NONE = new Archive() {
            @Override
            public void add(BegunStream stream) {
                // Keeps nothing.
            }

            @Override
            public List<BegunStream> find(String request) {
                return List.of();
            }
        };

        /**
         * Keeps the origin of a stream soon.
         *
         * @param stream the reported stream
         */
        void add(BegunStream stream);

        /**
         * Returns what is kept of a request.
         *
         * @param request the identity of the request
         * @return the origins; empty if none is kept
         */
        List<BegunStream> find(String request);
    }

    private record Entry(Set<StreamOrigin> origins, Deadline expiresAt) {
        private Entry {
            origins = Set.copyOf(origins);
        }

        private Entry with(StreamOrigin added) {
            Set<StreamOrigin> all = new LinkedHashSet<>(origins);
            all.add(added);
            return new Entry(all, expiresAt);
        }
    }

    /**
     * Creates an empty table.
     *
     * @param clock the clock
     */
    public StreamOrigins(MonotonicClock clock) {
        this(clock, Archive.NONE);
    }

    /**
     * Creates the table of a VM that may be the coordinator.
     *
     * @param clock the clock
     * @param archive receives the streams that other VMs report
     */
    public StreamOrigins(MonotonicClock clock, Archive archive) {
        this.clock = clock;
        this.archive = archive;
    }

    /**
     * Records the origin of a stream of which this VM relays an event.
     *
     * @param request the identity of the request that began or resumed it; ignored if empty
     * @param origin the origin
     */
    void recordBegun(String request, StreamOrigin origin) {
        if (!request.isEmpty() && record(request, origin)) {
            unreported.add(request);
        }
    }

    private boolean record(String request, StreamOrigin origin) {
        removeObsolete();
        Entry known = entries.computeIfAbsent(
                request, key -> new Entry(Set.of(), Deadline.after(clock.nanoTime(), RETENTION)));
        if (known.origins().contains(origin)) {
            return false;
        }
        if (!known.origins().isEmpty()) {
            LOGGER.warn(
                    "event=stream-origin-ambiguous id={} service={} software={} others={}",
                    request,
                    origin.service(),
                    origin.softwareVersion(),
                    known.origins().size());
        }
        entries.put(request, known.with(origin));
        return true;
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
     * @param request the identity of a request that began or resumed the stream
     * @return empty if the origin is not known here, is ambiguous or has expired
     */
    Optional<StreamOrigin> find(String request) {
        Set<StreamOrigin> known = new LinkedHashSet<>();
        archive.find(request).forEach(stream -> known.add(originOf(stream)));
        Optional.ofNullable(entries.get(request))
                .filter(entry -> !entry.expiresAt().hasPassed(clock.nanoTime()))
                .ifPresent(entry -> known.addAll(entry.origins()));
        return known.size() == 1 ? Optional.of(known.iterator().next()) : Optional.empty();
    }

    private static StreamOrigin originOf(BegunStream stream) {
        return new StreamOrigin(stream.getService(), stream.getSoftwareVersion());
    }

    /**
     * Returns whether this VM has recorded a request, whether or not its origin is ambiguous.
     *
     * @param request the identity of a request
     * @return {@code true} if {@link #find} decides without another VM
     */
    boolean isRecorded(String request) {
        return entries.containsKey(request);
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
            for (StreamOrigin origin : entries.get(request).origins()) {
                streams.add(BegunStream.newBuilder()
                        .setRequest(request)
                        .setService(origin.service())
                        .setSoftwareVersion(origin.softwareVersion())
                        .build());
            }
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
        streams.forEach(stream -> {
            if (record(stream.getRequest(), originOf(stream))) {
                archive.add(stream);
            }
        });
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
