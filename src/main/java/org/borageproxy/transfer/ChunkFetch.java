package org.borageproxy.transfer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import org.borageproxy.control.Timer;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.ControlProtocol.Chunk;
import org.borageproxy.wire.proto.ControlProtocol.ReadChunks;
import org.borageproxy.wire.proto.ControlProtocol.WatchAnswer;
import org.borageproxy.wire.proto.ControlProtocol.WatchRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Fetches a content from the control VMs, a few chunks at a time. What has arrived is kept, also if it came late, and
 * is not requested again; a silent control VM costs at most the chunks that were requested of it. Each answer takes
 * about a tenth of a second, so that other messages on the same link wait no longer. Ends when the content is complete,
 * when no control VM that answers has the missing chunks (the first that lacks them, if there is a newer content), or
 * when it is cancelled. Thread safe; the listener is called without a lock.
 */
public final class ChunkFetch {

    private static final Logger LOGGER = LoggerFactory.getLogger(ChunkFetch.class);

    private static final int MINIMUM_BATCH_BYTES = 8 << 10;
    private static final int FIRST_BATCH_BYTES = 32 << 10;
    private static final int MAXIMUM_BATCH_BYTES = 128 << 10;

    /** Time for an answer from which the next request is for fewer chunks. */
    private static final long LONG_ANSWER_NANOS = Duration.ofMillis(150).toNanos();

    /** Time for an answer up to which the next request is for more chunks. */
    private static final long SHORT_ANSWER_NANOS = Duration.ofMillis(50).toNanos();

    /** Minimum time for an answer after which another control VM is asked too. */
    private static final long MINIMUM_PATIENCE_NANOS = Duration.ofMillis(300).toNanos();

    /** How much longer than the last answer the next one may take. */
    private static final int PATIENCE_FACTOR = 3;

    /** Bound of the doublings of the patience while no answer comes. */
    private static final int MAXIMUM_DOUBLINGS = 3;

    /** Minimum time after which a control VM that has not answered is asked again. */
    private static final long MINIMUM_REPEAT_NANOS = Duration.ofSeconds(1).toNanos();

    /** Time for which an answer is awaited at all. */
    private static final Duration REQUEST_LIFETIME = Duration.ofSeconds(15);

    private static final Duration RETRY_DELAY = Duration.ofMillis(50);

    private final Manifest manifest;
    private final Environment environment;
    private final Listener listener;

    /** Chunks by name; guarded by this, as all further fields. */
    private final Map<ChunkName, ByteString> held;

    /** Control VMs that do not have the chunks. */
    private final Set<VmName> lacking = new HashSet<>();

    /** Control VMs that have not answered a request in time, nor any since. */
    private final Set<VmName> silent = new HashSet<>();

    /** Latest request to each control VM that has not answered it. */
    private final Map<VmName, Request> unanswered = new HashMap<>();

    /** Control VM that answered last. */
    private Optional<VmName> latestSource = Optional.empty();

    private int batchBytes = FIRST_BATCH_BYTES;

    /** Time that the last answer took, zero before the first one. */
    private long answerNanos;

    /** Requests in a row without an answer in time. */
    private int silentRequests;

    private long lastRequest;
    private long receivedBytes;
    private boolean isReplaced;
    private boolean isEnded;

    /**
     * What a fetch needs.
     *
     * @param network the network between VMs
     * @param sources supplies the control VMs, best first
     * @param clock the monotonic clock
     * @param timer schedules requests
     */
    public record Environment(VmNetwork network, Supplier<List<VmName>> sources, MonotonicClock clock, Timer timer) {}

    /** Is told the end of a fetch, once at most. */
    public interface Listener {

        /**
         * Receives the whole content.
         *
         * @param content the content
         */
        void onComplete(ByteString content);

        /** No control VM that answers has the missing chunks, which belong to a content that is older than theirs. */
        void onUnavailable();
    }

    private record Request(long number, VmName source, List<ChunkName> names, long sentAtNanos) {}

    /** What to do next, decided under the lock and done without it. */
    private sealed interface Step {

        record Send(Request request, Duration patience) implements Step {}

        record Wait(Duration delay) implements Step {}

        record Complete(ByteString content) implements Step {}

        record GiveUp() implements Step {}

        record Nothing() implements Step {}
    }

    /**
     * Creates a fetch that has not begun.
     *
     * @param manifest the chunks of the content
     * @param held chunks that need not be fetched; others are ignored
     * @param environment what the fetch needs
     * @param listener is told the end
     */
    public ChunkFetch(Manifest manifest, Map<ChunkName, ByteString> held, Environment environment, Listener listener) {
        this.manifest = manifest;
        this.environment = environment;
        this.listener = listener;
        this.held = new HashMap<>(held);
        this.held.keySet().retainAll(Set.copyOf(manifest.names()));
    }

    /** Sends the first request, or completes at once if nothing is missing. */
    public void start() {
        advance();
    }

    /** Ends the fetch. The listener is not called any more. */
    public synchronized void cancel() {
        isEnded = true;
    }

    /** Lets the fetch give up as soon as a control VM does not have the chunks, since there is a newer content. */
    public synchronized void markReplaced() {
        isReplaced = true;
    }

    /**
     * Returns the chunks that have arrived or were held.
     *
     * @return a copy of the chunks by name
     */
    public synchronized Map<ChunkName, ByteString> held() {
        return Map.copyOf(held);
    }

    /**
     * Returns the size of the chunks that have not arrived.
     *
     * @return the bytes
     */
    public synchronized long missingBytes() {
        return manifest.missingBytes(held.keySet());
    }

    /**
     * Returns the size of the answers so far.
     *
     * @return the bytes
     */
    public synchronized long receivedBytes() {
        return receivedBytes;
    }

    private void advance() {
        Step step;
        synchronized (this) {
            step = isEnded ? new Step.Nothing() : nextStep();
            isEnded |= step instanceof Step.Complete || step instanceof Step.GiveUp;
        }
        if (step instanceof Step.Send send) {
            send(send.request());
            environment.timer().schedule(send.patience(), () -> onSilence(send.request()));
        } else if (step instanceof Step.Wait wait) {
            environment.timer().schedule(wait.delay(), this::advance);
        } else if (step instanceof Step.Complete complete) {
            listener.onComplete(complete.content());
        } else if (step instanceof Step.GiveUp) {
            listener.onUnavailable();
        }
    }

    private Step nextStep() {
        List<ChunkName> batch = nextBatch();
        if (batch.isEmpty()) {
            return new Step.Complete(assemble());
        }
        List<VmName> sources = environment.sources().get();
        boolean isLacking = sources.stream().anyMatch(lacking::contains);
        if (isLacking && isReplaced) {
            return new Step.GiveUp();
        }
        if (isLacking && sources.stream().allMatch(vm -> lacking.contains(vm) || silent.contains(vm))) {
            return new Step.GiveUp();
        }
        long nowNanos = environment.clock().nanoTime();
        Optional<VmName> source = latestSource
                .filter(vm -> mayAsk(vm, nowNanos))
                .or(() -> sources.stream().filter(vm -> mayAsk(vm, nowNanos)).findFirst());
        if (source.isEmpty()) {
            return new Step.Wait(Duration.ofNanos(patienceNanos()));
        }
        Request request = new Request(++lastRequest, source.get(), batch, nowNanos);
        unanswered.put(source.get(), request);
        return new Step.Send(request, Duration.ofNanos(patienceNanos()));
    }

    private boolean mayAsk(VmName vm, long nowNanos) {
        Request pending = unanswered.get(vm);
        long repeatNanos = Math.max(MINIMUM_REPEAT_NANOS, PATIENCE_FACTOR * answerNanos);
        return !lacking.contains(vm) && (pending == null || nowNanos - pending.sentAtNanos() >= repeatNanos);
    }

    private long patienceNanos() {
        long single = Math.max(MINIMUM_PATIENCE_NANOS, PATIENCE_FACTOR * answerNanos);
        return single << Math.min(silentRequests, MAXIMUM_DOUBLINGS);
    }

    /** Returns the first missing chunks, at least one if any is missing. */
    private List<ChunkName> nextBatch() {
        Set<ChunkName> batch = new LinkedHashSet<>();
        int bytes = 0;
        for (int index = 0; index < manifest.names().size() && bytes < batchBytes; index++) {
            ChunkName name = manifest.names().get(index);
            if (!held.containsKey(name) && batch.add(name)) {
                bytes += manifest.sizes().get(index);
            }
        }
        return List.copyOf(batch);
    }

    /** Joins the chunks, and holds them as views of the whole from then on, so that it is in memory once. */
    private ByteString assemble() {
        byte[] bytes =
                new byte[manifest.sizes().stream().mapToInt(Integer::intValue).sum()];
        ByteString content = UnsafeByteOperations.unsafeWrap(bytes);
        int position = 0;
        for (ChunkName name : manifest.names()) {
            ByteString chunk = held.get(name);
            chunk.copyTo(bytes, position);
            held.put(name, content.substring(position, position + chunk.size()));
            position += chunk.size();
        }
        return content;
    }

    private void send(Request request) {
        ByteString body = WatchRequest.newBuilder()
                .setReadChunks(ReadChunks.newBuilder().setNames(Manifest.encodeNames(request.names())))
                .build()
                .toByteString();
        Deadline deadline = Deadline.after(request.sentAtNanos(), REQUEST_LIFETIME);
        requestSafely(request.source(), body, deadline)
                .whenComplete((answer, failure) ->
                        environment.timer().schedule(Duration.ZERO, () -> onAnswer(request, answer, failure)));
    }

    /** Sends a request; a failure to send it is one of the request. */
    private CompletionStage<ByteString> requestSafely(VmName source, ByteString body, Deadline deadline) {
        try {
            return environment.network().request(source, MessageKind.STATE_WATCH, body, deadline);
        } catch (RuntimeException exception) {
            return CompletableFuture.failedFuture(exception);
        }
    }

    /** Asks another control VM if a request is unanswered; its answer is used nevertheless when it comes. */
    private void onSilence(Request request) {
        synchronized (this) {
            if (isEnded || request.number() != lastRequest || unanswered.get(request.source()) != request) {
                return;
            }
            silentRequests++;
            silent.add(request.source());
            batchBytes = Math.max(MINIMUM_BATCH_BYTES, batchBytes / 2);
            latestSource = Optional.empty();
        }
        LOGGER.info(
                "event=chunks-unanswered source={} chunks={}",
                request.source(),
                request.names().size());
        advance();
    }

    private void onAnswer(Request request, ByteString answer, Throwable failure) {
        boolean isLatest;
        boolean isUseful;
        synchronized (this) {
            unanswered.remove(request.source(), request);
            if (isEnded) {
                return;
            }
            if (failure == null) {
                silent.remove(request.source());
            }
            isLatest = request.number() == lastRequest;
            isUseful = failure == null && store(request, answer);
            if (isUseful) {
                adaptBatch(environment.clock().nanoTime() - request.sentAtNanos());
                latestSource = Optional.of(request.source());
                silentRequests = 0;
            } else {
                latestSource = latestSource.filter(vm -> !vm.equals(request.source()));
            }
        }
        if (isUseful && (isLatest || missingBytes() == 0)) {
            advance();
        } else if (isLatest) {
            environment.timer().schedule(RETRY_DELAY, this::advance);
        }
    }

    private void adaptBatch(long tookNanos) {
        answerNanos = tookNanos;
        if (tookNanos > LONG_ANSWER_NANOS) {
            batchBytes = Math.max(MINIMUM_BATCH_BYTES, batchBytes / 2);
        } else if (tookNanos < SHORT_ANSWER_NANOS) {
            batchBytes = Math.min(MAXIMUM_BATCH_BYTES, batchBytes * 2);
        }
    }

    /** Keeps the chunks of an answer and returns whether there was one that was requested. */
    private boolean store(Request request, ByteString encoded) {
        receivedBytes += encoded.size();
        Set<ChunkName> requested = new HashSet<>(request.names());
        List<ChunkName> stored = new ArrayList<>();
        try {
            for (Chunk chunk : WatchAnswer.parseFrom(encoded).getChunksList()) {
                ByteString content = ChunkStore.inflate(chunk);
                ChunkName name = ChunkName.of(content);
                if (requested.contains(name)) {
                    held.put(name, content);
                    stored.add(name);
                }
            }
        } catch (InvalidProtocolBufferException | IllegalArgumentException exception) {
            LOGGER.warn("event=chunks-malformed source={}", request.source(), exception);
        }
        if (stored.isEmpty()) {
            lacking.add(request.source());
        }
        return !stored.isEmpty();
    }
}
