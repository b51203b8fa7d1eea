package org.borageproxy.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.CoordinationProtocol.StreamOriginAnswer;
import org.borageproxy.wire.proto.CoordinationProtocol.StreamOriginQuery;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds the origin of a stream on this VM or, if it is not known here, at the coordinator. Not thread safe; confined to
 * one event loop.
 */
public final class StreamOriginClient {

    private static final Logger LOGGER = LoggerFactory.getLogger(StreamOriginClient.class);
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(300);

    private final StreamOrigins origins;
    private final VmNetwork network;
    private final Supplier<Optional<VmName>> coordinator;
    private final MonotonicClock clock;
    private final Executor eventLoop;

    /**
     * Creates a client.
     *
     * @param origins the origins that are known on this VM
     * @param network transport to the coordinator
     * @param coordinator supplies the coordinator; empty while it is unknown or unreachable
     * @param clock the clock
     * @param eventLoop runs all callbacks
     */
    public StreamOriginClient(
            StreamOrigins origins,
            VmNetwork network,
            Supplier<Optional<VmName>> coordinator,
            MonotonicClock clock,
            Executor eventLoop) {
        this.origins = origins;
        this.network = network;
        this.coordinator = coordinator;
        this.clock = clock;
        this.eventLoop = eventLoop;
    }

    /**
     * Records the origin of a stream of which this VM relays an event.
     *
     * @param request the identity of the request that began or resumed it
     * @param origin the origin
     */
    void recordBegun(String request, StreamOrigin origin) {
        origins.recordBegun(request, origin);
    }

    /**
     * Finds the origin of a stream.
     *
     * @param request the identity of the request that began the stream
     * @param listener receives the origin, or empty if no VM that can be asked knows it; possibly called before this
     *     method returns
     */
    void find(String request, Consumer<Optional<StreamOrigin>> listener) {
        Optional<StreamOrigin> known = origins.find(request);
        Optional<VmName> target = coordinator.get();
        if (origins.isRecorded(request) || target.isEmpty()) {
            listener.accept(known);
            return;
        }
        ByteString query =
                StreamOriginQuery.newBuilder().setRequest(request).build().toByteString();
        network.request(
                        target.get(),
                        MessageKind.STREAM_ORIGIN,
                        query,
                        Deadline.after(clock.nanoTime(), ANSWER_TIMEOUT))
                .whenComplete((body, failure) ->
                        eventLoop.execute(() -> listener.accept(parse(target.get(), body, failure))));
    }

    private static Optional<StreamOrigin> parse(VmName target, ByteString body, Throwable failure) {
        if (failure != null) {
            LOGGER.info("event=stream-origin-unanswered vm={} reason=\"{}\"", target, failure.getMessage());
            return Optional.empty();
        }
        try {
            StreamOriginAnswer answer = StreamOriginAnswer.parseFrom(body);
            return answer.getKnown()
                    ? Optional.of(new StreamOrigin(answer.getService(), answer.getSoftwareVersion()))
                    : Optional.empty();
        } catch (InvalidProtocolBufferException exception) {
            LOGGER.warn("event=stream-origin-malformed vm={}", target);
            return Optional.empty();
        }
    }
}
